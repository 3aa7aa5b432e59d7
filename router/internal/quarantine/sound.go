package quarantine

import (
	"slices"
	"time"
)

// RecordStart records that a request started soundly at a server. It returns the parts
// that are suspect or under a verdict, for which the start is evidence, and the verdicts
// that it lifted.
func (l *Ledger) RecordStart(now time.Time, run Run) (relevant []Key, lifted []Verdict) {
	return l.recordSound(now, &run, run.partKeys())
}

// RecordEnd records that a server ran a request to its end and did not crash. It returns
// the request if it is suspect or under a verdict, and the verdicts that the end lifted.
func (l *Ledger) RecordEnd(now time.Time, run Run) (relevant []Key, lifted []Verdict) {
	key, ok := run.requestKey()
	if !ok {
		return nil, nil
	}
	return l.recordSound(now, &run, []Key{key})
}

// recordSound records evidence for the keys of a run.
func (l *Ledger) recordSound(now time.Time, run *Run, keys []Key) (relevant []Key, lifted []Verdict) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.learningSince.IsZero() {
		l.learningSince = now
	}
	for _, key := range keys {
		l.credits.add(now, key)
		judgements := slices.Clone(l.inForce[key])
		covered := slices.DeleteFunc(judgements, func(j *judgement) bool { return !j.covers(run) })
		if _, ok := l.suspects[key]; !ok && len(covered) == 0 {
			continue
		}
		relevant = append(relevant, key)
		l.clearSuspect(key, 1)
		for _, j := range covered {
			if key == j.home() && l.clearVerdict(now, j, 1) {
				lifted = append(lifted, j.Verdict)
			}
		}
	}
	l.countTracked()
	return relevant, lifted
}

// ApplySound records sound starts of requests with a part, or sound ends of a request, at
// another router. A start counts for a verdict of several parts only where it happened,
// as the other parts of the request aren't known here. It returns the verdicts that are
// lifted.
func (l *Ledger) ApplySound(now time.Time, key Key, times int) (lifted []Verdict) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.clearSuspect(key, times)
	for _, j := range slices.Clone(l.inForce[key]) {
		if len(j.keys()) == 1 && l.clearVerdict(now, j, times) {
			lifted = append(lifted, j.Verdict)
		}
	}
	l.countTracked()
	return lifted
}

// clearSuspect counts sound starts or ends for a suspect, and drops it if they outweigh
// the crashes. The caller holds l.mu.
func (l *Ledger) clearSuspect(key Key, times int) {
	s, ok := l.suspects[key]
	if !ok {
		return
	}
	s.sound += times
	s.score -= times * key.soundWeight()
	if s.cleared() {
		delete(l.suspects, key)
	}
}

// clearVerdict counts sound starts or ends of requests that a verdict would have kept
// out, and lifts the verdict if they outweigh its evidence. The caller holds l.mu.
func (l *Ledger) clearVerdict(now time.Time, j *judgement, times int) bool {
	j.score -= times * j.home().soundWeight()
	if j.score > 0 && !j.trying {
		return false
	}
	l.lift(now, j, j.trying)
	return true
}
