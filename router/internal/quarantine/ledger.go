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

	// inForce holds the verdicts in force by each of their keys, and guilty the requests, and
	// the parts that are the only ones of a verdict, in some scope, as keys without one.
	inForce map[Key][]*judgement
	guilty  map[Key]struct{}

	// explained holds the crashes that a verdict explains, by the servers.
	explained map[uint64]explanation

	// crashTimes are when engines crashed.
	crashTimes crashTimes

	// credits are those of what has started or ended soundly at this router, and
	// learningSince is when the first one did, or the zero time.
	credits       credits
	learningSince time.Time
}

// verdictKey identifies a verdict by its scope and its parts or request.
type verdictKey struct {
	scope   Scope
	parts   string
	request Digest
}

// explanation says when a verdict explained a crash, which then says nothing about others.
// The first crash of a request under a verdict still speaks against its parts, as its
// copies say as much about them as one request does.
type explanation struct {
	at    time.Time
	parts []uint64
}

// suspects reports whether the crash still speaks against a key.
func (e explanation) suspects(key Key) bool {
	return !key.isRequest() && slices.Contains(e.parts, key.Part)
}

// judgement is a verdict with what only this router knows of it.
type judgement struct {
	Verdict

	// score is lowered by what starts or ends soundly. The verdict is lifted when it reaches zero.
	score int

	// trying says that this router has let a request through to try the verdict, whose
	// outcome is not known.
	trying bool

	// heard says that the current epoch was received from another router.
	heard bool
}

// NewLedger returns an empty ledger. mayTry reports whether this router is the one
// that tries a key again when its verdict has lasted long enough; nil means that it
// is. It must not call the ledger.
func NewLedger(now time.Time, name string, mayTry func(key Key) bool) *Ledger {
	if mayTry == nil {
		mayTry = func(Key) bool { return true }
	}
	return &Ledger{
		name: name, mayTry: mayTry, credits: newCredits(now),
		suspects: make(map[Key]*suspect), verdicts: make(map[verdictKey]*judgement),
		inForce: make(map[Key][]*judgement), guilty: make(map[Key]struct{}), explained: make(map[uint64]explanation),
	}
}

// key returns the identity of the verdict.
func (v *Verdict) key() verdictKey {
	parts := make([]byte, 0, 8*len(v.Parts))
	for _, part := range v.Parts {
		parts = binary.BigEndian.AppendUint64(parts, part)
	}
	return verdictKey{scope: v.Scope, parts: string(parts), request: v.Request}
}

// Decision says what happens to a request.
type Decision struct {
	// Refused says that the request is kept out until a time at least.
	Refused bool
	Until   time.Time

	// Held says that there is no verdict: two crashes speak against the request, so that
	// its copies run one at a time.
	Held bool

	// Asked says that this is the first copy that was left to the home of the request since
	// its last crash, which the other routers have to be told.
	Asked bool

	// Trial says that the request is let through to try Verdict, and Decided that Verdict
	// was made by this check. The other routers have to be told of both.
	Trial   bool
	Decided bool
	Verdict Verdict
}

// refusal returns the decision to keep a request out by a verdict.
func refusal(v Verdict) Decision { return Decision{Refused: true, Until: v.Until, Verdict: v} }

// Check decides on a request. sending says that it is sent unless it is refused; before
// that, no trial begins.
func (l *Ledger) Check(now time.Time, run Run, sending bool) Decision {
	if l.tracked.Load() == 0 {
		return Decision{}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	var trial *judgement
	for _, key := range run.keys() {
		for _, j := range l.inForce[key] {
			if j == trial || !j.covers(&run) {
				continue
			}
			if trial != nil || !now.After(j.Until) || !l.mayTry(j.home()) {
				return refusal(j.Verdict)
			}
			trial = j
		}
	}
	if held := l.hold(now, &run, sending); held.Refused {
		return held
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

// Suspected reports whether two crashes speak against a request or a part of its prompt,
// so that an attempt at a further server would probably crash that one.
func (l *Ledger) Suspected(run Run) bool {
	if l.tracked.Load() == 0 {
		return false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, key := range run.keys() {
		if s, ok := l.suspects[key]; ok && s.score > 0 && len(s.crashes) >= suspectCrashes {
			return true
		}
	}
	return false
}

// lift ends a verdict. probation says that its parts stay suspect. The caller holds
// l.mu.
func (l *Ledger) lift(now time.Time, j *judgement, probation bool) {
	l.change(now, j, now)
	j.Lifted, j.Probation, j.trying = true, probation, false
	l.putOnProbation(now, &j.Verdict)
	l.index()
}

// putOnProbation makes what a verdict names suspect, if it was lifted for a sound trial.
// The caller holds l.mu.
func (l *Ledger) putOnProbation(now time.Time, v *Verdict) {
	if !v.Lifted || !v.Probation {
		return
	}
	for _, key := range v.keys() {
		l.suspect(now, key).putOnProbation(now, v.Parts)
	}
}

// Lift ends the verdicts in force that name a request or part, in any scope, as an operator
// decides, and returns them.
func (l *Ledger) Lift(now time.Time, named Key) (lifted []Verdict) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, j := range l.verdicts {
		if !j.Lifted && slices.ContainsFunc(j.keys(), func(key Key) bool { return key.anywhere() == named }) {
			l.lift(now, j, false)
			lifted = append(lifted, j.Verdict)
		}
	}
	for key := range l.suspects {
		if key.anywhere() == named {
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
		if !v.valid() || now.After(v.Until.Add(verdictTTL)) {
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
		keys := j.keys()
		for _, key := range keys {
			l.inForce[key] = append(l.inForce[key], j)
		}
		if len(keys) == 1 {
			l.guilty[keys[0].anywhere()] = struct{}{}
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
	for engine, explained := range l.explained {
		if now.Sub(explained.at) > evidenceTTL {
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
