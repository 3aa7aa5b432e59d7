package quarantine

import (
	"encoding/binary"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

// Ledger holds the suspects and verdicts that a router knows. Its methods are safe for
// concurrent use, and take the time as an argument.
type Ledger struct {
	// name identifies this router in verdicts. mayTry reports whether this router is
	// the one that tries a verdict again; it is called while mu is held.
	name   string
	mayTry func(key Key) bool

	// tracked is the number of suspects and verdicts. While it is zero, requests
	// don't take the lock.
	tracked atomic.Int64

	// mu guards the fields below.
	mu       sync.Mutex
	suspects map[Key]*suspect
	verdicts map[verdictKey]*judgement

	// inForce holds the verdicts in force by each of their parts, and guilty the parts
	// that are the only ones of a verdict in some scope.
	inForce map[Key][]*judgement
	guilty  map[uint64]struct{}

	// explained holds when engines crashed whose crashes a verdict explains. They say
	// nothing about other parts.
	explained map[uint64]time.Time

	// crashTimes are when engines crashed.
	crashTimes crashTimes

	// credits are those of the parts that have started soundly at this router, and
	// learningSince is when the first one did, or the zero time.
	credits       credits
	learningSince time.Time
}

// verdictKey identifies a verdict by its scope and its parts.
type verdictKey struct {
	scope Scope
	parts string
}

// judgement is a verdict with what only this router knows of it.
type judgement struct {
	Verdict

	// score is lowered by sound starts. The verdict is lifted when it reaches zero.
	score int

	// trying says that this router has let a request through to try the verdict, whose
	// outcome is not known.
	trying bool

	// heard says that the current epoch was received from another router.
	heard bool
}

// NewLedger returns an empty ledger. mayTry reports whether this router is the one
// that tries a part again when its verdict has lasted long enough; nil means that it
// is. It must not call the ledger.
func NewLedger(now time.Time, name string, mayTry func(key Key) bool) *Ledger {
	if mayTry == nil {
		mayTry = func(Key) bool { return true }
	}
	return &Ledger{
		name: name, mayTry: mayTry, credits: newCredits(now),
		suspects: make(map[Key]*suspect), verdicts: make(map[verdictKey]*judgement),
		inForce: make(map[Key][]*judgement), guilty: make(map[uint64]struct{}), explained: make(map[uint64]time.Time),
	}
}

// key returns the identity of the verdict.
func (v *Verdict) key() verdictKey {
	parts := make([]byte, 0, 8*len(v.Parts))
	for _, part := range v.Parts {
		parts = binary.BigEndian.AppendUint64(parts, part)
	}
	return verdictKey{scope: v.Scope, parts: string(parts)}
}

// Decision says what happens to a request.
type Decision struct {
	// Refused says that Verdict keeps the request out.
	Refused bool

	// Trial says that the request is let through to try Verdict, which the other
	// routers have to be told.
	Trial   bool
	Verdict Verdict
}

// Check decides on a request. sending says that it is sent unless it is refused; before
// that, no trial begins.
func (l *Ledger) Check(now time.Time, scope Scope, parts []uint64, sending bool) Decision {
	if l.tracked.Load() == 0 {
		return Decision{}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	var trial *judgement
	for _, part := range parts {
		for _, j := range l.inForce[Key{Scope: scope, Part: part}] {
			if j == trial || !j.covers(parts) {
				continue
			}
			if trial != nil || !now.After(j.Until) || !l.mayTry(Key{Scope: j.Scope, Part: j.Parts[0]}) {
				return Decision{Refused: true, Verdict: j.Verdict}
			}
			trial = j
		}
	}
	if trial == nil || !sending {
		return Decision{}
	}
	trial.trying = true
	l.change(now, trial, now.Add(trialPause))
	return Decision{Trial: true, Verdict: trial.Verdict}
}

// change begins a new epoch of a verdict, which may be tried after a time. The caller
// holds l.mu.
func (l *Ledger) change(now time.Time, j *judgement, until time.Time) {
	j.Epoch++
	j.Saved, j.heard, j.DecidedAt, j.DecidedBy, j.Until = false, false, now, l.name, until
}

// Suspected reports whether a request has a part that two crashes speak against, so
// that an attempt at a further engine would probably crash that one.
func (l *Ledger) Suspected(scope Scope, parts []uint64) bool {
	if l.tracked.Load() == 0 {
		return false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, part := range parts {
		if s, ok := l.suspects[Key{Scope: scope, Part: part}]; ok && s.score > 0 && len(s.crashes) >= suspectCrashes {
			return true
		}
	}
	return false
}

// RecordStart records that a request started soundly at an engine. It returns those of
// its parts that are suspect or under a verdict, for which the start is evidence, and
// the verdicts that it lifted.
func (l *Ledger) RecordStart(now time.Time, scope Scope, parts []uint64) (relevant []Key, lifted []Verdict) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.learningSince.IsZero() {
		l.learningSince = now
	}
	for _, part := range parts {
		key := Key{Scope: scope, Part: part}
		l.credits.add(now, key)
		judgements := slices.Clone(l.inForce[key])
		covered := slices.DeleteFunc(judgements, func(j *judgement) bool { return !j.covers(parts) })
		if _, ok := l.suspects[key]; !ok && len(covered) == 0 {
			continue
		}
		relevant = append(relevant, key)
		l.recordSuspectStart(key, 1)
		for _, j := range covered {
			if part == j.Parts[0] && l.recordVerdictStart(now, j, 1) {
				lifted = append(lifted, j.Verdict)
			}
		}
	}
	l.countTracked()
	return relevant, lifted
}

// ApplyStarts records sound starts of requests with a part at another router. A start
// counts for a verdict of several parts only where it happened, as the other parts of
// the request aren't known here. It returns the verdicts that are lifted.
func (l *Ledger) ApplyStarts(now time.Time, key Key, starts int) (lifted []Verdict) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.recordSuspectStart(key, starts)
	for _, j := range slices.Clone(l.inForce[key]) {
		if len(j.Parts) == 1 && l.recordVerdictStart(now, j, starts) {
			lifted = append(lifted, j.Verdict)
		}
	}
	l.countTracked()
	return lifted
}

// recordSuspectStart counts sound starts for a suspect, and clears it if they outweigh
// the crashes. The caller holds l.mu.
func (l *Ledger) recordSuspectStart(key Key, starts int) {
	s, ok := l.suspects[key]
	if !ok {
		return
	}
	s.starts += starts
	s.score -= starts * startWeight
	if s.cleared() {
		delete(l.suspects, key)
	}
}

// recordVerdictStart counts sound starts of requests that a verdict would have kept
// out, and lifts the verdict if they outweigh its evidence. The caller holds l.mu.
func (l *Ledger) recordVerdictStart(now time.Time, j *judgement, starts int) bool {
	j.score -= starts * startWeight
	if j.score > 0 && !j.trying {
		return false
	}
	l.lift(now, j, j.trying)
	return true
}

// lift ends a verdict. probation says that its parts stay suspect. The caller holds
// l.mu.
func (l *Ledger) lift(now time.Time, j *judgement, probation bool) {
	l.change(now, j, now)
	j.Lifted, j.Probation, j.trying = true, probation, false
	l.putOnProbation(now, &j.Verdict)
	l.index()
}

// putOnProbation makes the parts of a verdict suspect that was lifted for a sound trial.
// The caller holds l.mu.
func (l *Ledger) putOnProbation(now time.Time, v *Verdict) {
	if !v.Lifted || !v.Probation {
		return
	}
	for _, part := range v.Parts {
		l.suspect(now, Key{Scope: v.Scope, Part: part}).putOnProbation(now, v.Parts)
	}
}

// Lift ends the verdicts in force that name a part, as an operator decides, and returns
// them.
func (l *Ledger) Lift(now time.Time, part uint64) (lifted []Verdict) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, j := range l.verdicts {
		if !j.Lifted && slices.Contains(j.Parts, part) {
			l.lift(now, j, false)
			lifted = append(lifted, j.Verdict)
		}
	}
	for key := range l.suspects {
		if key.Part == part {
			delete(l.suspects, key)
		}
	}
	l.countTracked()
	return lifted
}

