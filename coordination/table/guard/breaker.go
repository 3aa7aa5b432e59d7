package guard

import (
	"math/rand/v2"
	"sync"
	"time"
)

// State is the state of a circuit breaker.
type State uint8

const (
	// Closed lets all calls through.
	Closed State = iota

	// Open rejects all calls.
	Open

	// HalfOpen waits for the result of one probe and rejects all other calls.
	HalfOpen
)

// String returns the lower-case name of the state.
func (s State) String() string {
	return [...]string{"closed", "open", "half-open"}[s]
}

// breaker is a circuit breaker. Once it is open, only the outcome of a probe
// changes its state; outcomes of calls admitted before it opened are ignored.
type breaker struct {
	config Config

	// mu guards the fields below.
	mu    sync.Mutex
	state State

	// failures is the number of consecutive failures while the breaker is closed.
	failures int

	// cooldown is the time from opening to the next probe, before jitter.
	cooldown time.Duration

	// openings is the number of times that the breaker opened.
	openings uint64

	// probeAt is the earliest time of the next probe while the breaker is open.
	probeAt time.Time
}

// outcome is the result of a call as the breaker counts it.
type outcome uint8

const (
	success outcome = iota
	failure
	inconclusive
)

// admit reports whether a call may be made and whether it is the probe. Each
// admitted call must be followed by a call of report.
func (b *breaker) admit() (probe, ok bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.state == Closed {
		return false, true
	}
	if b.state == Open && !time.Now().Before(b.probeAt) {
		b.state = HalfOpen
		return true, true
	}
	return false, false
}

// report records the outcome of an admitted call.
func (b *breaker) report(probe bool, o outcome) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if probe {
		b.reportProbe(o)
		return
	}
	if b.state != Closed {
		return
	}
	switch o {
	case success:
		b.failures = 0
	case failure:
		b.failures++
		if b.failures >= b.config.Failures {
			b.cooldown = b.config.OpenDuration
			b.open()
		}
	}
}

// reportProbe records the outcome of the probe. The caller holds b.mu.
func (b *breaker) reportProbe(o outcome) {
	switch o {
	case success:
		b.state = Closed
		b.failures = 0
	case failure:
		b.cooldown = min(2*b.cooldown, b.config.MaxOpenDuration)
		b.open()
	case inconclusive:
		// The caller canceled the probe, so the next call may probe.
		b.state = Open
	}
}

// open opens the breaker for the cooldown with jitter. The caller holds b.mu.
func (b *breaker) open() {
	b.state = Open
	b.openings++
	factor := 1 + b.config.Jitter*(2*rand.Float64()-1)
	b.probeAt = time.Now().Add(time.Duration(float64(b.cooldown) * factor))
}

// snapshot returns the state and the number of openings.
func (b *breaker) snapshot() (State, uint64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.state, b.openings
}
