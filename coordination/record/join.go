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
func (j *RunningAttempt) VM() string {
	return j.vm
}

// Attempt returns the id of the attempt.
func (j *RunningAttempt) Attempt() string {
	return j.attempt
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
	j := &RunningAttempt{recorder: r, call: call, vm: claim.VM, incarnation: claim.Incarnation, attempt: claim.Attempt}
	r.mu.Lock()
	defer r.mu.Unlock()
	j.local = r.attempts[claim.Attempt]
	return j
}

// Wait waits for the end of the attempt and decides again. The decision is
// never Join. It is Unknown when the context ends first.
func (j *RunningAttempt) Wait(ctx context.Context) Decision {
	r := j.recorder
	for {
		d := j.waitOnce(ctx)
		if d.Kind != Join {
			return r.countDecision(d)
		}
		j = d.Join
		if !pause.For(ctx, minBackoff) {
			return r.countDecision(Decision{Kind: Unknown})
		}
	}
}

// waitOnce waits for the end of one attempt and decides. The decision is Join
// if another attempt runs the key by then.
func (j *RunningAttempt) waitOnce(ctx context.Context) Decision {
	r := j.recorder
	o, err := j.await(ctx)
	if ctx.Err() != nil && o.State != OutcomeDone {
		return Decision{Kind: Unknown}
	}
	switch {
	case err != nil:
		return r.begin(ctx, j.call, beginState{readFirst: true, unresolved: j.attempt})
	case o.State == OutcomeDone:
		return r.replay(ctx, &storedOutcome{Outcome: o})
	case o.State == OutcomeNotRun:
		return r.begin(ctx, j.call, beginState{readFirst: true, notRun: j.attempt})
	}
	return r.begin(ctx, j.call, beginState{readFirst: true, unresolved: j.attempt})
}

// await waits for the end of the attempt at the router that runs it.
func (j *RunningAttempt) await(ctx context.Context) (Outcome, error) {
	if j.local != nil {
		select {
		case <-j.local.ended:
			return j.local.outcome.Outcome, nil
		case <-ctx.Done():
			return Outcome{}, fmt.Errorf("await attempt %s: %w", j.attempt, ctx.Err())
		}
	}
	return j.awaitRemote(ctx)
}

// awaitRemote polls another router, so that a dead connection is noticed.
func (j *RunningAttempt) awaitRemote(ctx context.Context) (Outcome, error) {
	rec := j.recorder
	if rec.config.Peers == nil {
		return Outcome{}, fmt.Errorf("await attempt %s: %w", j.attempt, ErrUnknownAttempt)
	}
	for failures := 0; ; {
		o, err := j.awaitRemoteOnce(ctx)
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
func (j *RunningAttempt) awaitRemoteOnce(ctx context.Context) (Outcome, error) {
	r := j.recorder
	ctx, cancel := context.WithTimeout(ctx, awaitTimeout)
	defer cancel()
	r.config.observe(ctx, StepAwait)
	o, err := r.config.Peers.Await(ctx, j.vm, j.incarnation, j.attempt)
	r.config.observe(ctx, StepAwaitDone)
	if err != nil {
		return Outcome{}, fmt.Errorf("await attempt %s at %s: %w", j.attempt, j.vm, err)
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