// Apply takes over verdicts of other routers or of the store as far as they are newer
// than those that are known, and returns the ones that changed something.
func (l *Ledger) Apply(now time.Time, verdicts []Verdict) (changed []Verdict) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, v := range verdicts {
		if len(v.Parts) == 0 || now.After(v.Until.Add(verdictTTL)) {
			continue
		}
		known, ok := l.verdicts[v.key()]
		switch {
		case !ok:
			l.verdicts[v.key()] = &judgement{Verdict: v, score: verdictScore, heard: true}
		case v.supersedes(&known.Verdict):
			known.Verdict, known.score, known.heard, known.trying = v, verdictScore, true, false
		default:
			same := v.Epoch == known.Epoch
			known.Saved, known.heard = known.Saved || v.Saved && same, known.heard || same
			continue
		}
		changed = append(changed, v)
		l.explainByVerdict(now, &v)
		l.putOnProbation(now, &v)
	}
	if len(changed) > 0 {
		l.index()
	}
	return changed
}

// Heard reports whether another router has announced a verdict, or a newer epoch of it.
func (l *Ledger) Heard(v Verdict) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	known, ok := l.verdicts[v.key()]
	return ok && (known.Epoch > v.Epoch || known.Epoch == v.Epoch && known.heard)
}

// MarkSaved records that a verdict is in the store.
func (l *Ledger) MarkSaved(v Verdict) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if known, ok := l.verdicts[v.key()]; ok && known.Epoch == v.Epoch {
		known.Saved = true
	}
}

// index drops the verdicts beyond the bound and builds the index of those in force.
// The caller holds l.mu.
func (l *Ledger) index() {
	for len(l.verdicts) > maxVerdicts {
		var oldest *judgement
		for _, j := range l.verdicts {
			if oldest == nil || j.DecidedAt.Before(oldest.DecidedAt) {
				oldest = j
			}
		}
		delete(l.verdicts, oldest.key())
	}
	clear(l.inForce)
	clear(l.guilty)
	for _, j := range l.verdicts {
		if j.Lifted {
			continue
		}
		for _, part := range j.Parts {
			key := Key{Scope: j.Scope, Part: part}
			l.inForce[key] = append(l.inForce[key], j)
		}
		if len(j.Parts) == 1 {
			l.guilty[j.Parts[0]] = struct{}{}
		}
	}
	l.countTracked()
}

// Expire drops the suspects and verdicts whose time is over, and returns the verdicts.
func (l *Ledger) Expire(now time.Time) (expired []Verdict) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for key, s := range l.suspects {
		if now.Sub(s.crashedAt) > evidenceTTL {
			delete(l.suspects, key)
		}
	}
	for engine, at := range l.explained {
		if now.Sub(at) > evidenceTTL {
			delete(l.explained, engine)
		}
	}
	for key, j := range l.verdicts {
		if now.After(j.Until.Add(verdictTTL)) {
			expired = append(expired, j.Verdict)
			delete(l.verdicts, key)
		}
	}
	l.index()
	return expired
}

// countTracked updates tracked. The caller holds l.mu.
func (l *Ledger) countTracked() { l.tracked.Store(int64(len(l.suspects) + len(l.verdicts))) }
