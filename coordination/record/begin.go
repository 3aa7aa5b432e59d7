package record

import (
	"context"
	"fmt"
	"time"
)

// start says from where Begin goes on for a row.
type start struct {
	// look says that the row has to be read first.
	look bool

	// version and replaces are the row's and the attempt of the record which
	// the next attempt replaces.
	version  uint64
	replaces string

	// over is an attempt that is known not to run, and asked one whose router
	// could not tell its outcome.
	over  string
	asked string
}

// Begin decides about a call. It returns within the time that config.Wait
// allows for the write of the record plus that of a few reads, or when the
// context ends, and leaves no attempt behind unless the decision is Run. The
// error satisfies errors.NotValid if the key can't be used; the call did not
// run then.
func (b *Recorder) Begin(ctx context.Context, call Call) (Decision, error) {
	now := time.Now()
	if call.Key == "" {
		return b.told(b.unrecorded(&call)), nil
	}
	if err := validate(&call, now, b.config.MaxClockSkew); err != nil {
		return Decision{}, fmt.Errorf("begin: %w", err)
	}
	if expired(call.Key, now, b.config.Retention, b.config.MaxClockSkew) {
		return b.told(Decision{Kind: Expired}), nil
	}
	b.config.observe(ctx, StepBegin)
	return b.told(b.begin(ctx, &call, start{})), nil
}

// told counts a decision.
func (b *Recorder) told(d Decision) Decision {
	b.count.decisions[d.Kind].Add(1)
	return d
}

// unrecorded grants the single attempt of a call without a key.
func (b *Recorder) unrecorded(call *Call) Decision {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.full() {
		return Decision{Kind: Unavailable}
	}
	a := b.newAttempt(call)
	a.phase = phaseReady
	b.attempts[a.id] = a
	return Decision{Kind: Run, Attempt: a}
}

// full reports whether no further attempt may start. The caller holds b.mu.
func (b *Recorder) full() bool {
	return b.draining || b.running+len(b.unsaved) >= b.config.MaxPending || b.held >= b.config.Held
}

// newAttempt returns an attempt that runs. The caller holds b.mu.
func (b *Recorder) newAttempt(call *Call) *Attempt {
	b.numbers++
	b.running++
	return &Attempt{
		book:        b,
		id:          fmt.Sprintf("%s-%x", b.config.Incarnation, b.numbers),
		target:      call.Target,
		fingerprint: call.Fingerprint,
		began:       time.Now(),
		ended:       make(chan struct{}),
	}
}

// begin writes attempts for the row until one is granted or the row itself
// decides.
func (b *Recorder) begin(ctx context.Context, call *Call, from start) Decision {
	at := placeOf(call)
	wait, cancel := context.WithTimeout(ctx, b.config.WriteTimeout)
	defer cancel()
	for wait.Err() == nil {
		if from.look {
			var d Decision
			d, from = b.examine(wait, call, at, from)
			if d.Kind != 0 {
				return d
			}
			if from.look {
				sleep(wait, jitter(backoffLimit/4))
				continue
			}
		}
		a, d := b.open(call, at, &from)
		if a == nil && d.Kind == 0 {
			sleep(wait, backoffStart)
			continue
		}
		if a == nil {
			return d
		}
		d = b.write(ctx, wait, call, a, from)
		if d.Kind != 0 {
			return d
		}
		from = start{look: true}
	}
	if from.look && from.over == "" {
		return Decision{Kind: Unknown}
	}
	return Decision{Kind: Unavailable}
}

// open registers a new attempt for the row, unless the memory of this router
// decides about the call. It returns neither while another request is being
// recorded for the row, because its record may yet fail.
func (b *Recorder) open(call *Call, at place, from *start) (*Attempt, Decision) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if a := b.rows[at.name()]; a != nil {
		return nil, b.remembered(call, a)
	}
	if b.full() {
		return nil, Decision{Kind: Unavailable}
	}
	a := b.newAttempt(call)
	a.at = at
	a.recorded = true
	b.place(a)
	value, err := encodeRecord(&stored{
		fingerprint: call.Fingerprint,
		attempt:     a.id,
		vm:          b.config.VM,
		incarnation: b.config.Incarnation,
		target:      call.Target,
		page:        a.page.key,
		at:          a.began,
	})
	if err != nil {
		b.running--
		return nil, Decision{Kind: Unavailable}
	}
	a.entry = Entry{
		Partner:  at.partner,
		Row:      at.row,
		Slot:     at.slot,
		Value:    value,
		Version:  from.version,
		Replaces: from.replaces,
		Attempt:  a.id,
	}
	b.attempts[a.id] = a
	b.rows[at.name()] = a
	return a, Decision{}
}

