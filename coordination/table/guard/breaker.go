package guard

import (
	"math/rand/v2"
	"sync"
	"time"
)

// State is the state of a breaker.
type State uint8

const (
	// Closed lets all calls through.
	Closed State = iota

	// Open refuses all calls.
	Open

	// HalfOpen lets one probe through.
	HalfOpen
)

// String returns the name of the state in lower case.
func (s State) String() string {
	return [...]string{"closed", "open", "half-open"}[s]
}

// breaker decides whether a call may leave. Only the outcome of a probe
// changes a breaker that is not closed; outcomes of calls that left before it
// opened are ignored.
type breaker struct {
	settings Settings

	// mu guards the fields below.
	mu       sync.Mutex
	state    State
	failures int
	cooldown time.Duration
	opened   uint64

	// until is the time of the next probe while the breaker is open.
	until time.Time
}

// outcome is what a call tells the breaker.
type outcome uint8

const (
	success outcome = iota
	failure
	unknown
)

// admit reports whether a call may leave and whether it is the probe. Each
// admitted call must be followed by report.
func (b *breaker) admit() (probe, ok bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.state == Closed {
		return false, true
	}
	if b.state == Open && !time.Now().Before(b.until) {
		b.state = HalfOpen
		return true, true
	}
	return false, false
}

// report takes the outcome of an admitted call.
func (b *breaker) report(probe bool, o outcome) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if probe {
		b.probed(o)
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
		if b.failures >= b.settings.Failures {
			b.cooldown = b.settings.OpenDuration
			b.open()
		}
	}
}

// probed takes the outcome of the probe. The caller holds b.mu.
func (b *breaker) probed(o outcome) {
	switch o {
	case success:
		b.state = Closed
		b.failures = 0
	case failure:
		b.cooldown = min(2*b.cooldown, b.settings.MaxOpenDuration)
		b.open()
	case unknown:
		// The caller gave up on the probe, so the next call may probe.
		b.state = Open
	}
}

// open opens the breaker for the cooldown. The caller holds b.mu.
func (b *breaker) open() {
	b.state = Open
	b.opened++
	factor := 1 + b.settings.Jitter*(2*rand.Float64()-1)
	b.until = time.Now().Add(time.Duration(float64(b.cooldown) * factor))
}

// snapshot returns the state and the number of openings.
func (b *breaker) snapshot() (State, uint64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.state, b.opened
}
