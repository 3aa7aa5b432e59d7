package record

import (
	"context"
	"fmt"
	"time"

	"github.com/juju/errors"

	"snipetally.example/coordination/pause"
)

const (
	// awaitPollTime is the time after which a router that is asked for the end
	// of an attempt replies that it is still running.
	awaitPollTime = time.Second

	// awaitTimeout is the time after which such a reply is overdue. The
	// connection may be dead, or the router gone.
	awaitTimeout = 2 * time.Second

	// maxAwaitFailures is the number of consecutive failures after which the
	// router is considered gone.
	maxAwaitFailures = 2
)

// RunningAttempt is an attempt that already runs the key of a call, at this
// router or another one.
type RunningAttempt struct {
	recorder    *Recorder
	call        *Call
	vm          string
	incarnation string
	attempt     string

	// local is set if this router runs the attempt.
	local *Attempt
}

// VM returns the VM of the router that runs the attempt.
func (a *RunningAttempt) VM() string {
	return a.vm
}

// Attempt returns the id of the attempt.
func (a *RunningAttempt) Attempt() string {
	return a.attempt
}

// joinLocal returns the RunningAttempt for an attempt of this router.
func (r *Recorder) joinLocal(call *Call, a *Attempt) *RunningAttempt {
	return &RunningAttempt{
		recorder:    r,
		call:        call,
		vm:          r.config.VM,
		incarnation: r.config.Incarnation,
		attempt:     a.id,
		local:       a,
	}
}

// joinClaim returns the RunningAttempt for an attempt that the home of the row
// knows of.
func (r *Recorder) joinClaim(call *Call, claim Claim) *RunningAttempt {
	running := &RunningAttempt{recorder: r, call: call, vm: claim.VM, incarnation: claim.Incarnation, attempt: claim.Attempt}
	r.mu.Lock()
	defer r.mu.Unlock()
	running.local = r.attempts[claim.Attempt]
	return running
}

// Wait waits for the end of the attempt and decides again. The decision is
// never Join. It is Unknown when the context ends first.
func (a *RunningAttempt) Wait(ctx context.Context) Decision {
	r := a.recorder
	for {
		d := a.waitOnce(ctx)
		if d.Kind != Join {
			return r.countDecision(d)
		}
		a = d.Join
		if !pause.For(ctx, minBackoff) {
			return r.countDecision(Decision{Kind: Unknown})
		}
	}
}

// waitOnce waits for the end of one attempt and decides. The decision is Join
// if another attempt runs the key by then.
func (a *RunningAttempt) waitOnce(ctx context.Context) Decision {
	r := a.recorder
	o, err := a.await(ctx)
	if ctx.Err() != nil && o.State != OutcomeDone {
		return Decision{Kind: Unknown}
	}
	switch {
	case err != nil:
		return r.begin(ctx, a.call, beginState{readFirst: true, unresolved: a.attempt})
	case o.State == OutcomeDone:
		return r.replay(ctx, &storedOutcome{Outcome: o})
	case o.State == OutcomeNotRun:
		return r.begin(ctx, a.call, beginState{readFirst: true, notRun: a.attempt})
	}
	return r.begin(ctx, a.call, beginState{readFirst: true, unresolved: a.attempt})
}

// await waits for the end of the attempt at the router that runs it.
func (a *RunningAttempt) await(ctx context.Context) (Outcome, error) {
	if a.local != nil {
		select {
		case <-a.local.ended:
			return a.local.outcome.Outcome, nil
		case <-ctx.Done():
			return Outcome{}, fmt.Errorf("await attempt %s: %w", a.attempt, ctx.Err())
		}
	}
	return a.awaitRemote(ctx)
}

// awaitRemote polls another router, so that a dead connection is noticed.
func (a *RunningAttempt) awaitRemote(ctx context.Context) (Outcome, error) {
	r := a.recorder
	if r.config.Peers == nil {
		return Outcome{}, fmt.Errorf("await attempt %s: %w", a.attempt, ErrUnknownAttempt)
	}
	for failures := 0; ; {
		o, err := a.awaitRemoteOnce(ctx)
		switch {
		case err == nil && o.State != OutcomeNone:
			return o, nil
		case err == nil:
			failures = 0
			continue
		}
		failures++
		if errors.Is(err, ErrUnknownAttempt) || failures == maxAwaitFailures || ctx.Err() != nil {
			return Outcome{}, err
		}
		pause.For(ctx, jitter(maxBackoff))
	}
}

// awaitRemoteOnce asks the other router once.
func (a *RunningAttempt) awaitRemoteOnce(ctx context.Context) (Outcome, error) {
	r := a.recorder
	ctx, cancel := context.WithTimeout(ctx, awaitTimeout)
	defer cancel()
	r.config.observe(ctx, StepAwait)
	o, err := r.config.Peers.Await(ctx, a.vm, a.incarnation, a.attempt)
	r.config.observe(ctx, StepAwaitDone)
	if err != nil {
		return Outcome{}, fmt.Errorf("await attempt %s at %s: %w", a.attempt, a.vm, err)
	}
	return o, nil
}

// Await waits for the end of an attempt of this router, on behalf of another
// router. The outcome's state is OutcomeNone if the attempt still runs after a
// second. The error wraps ErrUnknownAttempt if this router does not know the
// attempt or is another incarnation.
func (r *Recorder) Await(ctx context.Context, incarnation, attempt string) (Outcome, error) {
	r.mu.Lock()
	a := r.attempts[attempt]
	r.mu.Unlock()
	if incarnation != r.config.Incarnation || a == nil {
		return Outcome{}, fmt.Errorf("attempt %s: %w", attempt, ErrUnknownAttempt)
	}
	timer := time.NewTimer(awaitPollTime)
	defer timer.Stop()
	select {
	case <-a.ended:
		return a.outcome.Outcome, nil
	case <-timer.C:
		return Outcome{}, nil
	case <-ctx.Done():
		return Outcome{}, fmt.Errorf("attempt %s: %w", attempt, ctx.Err())
	}
}