// remembered decides about a call of which this router runs or ran an attempt.
// The decision has no kind while that can't be told. The caller holds b.mu.
func (b *Recorder) remembered(call *Call, a *Attempt) Decision {
	if a.fingerprint != call.Fingerprint && a.phase == phaseWriting {
		return Decision{}
	}
	if a.fingerprint != call.Fingerprint {
		return Decision{Kind: Mismatch}
	}
	if a.phase == phaseEnded {
		return Decision{Kind: Replay, Response: a.outcome.Response}
	}
	return Decision{Kind: Join, Join: b.joinLocal(call, a)}
}

// write has the record of an attempt written and grants the attempt if it was.
// The decision has no kind if the row names another attempt. The time to write
// is bounded by wait, a context of ctx.
func (b *Recorder) write(ctx, wait context.Context, call *Call, a *Attempt, from start) Decision {
	verdict := b.submit(wait, a.entry)
	for verdict == CommitClaimed {
		held := b.claim(wait, a, from.over, true)
		if held.Attempt != a.id {
			return b.yield(wait, call, a, held)
		}
		verdict = b.submit(wait, a.entry)
	}
	switch verdict {
	case CommitApplied:
		return b.grant(ctx, a)
	case CommitConflict:
		b.void(a)
		return Decision{}
	}
	if call.Outage == OutageAttempt && ctx.Err() == nil {
		return b.attemptUnprotected(ctx, call, a, from.over)
	}
	b.refuse(a, verdict)
	return Decision{Kind: Unavailable}
}

// grant makes an attempt ready whose record was written. The attempt may have
// ended meanwhile because the router is draining.
func (b *Recorder) grant(ctx context.Context, a *Attempt) Decision {
	b.config.observe(ctx, StepGranted)
	b.mu.Lock()
	defer b.mu.Unlock()
	if a.phase != phaseWriting {
		return Decision{Kind: Unavailable}
	}
	a.phase = phaseReady
	a.protected = true
	return Decision{Kind: Run, Attempt: a}
}

// refuse ends an attempt that could not be recorded. If its record may yet
// appear, its outcome is written, so that another attempt may follow.
func (b *Recorder) refuse(a *Attempt, verdict CommitResult) {
	if verdict == CommitRejected {
		b.void(a)
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if a.phase != phaseEnded {
		b.end(a, outcome{Outcome: Outcome{State: OutcomeNotRun}})
	}
}

// submit has an entry written, and tries again until it is decided or the
// context ends. An entry that was handed in more than once is written once.
func (b *Recorder) submit(ctx context.Context, entry Entry) CommitResult {
	last := CommitRejected
	for {
		verdict := b.submitOnce(ctx, entry)
		switch verdict {
		case CommitApplied, CommitConflict, CommitClaimed:
			return verdict
		case CommitUncertain:
			last = CommitUncertain
		case CommitRejected:
		}
		if !sleep(ctx, jitter(backoffLimit/4)) {
			return last
		}
	}
}

// submitOnce has an entry written by the home of its row, by the next home if
// that one fails, or by this router.
func (b *Recorder) submitOnce(ctx context.Context, entry Entry) CommitResult {
	for asked := range homeTries {
		home := b.homeOf(entry.Partner, entry.Row)
		if home == "" && asked == 0 {
			return b.Commit(ctx, entry)
		}
		if home == "" {
			break
		}
		verdict, err := b.askHome(ctx, home, entry)
		if err == nil {
			return verdict
		}
		if ctx.Err() != nil {
			// The time of the call is over, which tells nothing of the home.
			return CommitUncertain
		}
		b.avoid(home)
	}
	b.count.direct.Add(1)
	verdict := b.Commit(ctx, entry)
	if verdict == CommitRejected {
		// A home may still write the entry.
		return CommitUncertain
	}
	return verdict
}

// Commit writes an entry on behalf of another router, or of this one. It returns
// within the time for one call, also while the table can't be reached.
func (b *Recorder) Commit(ctx context.Context, entry Entry) CommitResult {
	ctx, cancel := context.WithTimeout(ctx, b.config.CallTimeout*verdictShare/100)
	defer cancel()
	claim, err := claimOf(entry)
	if err != nil {
		return CommitRejected
	}
	if b.claimed(claim) {
		return CommitClaimed
	}
	verdict := b.batch.submit(ctx, entry)
	b.conclude(claim, verdict)
	return verdict
}
