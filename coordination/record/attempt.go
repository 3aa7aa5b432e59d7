package record

import (
	"context"
	"fmt"
	"time"
)

// phase is the progress of an attempt. It only advances.
type phase uint8

const (
	// phaseWriting means that the record is being written.
	phaseWriting phase = iota

	// phaseReady means that the record names the attempt, which may be
	// dispatched.
	phaseReady

	// phaseDispatched means that bytes of the call may have been sent.
	phaseDispatched

	// phaseEnded means that the outcome is decided and final.
	phaseEnded
)

// Attempt is the right to dispatch a call once. Each attempt that Begin returns
// must be ended by Finish, NotRun or Lost, or by a Dispatch that fails. Its
// methods are safe for concurrent use.
type Attempt struct {
	recorder    *Recorder
	id          string
	location    location
	target      string
	fingerprint Fingerprint
	startedAt   time.Time
	entry       Entry
	page        *page

	// recorded is false for a call without a key. It does not change.
	recorded bool

	// ended is closed when phase becomes phaseEnded.
	ended chan struct{}

	// The recorder's mu guards the fields below. The field unrecorded is set
	// while an attempt that was granted without a record waits for its record
	// to be written.
	phase      phase
	outcome    storedOutcome
	protected  bool
	unrecorded bool
}

// ID returns the attempt's id, which is sent to the backend server and echoed
// by it. No other attempt of any router has the same id.
func (a *Attempt) ID() string {
	return a.id
}

// Target returns the backend server that the attempt must be sent to. It is
// empty if the call did not name one.
func (a *Attempt) Target() string {
	return a.target
}

// Protected reports whether the record was written before the attempt was
// granted. It is false for a call without a key, and for one that is attempted
// although the table is unavailable.
func (a *Attempt) Protected() bool {
	a.recorder.mu.Lock()
	defer a.recorder.mu.Unlock()
	return a.protected
}

// Dispatch is the last check before the first byte is sent. It succeeds once.
// If more than DispatchTimeout has passed since the attempt began, for instance
// because the router was paused, it returns ErrDispatchTooLate. If the caller
// has left, it returns the error of the context. In both cases the attempt is
// settled as not run. After success the caller sends to Target and to no other
// backend server, and never again.
//
// The router may still be paused between this check and the first byte. That is
// harmless: no one else runs the key unless the backend server has reported
// that it refuses this attempt from then on.
func (a *Attempt) Dispatch(ctx context.Context) error {
	r := a.recorder
	r.config.observe(ctx, StepDispatch)
	err := a.dispatch(ctx)
	r.config.observe(ctx, StepDispatched)
	return err
}

// dispatch makes the check of Dispatch and advances the phase under the lock.
func (a *Attempt) dispatch(ctx context.Context) error {
	r := a.recorder
	r.mu.Lock()
	defer r.mu.Unlock()
	if a.phase != phaseReady {
		return fmt.Errorf("dispatch attempt %s: %w", a.id, ErrInvalidState)
	}
	if err := ctx.Err(); err != nil {
		r.endAttempt(a, storedOutcome{Outcome: Outcome{State: OutcomeNotRun}})
		return fmt.Errorf("dispatch attempt %s: %w", a.id, err)
	}
	if elapsed(a.startedAt) > r.config.DispatchTimeout {
		r.count.late.Add(1)
		r.endAttempt(a, storedOutcome{Outcome: Outcome{State: OutcomeNotRun}})
		return fmt.Errorf("dispatch attempt %s: %w", a.id, ErrDispatchTooLate)
	}
	a.phase = phaseDispatched
	return nil
}

// Finish settles a dispatched attempt with its complete response, which must
// not be changed afterwards. The outcome is written later, batched with others.
func (a *Attempt) Finish(ctx context.Context, response *Response) error {
	return a.settle(ctx, Outcome{State: OutcomeDone, Response: response}, phaseDispatched)
}

// NotRun settles an attempt of which no byte reached a backend server, or which
// the backend server itself says that it did not run and never will. Another
// attempt may then run the key.
func (a *Attempt) NotRun(ctx context.Context) error {
	return a.settle(ctx, Outcome{State: OutcomeNotRun}, phaseReady)
}

// Lost settles a dispatched attempt whose response was not received completely.
func (a *Attempt) Lost(ctx context.Context) error {
	return a.settle(ctx, Outcome{State: OutcomeUnknown}, phaseDispatched)
}

// settle ends the attempt, which must have reached minPhase.
func (a *Attempt) settle(ctx context.Context, o Outcome, minPhase phase) error {
	r := a.recorder
	r.config.observe(ctx, StepSettle)
	r.mu.Lock()
	allowed := a.phase >= minPhase && a.phase != phaseEnded
	if allowed {
		r.endAttempt(a, storedOutcome{Outcome: o})
	}
	r.mu.Unlock()
	r.config.observe(ctx, StepSettled)
	if !allowed {
		return fmt.Errorf("settle attempt %s: %w", a.id, ErrInvalidState)
	}
	return nil
}

// elapsed returns the time since t by the monotonic or the wall clock,
// whichever advanced further, because the monotonic clock stands still while a
// VM is suspended.
func elapsed(t time.Time) time.Duration {
	now := time.Now()
	return max(now.Sub(t), now.Round(0).Sub(t.Round(0)))
}
