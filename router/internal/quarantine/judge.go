package quarantine

import (
	"slices"
	"time"
)

// RecordCrash records the crash of an engine as a router saw it. Reports of the same
// crash by several routers count once for each part. It returns the verdicts that
// follow from it.
func (l *Ledger) RecordCrash(now time.Time, router string, crash Crash) []Verdict {
	l.mu.Lock()
	defer l.mu.Unlock()
	if _, ok := l.explained[crash.Engine]; ok {
		return nil
	}
	if renewed, ok := l.explainCrash(now, crash); ok {
		return renewed
	}
	l.crashTimes.add(crash.Engine, now)
	gap := max(crashGap, time.Duration(l.crashTimes.around(now))*crashGapStep)
	var risen []*suspect
	for _, run := range crash.Runs {
		run.Parts = run.Parts[:min(len(run.Parts), MaxParts)]
		for _, part := range run.Parts {
			s := l.suspect(now, Key{Scope: run.Scope, Part: part})
			if s.recordCrash(now, router, crash.Engine, run, gap) {
				risen = append(risen, s)
			}
		}
	}
	l.countTracked()
	return l.judge(now, risen)
}

// explainCrash looks for a run that a verdict in force would have kept out, which
// explains the crash. It returns the verdicts that were tried and are renewed, and
// false if no verdict explains the crash. The caller holds l.mu.
func (l *Ledger) explainCrash(now time.Time, crash Crash) (renewed []Verdict, ok bool) {
	for _, run := range crash.Runs {
		for _, part := range run.Parts {
			for _, j := range l.inForce[Key{Scope: run.Scope, Part: part}] {
				if !j.covers(run.Parts) {
					continue
				}
				ok = true
				if j.trying {
					j.trying = false
					l.change(now, j, now.Add(verdictTime))
					renewed = append(renewed, j.Verdict)
				}
				j.score = max(j.score, verdictScore)
			}
		}
	}
	if ok {
		l.explain(now, crash.Engine)
	}
	return renewed, ok
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
		if _, ok := l.guilty[key.Part]; ok { // At another service or model.
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
		if s.score-l.massScore(s) < verdictScore || len(s.requests) < minRequests || now.Sub(s.firstAt) < l.clearTime(now) || l.suspects[s.key] != s {
			continue
		}
		parts, ok := l.culprits(s)
		if !ok {
			continue
		}
		v := Verdict{
			Scope: s.key.Scope, Parts: parts, Epoch: 1, DecidedAt: now, Until: now.Add(firstTrial), DecidedBy: l.name,
			Engines: len(s.crashes), Requests: len(s.requests),
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
			score += crashWeight
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
// be told from it. It returns false if another part is as suspect and further crashes
// can tell which of them it is. The caller holds l.mu.
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

// explainByVerdict takes the crashes that a verdict explains back from all other
// suspects. The parts of a verdict of several stay suspect, so that a single crash
// tells which of them it is. The caller holds l.mu.
func (l *Ledger) explainByVerdict(now time.Time, v *Verdict) {
	if v.Lifted || len(v.Parts) > 1 {
		return
	}
	key := Key{Scope: v.Scope, Part: v.Parts[0]}
	s, ok := l.suspects[key]
	if !ok {
		return
	}
	delete(l.suspects, key)
	for _, c := range s.crashes {
		l.explain(now, c.engine)
	}
}

// explain records that the crash of an engine is explained, and takes it back from all
// suspects. The caller holds l.mu.
func (l *Ledger) explain(now time.Time, engine uint64) {
	if len(l.explained) >= maxExplained {
		clear(l.explained) // Late reports of old crashes then count again.
	}
	l.explained[engine] = now
	for key, s := range l.suspects {
		s.forgetCrash(engine)
		if s.cleared() {
			delete(l.suspects, key)
		}
	}
	l.countTracked()
}
