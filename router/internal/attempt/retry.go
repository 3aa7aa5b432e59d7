package attempt

import (
	"net/http"
	"sync"
	"time"
)

const (
	defaultFraction = 0.1
	defaultBurst    = 10
	defaultBase     = 25 * time.Millisecond
	defaultMost     = time.Second
	defaultTries    = 4

	// wholeBurst is how many times the burst of one class all classes
	// together save up.
	wholeBurst = 4
)

// Policy says when a request is tried again on another server. Its decisions
// are pure. Zero fields get defaults.
type Policy struct {
	// MaxAttempts is the largest number of attempts for one request.
	MaxAttempts int

	// BaseBackoff is the bound of the pause before the second retry; it doubles with
	// each further one up to Most. The first retry goes to another server at
	// once.
	BaseBackoff time.Duration
	MaxBackoff  time.Duration
}

// RetryInput is what a decision depends on.
type RetryInput struct {
	// Last is the outcome of the last attempt, Tries the number of attempts
	// so far.
	Last     Outcome
	Attempts int

	// AtMostOnce marks a request that may not be repeated.
	AtMostOnce bool

	// Remaining is the time until the request's deadline, Expected the time
	// that another server is expected to take until it answers.
	Remaining time.Duration
	Expected  time.Duration

	// Random is a number from 0 up to 1, drawn anew for each question.
	Random float64
}

// Decision says why a request is tried again or not.
type Decision uint8

const (
	// Retry means that the request is tried again if the budget allows it.
	Retry Decision = iota

	// StopFinished means that the answer is whole or that the caller went away.
	StopFinished

	// StopResponseStarted means that the caller has seen a part of the answer.
	StopResponseStarted

	// StopUnsafe means that the request may have run and may not be repeated.
	StopUnsafe

	// StopPointless means that each server would give the same answer.
	StopPointless

	// StopExhausted means that there were enough attempts.
	StopExhausted

	// StopTooLate means that the deadline leaves no time.
	StopTooLate
)

// verdictNames are the words for logs, in the order of the constants.
var verdictNames = [...]string{"again", "over", "begun", "unsafe", "pointless", "exhausted", "late"}

// String returns the word for logs.
func (v Decision) String() string {
	if int(v) < len(verdictNames) {
		return verdictNames[v]
	}
	return "invalid"
}

// Decide returns whether the request is tried again, and the pause before that.
func (p Policy) Decide(q RetryInput) (Decision, time.Duration) {
	p = p.withDefaults()
	switch {
	case q.Last.Complete, q.Last.Reason == Canceled:
		return StopFinished, 0
	case q.Last.ResponseStarted:
		return StopResponseStarted, 0
	case q.AtMostOnce && q.Last.Run != RunNo:
		return StopUnsafe, 0
	case q.Last.Reason == Refused && !busy(q.Last.Status):
		return StopPointless, 0
	case q.Attempts >= p.MaxAttempts:
		return StopExhausted, 0
	case q.Remaining <= q.Expected:
		return StopTooLate, 0
	}
	return Retry, min(p.pause(q), q.Remaining-q.Expected)
}

// pause draws the time before the next attempt.
func (p Policy) pause(q RetryInput) time.Duration {
	if q.Attempts <= 1 {
		return 0
	}
	bound := p.MaxBackoff
	if shift := q.Attempts - 2; shift < 16 {
		bound = min(p.BaseBackoff<<shift, p.MaxBackoff)
	}
	return time.Duration(q.Random * float64(bound))
}

// busy reports whether another server may take what one refused.
func busy(status int) bool {
	return status == http.StatusTooManyRequests || status == http.StatusNotFound
}

// withDefaults fills in the zero fields.
func (p Policy) withDefaults() Policy {
	if p.MaxAttempts == 0 {
		p.MaxAttempts = defaultTries
	}
	if p.BaseBackoff == 0 {
		p.BaseBackoff = defaultBase
	}
	if p.MaxBackoff == 0 {
		p.MaxBackoff = defaultMost
	}
	return p
}

// RetryBudget bounds retries to a fraction of the successes, for each class and for
// all of them together, so that a failing fleet does not get more load. Its
// methods are safe for concurrent use.
type RetryBudget struct {
	fraction float64
	burst    float64

	// mu guards the fields below.
	mu      sync.Mutex
	whole   float64
	classes map[string]float64
}

// NewRetryBudget returns a budget that allows fraction retries for each success and
// saves up at most burst of them. Zeros get defaults. It starts full.
func NewRetryBudget(fraction, burst float64) *RetryBudget {
	if fraction == 0 {
		fraction = defaultFraction
	}
	if burst == 0 {
		burst = defaultBurst
	}
	return &RetryBudget{fraction: fraction, burst: burst, whole: wholeBurst * burst, classes: make(map[string]float64)}
}

// RecordSuccess adds the allowance of one success of a class.
func (b *RetryBudget) RecordSuccess(class string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.whole = min(b.whole+b.fraction, wholeBurst*b.burst)
	b.classes[class] = min(b.left(class)+b.fraction, b.burst)
}

// Take takes one retry of a class and reports whether there was one left.
func (b *RetryBudget) Take(class string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	left := b.left(class)
	if left < 1 || b.whole < 1 {
		return false
	}
	b.whole--
	b.classes[class] = left - 1
	return true
}

// Remaining returns the retries that a class has left, by its own budget and by
// that of all classes.
func (b *RetryBudget) Remaining(class string) (own, whole float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.left(class), b.whole
}

// left returns the allowance of a class. The caller holds b.mu.
func (b *RetryBudget) left(class string) float64 {
	left, ok := b.classes[class]
	if !ok {
		return b.burst
	}
	return left
}
