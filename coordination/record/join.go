package record

import (
	"context"
	"fmt"
	"time"

	"github.com/juju/errors"
)

const (
	// awaitSlice is the time after which a router that is asked for the end
	// of an attempt says that it still runs.
	awaitSlice = time.Second

	// awaitLimit is the time after which an answer is overdue. The connection
	// may have gone silent, or the router be gone.
	awaitLimit = 2 * time.Second

	// awaitTries is the number of overdue answers after which the router
	// counts as gone.
	awaitTries = 2
)

// RunningAttempt is a key that is being run, by this router or another one.
type RunningAttempt struct {
	book        *Recorder
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

// Attempt returns the id of the attempt that runs.
func (j *RunningAttempt) Attempt() string {
	return j.attempt
}

// joinLocal returns a joint for an attempt of this router.
func (b *Recorder) joinLocal(call *Call, a *Attempt) *RunningAttempt {
	return &RunningAttempt{
		book:        b,
		call:        call,
		vm:          b.config.VM,
		incarnation: b.config.Incarnation,
		attempt:     a.id,
		local:       a,
	}
}

// joinClaim returns a joint for an attempt that the home of the row knows of.
func (b *Recorder) joinClaim(call *Call, held Claim) *RunningAttempt {
	j := &RunningAttempt{book: b, call: call, vm: held.VM, incarnation: held.Incarnation, attempt: held.Attempt}
	b.mu.Lock()
	defer b.mu.Unlock()
	j.local = b.attempts[held.Attempt]
	return j
}

// Wait waits for the end of the attempt and decides again. The decision is
// never Join. It is Unknown when the context ends first.
func (j *RunningAttempt) Wait(ctx context.Context) Decision {
	b := j.book
	for {
		d := j.step(ctx)
		if d.Kind != Join {
			return b.told(d)
		}
		j = d.Join
		if !sleep(ctx, backoffStart) {
			return b.told(Decision{Kind: Unknown})
		}
	}
}

// step waits for the end of one attempt and decides. It may find that another
// attempt runs.
func (j *RunningAttempt) step(ctx context.Context) Decision {
	b := j.book
	o, err := j.await(ctx)
	if ctx.Err() != nil && o.State != OutcomeDone {
		return Decision{Kind: Unknown}
	}
	switch {
	case err != nil:
		return b.begin(ctx, j.call, start{look: true, asked: j.attempt})
	case o.State == OutcomeDone:
		return b.replay(ctx, &outcome{Outcome: o})
	case o.State == OutcomeNotRun:
		return b.begin(ctx, j.call, start{look: true, over: j.attempt})
	}
	return b.begin(ctx, j.call, start{look: true, asked: j.attempt})
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

// awaitRemote asks another router in slices, so that a connection that has
// gone silent is noticed.
func (j *RunningAttempt) awaitRemote(ctx context.Context) (Outcome, error) {
	b := j.book
	if b.config.Peers == nil {
		return Outcome{}, fmt.Errorf("await attempt %s: %w", j.attempt, ErrUnknownAttempt)
	}
	for failures := 0; ; {
		o, err := j.ask(ctx)
		switch {
		case err == nil && o.State != OutcomeNone:
			return o, nil
		case err == nil:
			failures = 0
			continue
		}
		failures++
		if errors.Is(err, ErrUnknownAttempt) || failures == awaitTries || ctx.Err() != nil {
			return Outcome{}, err
		}
		sleep(ctx, jitter(backoffLimit))
	}
}

// ask asks the other router once.
func (j *RunningAttempt) ask(ctx context.Context) (Outcome, error) {
	b := j.book
	ctx, cancel := context.WithTimeout(ctx, awaitLimit)
	defer cancel()
	b.config.observe(ctx, StepAwait)
	o, err := b.config.Peers.Await(ctx, j.vm, j.incarnation, j.attempt)
	b.config.observe(ctx, StepAwaitDone)
	if err != nil {
		return Outcome{}, fmt.Errorf("await attempt %s at %s: %w", j.attempt, j.vm, err)
	}
	return o, nil
}

// Await waits for the end of an attempt of this router, on behalf of another
// one. The outcome's state is OutcomeNone if the attempt still runs after a
// second. The error wraps ErrGone if the attempt is not known, or is one of
// another incarnation.
func (b *Recorder) Await(ctx context.Context, incarnation, attempt string) (Outcome, error) {
	b.mu.Lock()
	a := b.attempts[attempt]
	b.mu.Unlock()
	if incarnation != b.config.Incarnation || a == nil {
		return Outcome{}, fmt.Errorf("attempt %s: %w", attempt, ErrUnknownAttempt)
	}
	timer := time.NewTimer(awaitSlice)
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

// examine reads the record and decides, or says from where to begin.
func (b *Recorder) examine(ctx context.Context, call *Call, at place, from start) (Decision, start) {
	s, version, err := b.load(ctx, at)
	if err != nil {
		return b.examineAgain(from)
	}
	from.look = false
	from.version = version
	from.replaces = ""
	if s == nil {
		return Decision{}, from
	}
	if s.fingerprint != call.Fingerprint {
		return Decision{Kind: Mismatch}, from
	}
	o, err := b.outcomeOf(ctx, s)
	if err != nil {
		return b.examineAgain(from)
	}
	from.replaces = s.attempt
	return b.decide(ctx, call, at, s, &o, from)
}

// examineAgain says that the row has to be read again.
func (b *Recorder) examineAgain(from start) (Decision, start) {
	from.look = true
	return Decision{}, from
}

// outcomeOf returns what is known of the outcome of a record's attempt.
func (b *Recorder) outcomeOf(ctx context.Context, s *stored) (outcome, error) {
	if s.settled.State != OutcomeNone {
		return s.settled, nil
	}
	b.mu.Lock()
	a := b.attempts[s.attempt]
	if a != nil && a.phase == phaseEnded {
		o := a.outcome
		b.mu.Unlock()
		return o, nil
	}
	b.mu.Unlock()
	if a != nil {
		return outcome{}, nil
	}
	rows, err := readRows(ctx, &b.config, &b.count, s.page)
	if err != nil {
		return outcome{}, err
	}
	return findOutcome(rows[0].Value, s.attempt)
}

// decide decides by a record and what is known of its outcome.
func (b *Recorder) decide(ctx context.Context, call *Call, at place, s *stored, o *outcome, from start) (Decision, start) {
	switch o.State {
	case OutcomeDone:
		return b.replay(ctx, o), from
	case OutcomeNotRun:
		from.over = s.attempt
		return Decision{}, from
	case OutcomeUnknown:
		return b.probe(ctx, at, s, from)
	case OutcomeNone:
	}
	if elapsed(s.at) > b.config.Retention {
		return Decision{Kind: Expired}, from
	}
	b.mu.Lock()
	a := b.attempts[s.attempt]
	b.mu.Unlock()
	if a != nil {
		return Decision{Kind: Join, Join: b.joinLocal(call, a)}, from
	}
	if b.canAsk(s, from) {
		j := &RunningAttempt{book: b, call: call, vm: s.vm, incarnation: s.incarnation, attempt: s.attempt}
		return Decision{Kind: Join, Join: j}, from
	}
	return b.probe(ctx, at, s, from)
}

// canAsk reports whether the router that runs the attempt may still tell.
func (b *Recorder) canAsk(s *stored, from start) bool {
	if b.config.Peers == nil || s.attempt == from.asked || s.incarnation == b.config.Incarnation {
		return false
	}
	return b.config.Liveness == nil || b.config.Liveness.Live(s.vm, s.incarnation)
}

// replay decides by an attempt that is done.
func (b *Recorder) replay(ctx context.Context, o *outcome) Decision {
	if o.Response != nil {
		return Decision{Kind: Replay, Response: o.Response}
	}
	if o.object == "" || b.config.Store == nil {
		return Decision{Kind: Unknown, Ran: true}
	}
	data, err := b.config.Store.Get(ctx, o.object)
	if err != nil {
		return Decision{Kind: Unknown, Ran: true}
	}
	a, err := decodeAnswer(data)
	if err != nil {
		return Decision{Kind: Unknown, Ran: true}
	}
	return Decision{Kind: Replay, Response: a}
}

// probe asks the backend server about an attempt whose router can't tell. Only
// its word that the attempt is absent, and refused from then on, lets another
// attempt run.
func (b *Recorder) probe(ctx context.Context, at place, s *stored, from start) (Decision, start) {
	if b.config.Prober == nil || s.target == "" {
		return Decision{Kind: Unknown}, from
	}
	b.count.probes.Add(1)
	b.config.observe(ctx, StepProbe)
	report, err := b.config.Prober.Probe(ctx, s.target, s.attempt)
	b.config.observe(ctx, StepProbeDone)
	switch {
	case err != nil:
		return Decision{Kind: Unknown}, from
	case report.State == ReportRunning:
		return Decision{Kind: Unknown, Running: true}, from
	case report.State == ReportNotRun:
		from.over = s.attempt
		return Decision{}, from
	case report.State == ReportDone && report.Response != nil:
		b.replace(ctx, at, s, report.Response, from.version)
		return Decision{Kind: Replay, Response: report.Response}, from
	case report.State == ReportDone:
		return Decision{Kind: Unknown, Ran: true}, from
	}
	return Decision{Kind: Unknown}, from
}

// replace keeps an answer that the backend server told. It is not needed for
// the truth of what callers are told, so its failure changes nothing.
func (b *Recorder) replace(ctx context.Context, at place, s *stored, a *Response, version uint64) {
	done := *s
	done.settled = outcome{Outcome: Outcome{State: OutcomeDone, Response: a}}
	if a.size() > b.config.MaxInline {
		done.settled = b.storeSettled(ctx, s, a)
	}
	value, err := encodeRecord(&done)
	if err != nil {
		return
	}
	b.config.observe(ctx, StepReplace)
	ctx, cancel := context.WithTimeout(ctx, b.config.CallTimeout)
	defer cancel()
	b.submit(ctx, Entry{
		Partner:  at.partner,
		Row:      at.row,
		Slot:     at.slot,
		Value:    value,
		Version:  version,
		Replaces: s.attempt,
		Attempt:  s.attempt,
	})
}

// storeSettled keeps a large answer that the backend server told.
func (b *Recorder) storeSettled(ctx context.Context, s *stored, a *Response) outcome {
	o := outcome{Outcome: Outcome{State: OutcomeDone, Omitted: true}}
	if b.config.Store == nil {
		return o
	}
	object, err := b.storeAnswer(ctx, hour(s.at), s.attempt, a)
	if err == nil {
		o.object = object
		o.Omitted = false
	}
	return o
}
