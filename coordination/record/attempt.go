package record

import (
	"context"
	"fmt"
	"time"
)

// phase is how far an attempt has come. It only rises.
type phase uint8

const (
	// phaseWriting: the record is being written.
	phaseWriting phase = iota

	// phaseReady: the record names the attempt, which may be dispatched.
	phaseReady

	// phaseDispatched: bytes of the call may have gone out.
	phaseDispatched

	// phaseEnded: the outcome is decided and final.
	phaseEnded
)

// Attempt is the right to dispatch a call once. Each attempt that Begin
// returned has to be ended by Finish, NotRun or Lost, or by a Dispatch that
// fails. Its methods are safe for concurrent use.
type Attempt struct {
	book        *Recorder
	id          string
	at          place
	target      string
	fingerprint Fingerprint
	began       time.Time
	entry       Entry
	page        *page

	// recorded is false for a call without a key. It does not change.
	recorded bool

	// ended is closed when phase becomes phaseEnded.
	ended chan struct{}

	// The book's mu guards the fields below.
	phase     phase
	outcome   outcome
	protected bool
	late      bool
}

// ID returns the attempt's id, which is sent to the backend server and echoed
// by it. No other attempt of any router has the same id.
func (a *Attempt) ID() string {
	return a.id
}

// Target returns the backend server that the attempt has to be sent to. It is
// empty if the call named none.
func (a *Attempt) Target() string {
	return a.target
}

// Protected reports whether the record was written before the attempt. It is
// false for a call without a key, and for one that is attempted although the
// table can't be reached.
func (a *Attempt) Protected() bool {
	a.book.mu.Lock()
	defer a.book.mu.Unlock()
	return a.protected
}

// Dispatch is the last check before the first byte goes out. It succeeds once.
// A router that was paused for longer than the limit gets ErrLate, one whose
// caller has left the error of the context; in both cases the attempt is
// settled as not run. After success the caller sends to Target and to no other
// backend server, and never again.
//
// A router may still be paused between this check and the first byte. That is
// harmless: no one else runs the key unless the backend server promised to
// refuse this attempt.
func (a *Attempt) Dispatch(ctx context.Context) error {
	b := a.book
	b.config.observe(ctx, StepDispatch)
	err := a.dispatch(ctx)
	b.config.observe(ctx, StepDispatched)
	return err
}

// dispatch decides Dispatch under the lock.
func (a *Attempt) dispatch(ctx context.Context) error {
	b := a.book
	b.mu.Lock()
	defer b.mu.Unlock()
	if a.phase != phaseReady {
		return fmt.Errorf("dispatch attempt %s: %w", a.id, ErrInvalidState)
	}
	if err := ctx.Err(); err != nil {
		b.end(a, outcome{Outcome: Outcome{State: OutcomeNotRun}})
		return fmt.Errorf("dispatch attempt %s: %w", a.id, err)
	}
	if elapsed(a.began) > b.config.DispatchTimeout {
		b.count.late.Add(1)
		b.end(a, outcome{Outcome: Outcome{State: OutcomeNotRun}})
		return fmt.Errorf("dispatch attempt %s: %w", a.id, ErrDispatchTooLate)
	}
	a.phase = phaseDispatched
	return nil
}

// Finish settles a dispatched attempt with its whole answer, which must not be
// changed afterwards. The outcome is written later, together with others.
func (a *Attempt) Finish(ctx context.Context, answer *Response) error {
	return a.settle(ctx, Outcome{State: OutcomeDone, Response: answer}, phaseDispatched)
}

// NotRun settles an attempt of which no byte reached a backend server, or
// which the backend server itself says that it did not run and never will.
// Another attempt may then run the key.
func (a *Attempt) NotRun(ctx context.Context) error {
	return a.settle(ctx, Outcome{State: OutcomeNotRun}, phaseReady)
}

// Lost settles a dispatched attempt whose answer was not received whole.
func (a *Attempt) Lost(ctx context.Context) error {
	return a.settle(ctx, Outcome{State: OutcomeUnknown}, phaseDispatched)
}

// settle ends the attempt, which must have come as far as least.
func (a *Attempt) settle(ctx context.Context, o Outcome, least phase) error {
	b := a.book
	b.config.observe(ctx, StepSettle)
	b.mu.Lock()
	ok := a.phase >= least && a.phase != phaseEnded
	if ok {
		b.end(a, outcome{Outcome: o})
	}
	b.mu.Unlock()
	b.config.observe(ctx, StepSettled)
	if !ok {
		return fmt.Errorf("settle attempt %s: %w", a.id, ErrInvalidState)
	}
	return nil
}

// elapsed returns the time since t by the monotonic or the wall clock,
// whichever ran further, because the monotonic one stands still while a VM is
// suspended.
func elapsed(t time.Time) time.Duration {
	now := time.Now()
	return max(now.Sub(t), now.Round(0).Sub(t.Round(0)))
}
