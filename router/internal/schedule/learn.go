package schedule

import (
	"math"
	"time"

	"snipetally.example/router/internal/prefix"
)

// hits looks up which servers are believed to hold prefixes of the prompt.
func (c *Core) hits(now time.Time, t *Ticket) []hit {
	const most = 8
	prefixes := t.Request.Prefixes
	if len(prefixes) == 0 {
		return nil
	}
	var hits []hit
	probed := lastOf(prefixes, prefixProbes)
	skipped := len(prefixes) - len(probed)
	for i := len(probed) - 1; i >= 0 && len(hits) < most; i-- {
		part := float64(skipped+i+1) / float64(len(prefixes))
		c.prefixes.Holders(now, probed[i], func(h prefix.Holder) {
			if s, ok := c.servers[h.Server]; ok {
				hits = append(hits, hit{server: s, part: part * h.Probability})
			}
		})
	}
	return hits
}

// learnPrefix corrects the belief about the server's cache by what an answer
// reported. The whole prompt is in the cache from now on.
func (c *Core) learnPrefix(now time.Time, t *Ticket, _ int) {
	for _, p := range lastOf(t.Request.Prefixes, prefixProbes) {
		c.prefixes.Add(now, p, t.server.Name, 1)
	}
}

// CacheEvent takes in an engine's event: whether a prefix entered or left its
// cache.
func (c *Core) CacheEvent(now time.Time, name string, hash uint64, kept bool) {
	if kept {
		c.prefixes.Add(now, hash, name, 1)
		return
	}
	c.prefixes.Remove(hash, name)
}

// learnStart takes in the time from dispatch to first token.
func (c *Core) learnStart(now time.Time, t *Ticket, cached int) {
	seconds := now.Sub(t.dispatched).Seconds()
	if !t.set.service {
		seconds -= float64(max(t.Request.PromptTokens-cached, 0)) / prefillRate
	}
	seconds = max(seconds, 0)
	t.server.start += smoothing * (seconds - t.server.start)
	s := t.set
	const slow = smoothing / 10
	s.deviation += slow * (math.Abs(seconds-s.start) - s.deviation)
	s.start += slow * (seconds - s.start)
}

// learnPace takes in the time of n more tokens.
func (c *Core) learnPace(now time.Time, t *Ticket, n int) {
	const slow = smoothing / 20
	pace := now.Sub(t.sampleAt).Seconds() / float64(n)
	t.sampleAt = now
	t.sampled = t.tokens
	t.server.measure(now, pace, t.set.pace)
	if pace < 2*t.set.pace {
		t.set.pace += slow * (pace - t.set.pace)
	}
}
