package record

import (
	"context"
	"fmt"
	"time"

	"snipetally.example/coordination/pause"
)

// beginState is what begin knows about a location before its next step.
type beginState struct {
	// readFirst means that the record has to be read first.
	readFirst bool

	// version is the version of the row, and replaces the attempt in the record
	// that the next attempt replaces.
	version  uint64
	replaces string

	// notRun is an attempt that is known not to run, and unresolved is one
	// whose router could not tell the outcome.
	notRun     string
	unresolved string
}

// Begin decides what to do with a call. It returns within config.WriteTimeout
// plus the time of a few reads, or when the context ends, and leaves no attempt
// behind unless the decision is Run. If the key is invalid, the error satisfies
// errors.NotValid and the call did not run.
func (r *Recorder) Begin(ctx context.Context, call Call) (Decision, error) {
	now := time.Now()
	if call.Key == "" {
		return r.countDecision(r.beginUnrecorded(&call)), nil
	}
	if err := validate(&call, now, r.config.MaxClockSkew); err != nil {
		return Decision{}, fmt.Errorf("begin: %w", err)
	}
	if expired(call.Key, now, r.config.Retention, r.config.MaxClockSkew) {
		return r.countDecision(Decision{Kind: Expired}), nil
	}
	r.config.observe(ctx, StepBegin)
	return r.countDecision(r.begin(ctx, &call, beginState{})), nil
}

// countDecision counts a decision and returns it.
func (r *Recorder) countDecision(d Decision) Decision {
	r.count.decisions[d.Kind].Add(1)
	return d
}

// beginUnrecorded grants the single attempt of a call without a key.
func (r *Recorder) beginUnrecorded(call *Call) Decision {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.atCapacity() {
		return Decision{Kind: Unavailable}
	}
	a := r.newAttempt(call)
	a.phase = phaseReady
	r.attempts[a.id] = a
	return Decision{Kind: Run, Attempt: a}
}

// atCapacity reports whether no further attempt may start. The caller holds
// r.mu.
func (r *Recorder) atCapacity() bool {
	return r.draining || r.running+len(r.unsaved) >= r.config.MaxPending || r.heldBytes >= r.config.MaxHeldBytes
}

// newAttempt returns an attempt and counts it as running. The caller holds
// r.mu.
func (r *Recorder) newAttempt(call *Call) *Attempt {
	r.sequence++
	r.running++
	return &Attempt{
		recorder:    r,
		id:          fmt.Sprintf("%s-%x", r.config.Incarnation, r.sequence),
		target:      call.Target,
		fingerprint: call.Fingerprint,
		startedAt:   time.Now(),
		ended:       make(chan struct{}),
	}
}

// begin tries to write the record of an attempt until an attempt is granted, or
// until the existing record decides about the call.
func (r *Recorder) begin(ctx context.Context, call *Call, state beginState) Decision {
	loc := locationOf(call)
	writeCtx, cancel := context.WithTimeout(ctx, r.config.WriteTimeout)
	defer cancel()
	for writeCtx.Err() == nil {
		if state.readFirst {
			var d Decision
			d, state = r.decideFromTable(writeCtx, call, loc, state)
			if d.Kind != 0 {
				return d
			}
			if state.readFirst {
				pause.For(writeCtx, jitter(maxBackoff/4))
				continue
			}
		}
		a, d := r.register(call, loc, &state)
		if a == nil && d.Kind == 0 {
			pause.For(writeCtx, minBackoff)
			continue
		}
		if a == nil {
			return d
		}
		d = r.writeRecord(ctx, writeCtx, call, a, state)
		if d.Kind != 0 {
			return d
		}
		state = beginState{readFirst: true}
	}
	if state.readFirst && state.notRun == "" {
		return Decision{Kind: Unknown}
	}
	return Decision{Kind: Unavailable}
}

// register registers a new attempt for the location, unless the memory of this
// router decides about the call. It returns neither an attempt nor a decision
// while a different request is being recorded at the location, because that
// record may yet fail to be written.
func (r *Recorder) register(call *Call, loc location, state *beginState) (*Attempt, Decision) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if a := r.byLocation[loc.name()]; a != nil {
		return nil, r.decideFromMemory(call, a)
	}
	if r.atCapacity() {
		return nil, Decision{Kind: Unavailable}
	}
	a := r.newAttempt(call)
	a.location = loc
	a.recorded = true
	r.assignPage(a)
	value, err := encodeRecord(&storedRecord{
		fingerprint: call.Fingerprint,
		attempt:     a.id,
		vm:          r.config.VM,
		incarnation: r.config.Incarnation,
		target:      call.Target,
		page:        a.page.key,
		startedAt:   a.startedAt,
	})
	if err != nil {
		r.running--
		return nil, Decision{Kind: Unavailable}
	}
	a.entry = Entry{
		Partner:  loc.partner,
		Row:      loc.row,
		Slot:     loc.slot,
		Value:    value,
		Version:  state.version,
		Replaces: state.replaces,
		Attempt:  a.id,
	}
	r.attempts[a.id] = a
	r.byLocation[loc.name()] = a
	return a, Decision{}
}

