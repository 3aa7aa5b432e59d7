package schedule

import (
	"math"
	"time"

	"snipetally.example/router/internal/prefix"
)

// cacheHits looks up which servers are expected to have prefixes of the prompt
// cached.
func (c *Core) cacheHits(now time.Time, t *Ticket) []cacheHit {
	const maxHits = 8
	prefixes := t.Request.Prefixes
	if len(prefixes) == 0 {
		return nil
	}
	var hits []cacheHit
	lookedUp := lastOf(prefixes, maxPrefixLookups)
	skipped := len(prefixes) - len(lookedUp)
	for i := len(lookedUp) - 1; i >= 0 && len(hits) < maxHits; i-- {
		fraction := float64(skipped+i+1) / float64(len(prefixes))
		c.prefixes.Holders(now, lookedUp[i], func(h prefix.Holder) {
			if s, ok := c.servers[h.Server]; ok {
				hits = append(hits, cacheHit{server: s, fraction: fraction * h.Probability})
			}
		})
	}
	return hits
}

// learnPrefix records that the whole prompt of a ticket is now in the server's
// cache, whatever part of it was there before.
func (c *Core) learnPrefix(now time.Time, t *Ticket) {
	for _, p := range lastOf(t.Request.Prefixes, maxPrefixLookups) {
		c.prefixes.Add(now, p, t.server.Name, 1)
	}
}

// CacheEvent records an engine's event that a prefix entered its cache, or left
// it if cached is false.
func (c *Core) CacheEvent(now time.Time, name string, hash uint64, cached bool) {
	if cached {
		c.prefixes.Add(now, hash, name, 1)
		return
	}
	c.prefixes.Remove(hash, name)
}

// learnStart updates the start delays of the server and its set from the time
// between dispatch and first token.
func (c *Core) learnStart(now time.Time, t *Ticket, cached int) {
	seconds := now.Sub(t.dispatchedAt).Seconds()
	if !t.set.service {
		seconds -= float64(max(t.Request.PromptTokens-cached, 0)) / prefillRate
	}
	seconds = max(seconds, 0)
	t.server.startDelay += smoothing * (seconds - t.server.startDelay)
	s := t.set
	const setSmoothing = smoothing / 10
	s.deviation += setSmoothing * (math.Abs(seconds-s.startDelay) - s.deviation)
	s.startDelay += setSmoothing * (seconds - s.startDelay)
}

// learnTokenLatency updates the token latencies of the server and its set from
// the time that n more tokens took.
func (c *Core) learnTokenLatency(now time.Time, t *Ticket, n int) {
	const setSmoothing = smoothing / 20
	latency := now.Sub(t.latencySampledAt).Seconds() / float64(n)
	t.latencySampledAt = now
	t.latencySampledTokens = t.tokens
	t.server.recordTokenLatency(now, latency, t.set.tokenLatency)
	if latency < 2*t.set.tokenLatency {
		t.set.tokenLatency += setSmoothing * (latency - t.set.tokenLatency)
	}
}
