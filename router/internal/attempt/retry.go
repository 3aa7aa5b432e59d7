package attempt

import (
	"cmp"
	"net/http"
	"sync"
	"time"
)

const (
	defaultFraction    = 0.1
	defaultBurst       = 10
	defaultBaseBackoff = 25 * time.Millisecond
	defaultMaxBackoff  = time.Second
	defaultMaxAttempts = 4

	// totalBurstFactor is how many times the burst of one class the budget of
	// all classes together holds at most.
	totalBurstFactor = 4
)

// Policy decides when a request is retried on another server. Its decisions are
// pure. Zero fields get defaults.
type Policy struct {
	// MaxAttempts is the maximum number of attempts for one request.
	MaxAttempts int

	// BaseBackoff is the maximum backoff before the second retry; the maximum
	// doubles with each further retry, up to MaxBackoff. The first retry goes to
	// another server immediately.
	BaseBackoff time.Duration
	MaxBackoff  time.Duration
}

// RetryInput holds what a retry decision depends on.
type RetryInput struct {
	// Last is the outcome of the last attempt. Attempts is the number of
	// attempts so far.
	Last     Outcome
	Attempts int

	// AtMostOnce marks a request that must not run more than once.
	AtMostOnce bool

	// Remaining is the time until the request's deadline. Expected is the
	// expected time until another server responds.
	Remaining time.Duration
	Expected  time.Duration

	// Random is a random number in [0, 1), drawn anew for each decision.
	Random float64
}

// Decision says whether a request is retried, and why not if it isn't.
type Decision uint8

const (
	// Retry means that the request is retried if the budget allows it.
	Retry Decision = iota

	// StopFinished means that the response is complete or the attempt was
	// canceled.
	StopFinished

	// StopResponseStarted means that the caller received a part of the response.
	StopResponseStarted

	// StopUnsafe means that the request may have run and must not run twice.
	StopUnsafe

	// StopPointless means that every server would refuse the request.
	StopPointless

	// StopExhausted means that the maximum number of attempts was made.
	StopExhausted

	// StopTooLate means that the deadline leaves no time for a retry.
	StopTooLate
)

// decisionNames holds the log names of the decisions, in the order of the
// constants.
var decisionNames = [...]string{"again", "over", "begun", "unsafe", "pointless", "exhausted", "late"}

// String returns the log name of the decision.
func (d Decision) String() string {
	if int(d) < len(decisionNames) {
		return decisionNames[d]
	}
	return "invalid"
}

// Decide returns whether the request is retried, and the backoff before the
// retry.
func (p Policy) Decide(in RetryInput) (Decision, time.Duration) {
	p = p.withDefaults()
	switch {
	case in.Last.Complete, in.Last.Reason == Canceled:
		return StopFinished, 0
	case in.Last.ResponseStarted:
		return StopResponseStarted, 0
	case in.AtMostOnce && in.Last.Run != RunNo:
		return StopUnsafe, 0
	case in.Last.Reason == Refused && !acceptableElsewhere(in.Last.Status):
		return StopPointless, 0
	case in.Attempts >= p.MaxAttempts:
		return StopExhausted, 0
	case in.Remaining <= in.Expected:
		return StopTooLate, 0
	}
	return Retry, min(p.backoff(in), in.Remaining-in.Expected)
}

// backoff returns the randomized time before the next attempt.
func (p Policy) backoff(in RetryInput) time.Duration {
	if in.Attempts <= 1 {
		return 0
	}
	limit := p.MaxBackoff
	if shift := in.Attempts - 2; shift < 16 {
		limit = min(p.BaseBackoff<<shift, p.MaxBackoff)
	}
	return time.Duration(in.Random * float64(limit))
}

// acceptableElsewhere reports whether another server may accept a request that
// one server refused with this status.
func acceptableElsewhere(status int) bool {
	return status == http.StatusTooManyRequests || status == http.StatusNotFound
}

// withDefaults fills in the zero fields.
func (p Policy) withDefaults() Policy {
	p.MaxAttempts = cmp.Or(p.MaxAttempts, defaultMaxAttempts)
	p.BaseBackoff = cmp.Or(p.BaseBackoff, defaultBaseBackoff)
	p.MaxBackoff = cmp.Or(p.MaxBackoff, defaultMaxBackoff)
	return p
}

// RetryBudget limits retries to a fraction of the successes, for each class and
// for all classes together, so that retries don't add load to a failing fleet.
// Its methods are safe for concurrent use.
type RetryBudget struct {
	fraction float64
	burst    float64

	// mu guards the fields below.
	mu      sync.Mutex
	total   float64
	classes map[string]float64
}

// NewRetryBudget returns a budget that allows fraction retries for each success
// and accumulates at most burst of them for each class. Zeros get defaults. The
// budget starts full.
func NewRetryBudget(fraction, burst float64) *RetryBudget {
	fraction = cmp.Or(fraction, defaultFraction)
	burst = cmp.Or(burst, defaultBurst)
	return &RetryBudget{fraction: fraction, burst: burst, total: totalBurstFactor * burst, classes: make(map[string]float64)}
}

// RecordSuccess adds the retry allowance of one success of a class.
func (b *RetryBudget) RecordSuccess(class string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.total = min(b.total+b.fraction, totalBurstFactor*b.burst)
	b.classes[class] = min(b.classRemaining(class)+b.fraction, b.burst)
}

// Take consumes one retry of a class and reports whether one was available.
func (b *RetryBudget) Take(class string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	remaining := b.classRemaining(class)
	if remaining < 1 || b.total < 1 {
		return false
	}
	b.total--
	b.classes[class] = remaining - 1
	return true
}

// Remaining returns the retries that are left in the budget of a class and in
// that of all classes together.
func (b *RetryBudget) Remaining(class string) (own, total float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.classRemaining(class), b.total
}

// classRemaining returns the retries that are left in the budget of a class. The
// caller must hold b.mu.
func (b *RetryBudget) classRemaining(class string) float64 {
	remaining, ok := b.classes[class]
	if !ok {
		return b.burst
	}
	return remaining
}
