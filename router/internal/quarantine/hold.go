package quarantine

import "time"

// hold decides on a request before there is a verdict on it. Copies of a request against
// which two crashes speak run one at a time over all routers, so that many that come at
// once crash no more servers than they have to. Each outcome is awaited: a further crash
// gives a verdict, and a sound end sets the others free. The caller holds l.mu.
func (l *Ledger) hold(now time.Time, run *Run, sending bool) Decision {
	key, ok := run.requestKey()
	if !ok {
		return Decision{}
	}
	s, ok := l.suspects[key]
	if !ok || s.score < holdScore || l.requestScore(now, s) < holdScore {
		return Decision{}
	}
	if _, ok := l.culprits(s); !ok { // Another suspect explains its crashes.
		return Decision{}
	}
	if verdicts := l.judge(now, []*suspect{s}); len(verdicts) > 0 {
		decision := refusal(verdicts[0])
		decision.Decided = true
		return decision
	}
	until := l.heldUntil(now, s)
	asked := false // A copy that may run is left to the home first.
	if !now.Before(until) && !l.mayTry(key) {
		asked = s.ask(now)
		until = s.askedAt.Add(homeTime)
	}
	if now.Before(until) {
		return Decision{Refused: true, Held: true, Until: until, Asked: asked}
	}
	if sending {
		s.triedAt = now
	}
	return Decision{}
}

// heldUntil returns until when no router may try a copy of a request that is held back. The
// caller holds l.mu.
func (l *Ledger) heldUntil(now time.Time, s *suspect) time.Time {
	until := s.crashedAt.Add(holdPause)
	if s.score >= verdictScore {
		until = later(until, s.firstAt.Add(l.clearTime(now)))
	}
	if !s.triedAt.IsZero() {
		until = later(until, s.triedAt.Add(trialTime))
	}
	return until
}

// ApplyAsk records that a copy of a request that is held back came at another router.
func (l *Ledger) ApplyAsk(now time.Time, key Key) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if s, ok := l.suspects[key]; ok {
		s.ask(now)
	}
}

// ask records that a copy of a request that is held back came, and reports whether it is the
// first one since the last crash or since the time that others had.
func (s *suspect) ask(now time.Time) bool {
	if s.askedAt.After(s.crashedAt) && now.Sub(s.askedAt) < homeTime+othersTime {
		return false
	}
	s.askedAt = now
	return true
}

// later returns the later one of two times.
func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