// decideFromMemory decides about a call whose key this router runs or ran. The
// decision has no kind as long as that can't be decided. The caller holds r.mu.
func (r *Recorder) decideFromMemory(call *Call, a *Attempt) Decision {
	if a.fingerprint != call.Fingerprint && a.phase == phaseWriting {
		return Decision{}
	}
	if a.fingerprint != call.Fingerprint {
		return Decision{Kind: Mismatch}
	}
	if a.phase == phaseEnded {
		return Decision{Kind: Replay, Response: a.outcome.Response}
	}
	return Decision{Kind: Join, Join: r.joinLocal(call, a)}
}

// writeRecord writes the record of an attempt and grants the attempt if that
// succeeds. The decision has no kind if the record names another attempt.
// The context writeCtx is derived from ctx and bounds the time to write.
func (r *Recorder) writeRecord(ctx, writeCtx context.Context, call *Call, a *Attempt, state beginState) Decision {
	result := r.submit(writeCtx, a.entry)
	for result == CommitClaimed {
		current := r.claimAtHome(writeCtx, a, state.notRun, true)
		if current.Attempt != a.id {
			return r.yieldTo(writeCtx, call, a, current)
		}
		result = r.submit(writeCtx, a.entry)
	}
	switch result {
	case CommitApplied:
		return r.grant(ctx, a)
	case CommitConflict:
		r.discard(a)
		return Decision{}
	}
	if call.Outage == OutageAttempt && ctx.Err() == nil {
		return r.attemptUnprotected(ctx, call, a, state.notRun)
	}
	r.abandon(a, result)
	return Decision{Kind: Unavailable}
}

// grant makes an attempt ready after its record was written. The attempt may
// have ended meanwhile because the router is draining.
func (r *Recorder) grant(ctx context.Context, a *Attempt) Decision {
	r.config.observe(ctx, StepGranted)
	r.mu.Lock()
	defer r.mu.Unlock()
	if a.phase != phaseWriting {
		return Decision{Kind: Unavailable}
	}
	a.phase = phaseReady
	a.protected = true
	return Decision{Kind: Run, Attempt: a}
}

// abandon ends an attempt that could not be recorded. If its record may still
// appear, its outcome is written, so that another attempt may follow.
func (r *Recorder) abandon(a *Attempt, result CommitResult) {
	if result == CommitRejected {
		r.discard(a)
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if a.phase != phaseEnded {
		r.endAttempt(a, storedOutcome{Outcome: Outcome{State: OutcomeNotRun}})
	}
}

// submit has an entry written, and retries until it is decided or the context
// ends. Entries are idempotent, so a retry never writes one twice.
func (r *Recorder) submit(ctx context.Context, entry Entry) CommitResult {
	last := CommitRejected
	for {
		result := r.submitOnce(ctx, entry)
		switch result {
		case CommitApplied, CommitConflict, CommitClaimed:
			return result
		case CommitUncertain:
			last = CommitUncertain
		case CommitRejected:
		}
		if !pause.For(ctx, jitter(maxBackoff/4)) {
			return last
		}
	}
}

// submitOnce has an entry written by the home of its row, by the next home if
// that one fails, or else by this router.
func (r *Recorder) submitOnce(ctx context.Context, entry Entry) CommitResult {
	for tried := range maxHomeTries {
		home := r.homeOf(entry.Partner, entry.Row)
		if home == "" && tried == 0 {
			return r.Commit(ctx, entry)
		}
		if home == "" {
			break
		}
		result, err := r.commitAtHome(ctx, home, entry)
		if err == nil {
			return result
		}
		if ctx.Err() != nil {
			// The caller's deadline passed, which does not mean that the home
			// failed.
			return CommitUncertain
		}
		r.avoid(home)
	}
	r.count.direct.Add(1)
	result := r.Commit(ctx, entry)
	if result == CommitRejected {
		// A home that was asked before may still write the entry.
		return CommitUncertain
	}
	return result
}

// Commit writes an entry on behalf of another router, or of this one. It
// returns within CallTimeout, even while the table is unavailable.
func (r *Recorder) Commit(ctx context.Context, entry Entry) CommitResult {
	ctx, cancel := context.WithTimeout(ctx, r.config.CallTimeout*commitTimeoutPercent/100)
	defer cancel()
	claim, err := claimOf(entry)
	if err != nil {
		return CommitRejected
	}
	if r.claimForWrite(claim) {
		return CommitClaimed
	}
	result := r.batch.submit(ctx, entry)
	r.concludeClaim(claim, result)
	return result
}
