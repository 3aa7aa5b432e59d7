package quarantine

import (
	"slices"
	"time"
)

// RecordCrash records the crash of a server as a router saw it. Reports of the same
// crash by several routers count once for each key. It returns the verdicts that
// follow from it.
func (l *Ledger) RecordCrash(now time.Time, router string, crash Crash) []Verdict {
	l.mu.Lock()
	defer l.mu.Unlock()
	renewed := l.explainCrash(now, crash)
	explained, isExplained := l.explained[crash.Engine]
	if isExplained && len(explained.parts) == 0 {
		return renewed
	}
	l.crashTimes.add(crash.Engine, now)
	gap := max(crashGap, time.Duration(l.crashTimes.around(now))*crashGapStep)
	var risen []*suspect
	for _, run := range crash.Runs {
		for _, key := range suspectKeys(&run) {
			if isExplained && !explained.suspects(key) {
				continue
			}
			s := l.suspect(now, key)
			if s.recordCrash(now, router, crash.Engine, run, gap) {
				risen = append(risen, s)
			}
		}
	}
	l.countTracked()
	return append(renewed, l.judge(now, risen)...)
}

// suspectKeys returns the keys of a run that a crash speaks against.
func suspectKeys(run *Run) []Key {
	if !run.Started {
		return run.keys()
	}
	if key, ok := run.requestKey(); ok {
		return []Key{key}
	}
	return nil
}

// explainCrash looks for runs that a verdict in force would have kept out, which explain
// the crash. It returns the verdicts that were tried and are renewed. The caller holds
// l.mu.
func (l *Ledger) explainCrash(now time.Time, crash Crash) (renewed []Verdict) {
	for _, run := range crash.Runs {
		for _, key := range run.keys() {
			for _, j := range l.inForce[key] {
				if !j.covers(&run) {
					continue
				}
				l.explain(now, crash.Engine, nil)
				if j.trying {
					j.trying = false
					l.change(now, j, now.Add(verdictTime))
					renewed = append(renewed, j.Verdict)
				}
				j.score = max(j.score, verdictScore)
			}
		}
	}
	return renewed
}

// suspect returns a suspect, which is created if needed. The caller holds l.mu.
func (l *Ledger) suspect(now time.Time, key Key) *suspect {
	s, ok := l.suspects[key]
	if !ok {
		if len(l.suspects) >= maxSuspects {
			l.dropLeastSuspect()
		}
		credit := l.credits.of(key)
		s = &suspect{key: key, score: -credit, credit: credit, firstAt: now, crashedAt: now}
		l.suspects[key] = s
		if _, ok := l.guilty[key.anywhere()]; ok { // At another service or model.
			s.putOnProbation(now, []uint64{key.Part})
		}
	}
	return s
}

// dropLeastSuspect makes room for a suspect. The caller holds l.mu.
func (l *Ledger) dropLeastSuspect() {
	var least *suspect
	for _, s := range l.suspects {
		if least == nil || s.score < least.score || s.score == least.score && s.crashedAt.Before(least.crashedAt) {
			least = s
		}
	}
	delete(l.suspects, least.key)
}

// judge returns the verdicts on suspects whose scores have risen. The caller holds
// l.mu.
func (l *Ledger) judge(now time.Time, risen []*suspect) []Verdict {
	slices.SortStableFunc(risen, func(a, b *suspect) int { return b.score - a.score })
	var verdicts []Verdict
	for _, s := range risen {
		// An earlier verdict may have explained its crashes.
		if l.provenScore(now, s) < verdictScore || now.Sub(s.firstAt) < l.clearTime(now) || l.suspects[s.key] != s {
			continue
		}
		if s.key.isRequest() && now.Sub(s.crashedAt) < holdPause { // Reports of the last crash may follow.
			continue
		}
		if !s.key.isRequest() && len(s.requests) < minRequests {
			continue
		}
		v, ok := l.newVerdict(now, s)
		if !ok {
			continue
		}
		if known, ok := l.verdicts[v.key()]; ok {
			if !known.Lifted {
				continue
			}
			v.Epoch, v.Until = known.Epoch+1, now.Add(verdictTime)
		}
		l.verdicts[v.key()] = &judgement{Verdict: v, score: s.score}
		l.explainByVerdict(now, &v)
		verdicts = append(verdicts, v)
	}
	if len(verdicts) > 0 {
		l.index()
	}
	return verdicts
}

