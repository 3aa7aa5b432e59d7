package quarantine

import (
	"math"
	"time"
)

const (
	// chanceTime is how long a crash counts in the estimate of how likely one is by chance.
	chanceTime = 30 * time.Second

	// guiltyChance is the probability that a run of a request that crashes servers ends in
	// a crash, and unknownChance that of another one as long as too few crashes are known:
	// the estimate begins as with unknownRuns runs, of which this share met a crash.
	guiltyChance  = 0.85
	unknownChance = 0.05
	unknownRuns   = 10
)

// requestScore returns the score of a request in the light of how many other requests met
// crashes lately: if servers crash for other causes all the time, some requests meet
// several of them by chance. It is zero for a request that ended soundly as often as it
// met a crash: a popular one meets most crashes. The caller holds l.mu.
func (l *Ledger) requestScore(now time.Time, s *suspect) int {
	counted := 0
	for _, c := range s.crashes {
		if c.counted {
			counted++
		}
	}
	if s.sound+s.credit >= counted {
		return 0
	}
	weight := int(math.Round(math.Log(guiltyChance / l.chance(now, s))))
	excess := requestCrashWeight - min(max(weight, 1), requestCrashWeight)
	return s.score - excess*counted
}

// chance estimates the probability that a run of another request meets a crash that s
// doesn't explain: the share of the requests that met one which met a second one. The
// caller holds l.mu.
func (l *Ledger) chance(now time.Time, s *suspect) float64 {
	once, twice := unknownRuns+0.0, unknownRuns*unknownChance
	for key, other := range l.suspects {
		if other == s || !key.isRequest() || now.Sub(other.crashedAt) > chanceTime {
			continue
		}
		crashes := other.crashesBeside(s)
		if crashes >= 1 {
			once++
		}
		if crashes >= 2 {
			twice++
		}
	}
	return twice / once
}

// crashesBeside returns the number of crashes at which the other suspect was not in
// progress.
func (s *suspect) crashesBeside(other *suspect) int {
	n := 0
	for _, c := range s.crashes {
		if !other.has(c.engine) {
			n++
		}
	}
	return n
}