// provenScore returns the score of a suspect without what can't be told from chance. The
// caller holds l.mu.
func (l *Ledger) provenScore(now time.Time, s *suspect) int {
	if s.score < verdictScore {
		return s.score
	}
	score := s.score
	if s.key.isRequest() {
		score = l.requestScore(now, s)
	} else {
		score -= l.copyCrashes(s) * partCrashWeight
	}
	return score - l.massScore(s)
}

// copyCrashes returns how many of the counted crashes of a part one suspect request was in
// progress at, beyond those that count. The caller holds l.mu.
func (l *Ledger) copyCrashes(s *suspect) int {
	most := 0
	for key, request := range l.suspects {
		if !key.isRequest() || request.score < holdScore {
			continue
		}
		shared := 0
		for _, c := range s.crashes {
			if c.counted && request.has(c.engine) {
				shared++
			}
		}
		most = max(most, shared-maxCopyCrashes)
	}
	return most
}

// newVerdict returns the verdict on a suspect, and false if another suspect of its kind
// explains its crashes as well. The caller holds l.mu.
func (l *Ledger) newVerdict(now time.Time, s *suspect) (Verdict, bool) {
	parts, ok := l.culprits(s)
	v := Verdict{
		Scope: s.key.Scope, Parts: parts, Epoch: 1, DecidedAt: now, Until: now.Add(firstTrial), DecidedBy: l.name,
		Engines: len(s.crashes), Requests: len(s.requests),
	}
	if s.key.isRequest() {
		v.Parts, v.Request, v.Requests, v.Until = nil, s.key.Request, 1, now.Add(firstRequestTrial)
	}
	return v, ok
}

// massScore returns the part of a suspect's score from engines that crashed together with
// many others that had no run with the part. The caller holds l.mu.
func (l *Ledger) massScore(s *suspect) int {
	score := 0
	for _, c := range s.crashes {
		own := 0
		for _, other := range s.crashes {
			if other.at.Sub(c.at).Abs() <= massTime {
				own++
			}
		}
		if c.counted && l.crashTimes.around(c.at) > massRatio*own {
			score += s.key.crashWeight()
		}
	}
	return score
}

// clearTime returns the least time from the first crash that a part is suspected of to a
// verdict on it.
func (l *Ledger) clearTime(now time.Time) time.Duration {
	if l.learningSince.IsZero() || now.Sub(l.learningSince) < learnTime {
		return newClearTime
	}
	return clearTime
}

// culprits returns the parts of the verdict on a suspect: the part, and those that can't
// be told from it. It returns false if another suspect explains its crashes and further
// crashes can tell which of them it is. The caller holds l.mu.
func (l *Ledger) culprits(s *suspect) ([]uint64, bool) {
	parts := []uint64{s.key.Part}
	for key, other := range l.suspects {
		if other == s || key.Scope != s.key.Scope {
			continue
		}
		switch {
		case s.inseparable(other) && other.score >= s.score:
			parts = append(parts, key.Part)
		case s.score < ambiguousScore && other.explains(s):
			return nil, false
		}
	}
	slices.Sort(parts)
	return parts, true
}

// explainByVerdict takes the crashes that a verdict explains back from other suspects. The
// parts of a verdict of several stay suspect, so that a single crash tells which of them
// it is. The caller holds l.mu.
func (l *Ledger) explainByVerdict(now time.Time, v *Verdict) {
	keys := v.keys()
	if v.Lifted || len(keys) > 1 {
		return
	}
	s, ok := l.suspects[keys[0]]
	if !ok {
		return
	}
	delete(l.suspects, keys[0])
	for i, c := range s.crashes {
		if v.isOfRequest() && i == 0 {
			l.explain(now, c.engine, s.companions)
			continue
		}
		l.explain(now, c.engine, nil)
	}
}

// explain records that a verdict explains the crash of a server, and takes it back from
// the suspects, other than the given parts. The caller holds l.mu.
func (l *Ledger) explain(now time.Time, engine uint64, parts []uint64) {
	if len(l.explained) >= maxExplained {
		clear(l.explained) // Late reports of old crashes then count again.
	}
	if known, ok := l.explained[engine]; ok && len(known.parts) == 0 {
		parts = nil
	}
	explained := explanation{at: now, parts: parts}
	l.explained[engine] = explained
	for key, s := range l.suspects {
		if explained.suspects(key) {
			continue
		}
		s.forgetCrash(engine)
		if s.cleared() {
			delete(l.suspects, key)
		}
	}
	l.countTracked()
}
