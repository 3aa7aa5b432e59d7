package schedule

import (
	"math"
	"slices"
	"time"
)

const (
	// sampleSize is the number of servers that are compared for a request. If
	// fewer are open, all of them are compared.
	sampleSize = 16

	// maxPrefixLookups is the number of prefixes, the longest ones, that are
	// looked up and recorded.
	maxPrefixLookups = 16

	// tokenLatencyTolerance is the factor by which a server's token latency may
	// exceed the target of a class whose requests are sent to it.
	tokenLatencyTolerance = 1.15

	// underservedReserve is the fraction of the reserve that applies to teams
	// that got less than their share while another team got much more than its
	// own.
	underservedReserve = 0.25

	// excessWeight is the weight, in the reserve against a team that runs more
	// than its share, of the running requests of other teams that are protected
	// from it.
	excessWeight = 1.5

	// reclaimTime is the time within which an owner must be able to reclaim
	// lent slots.
	reclaimTime = 5 * time.Second

	// lentFreeFraction is the fraction of its own slots that a lending set
	// keeps free of borrowers.
	lentFreeFraction = 0.25

	// maxOwnerDemand is the demand of the owner, as a fraction of the slots,
	// from which on nothing is lent.
	maxOwnerDemand = 0.75
)

// choice is the server chosen for a request. If there is none, noneFits reports
// whether there are servers with room that do not fit this request.
type choice struct {
	server   *server
	set      *serverSet
	borrowed bool
	noneFits bool

	// cached is the fraction of the prompt that is expected to be in the
	// server's cache.
	cached float64
}

// choose picks a server for a ticket: one of the partner's own servers with a
// free slot; else, if the ticket may overcommit, an own server without a free
// slot; else, if the ticket is protected and all own servers are blocked, the
// one that failed least often; else a lent server. floor means that the floor
// of its class selected the ticket; the reserve then does not apply to it.
func (c *Core) choose(now time.Time, l *line, t *Ticket, floor bool) choice {
	result := choice{}
	hits := c.cacheHits(now, t)
	for _, s := range l.ownSets {
		if !floor && c.reserved(s, t) {
			continue
		}
		if best := c.cheapest(now, s, s.open, t, hits, 0); best != nil {
			return choice{server: best, set: s, cached: cachedFraction(hits, best)}
		}
		result.noneFits = result.noneFits || len(s.open) > 0
	}
	if !result.noneFits && c.mayOvercommit(t) {
		for _, s := range l.ownSets {
			if best := c.cheapest(now, s, s.servers, t, hits, c.options.Overcommit); best != nil {
				return choice{server: best, set: s, cached: cachedFraction(hits, best)}
			}
		}
	}
	if t.item.Class.Protected && len(c.blocked) > 0 {
		if server, set := c.leastFailed(now, l, t); server != nil {
			return choice{server: server, set: set}
		}
	}
	for _, lent := range l.lentSets {
		if !c.mayLend(lent, t) {
			continue
		}
		if best := c.cheapest(now, lent.set, lent.set.open, t, hits, 0); best != nil {
			return choice{server: best, set: lent.set, borrowed: true, cached: cachedFraction(hits, best)}
		}
	}
	return result
}

// leastFailed returns, if all own servers of a line are blocked after failures,
// the one with a free slot and the fewest failures, so that a protected request
// does not wait while the only server of its kind is blocked.
func (c *Core) leastFailed(now time.Time, l *line, t *Ticket) (*server, *serverSet) {
	var best *server
	var bestSet *serverSet
	for _, s := range l.ownSets {
		for _, candidate := range s.servers {
			if candidate.usable(now) {
				return nil, nil
			}
			if draining(candidate.Server) || candidate.running >= max(candidate.ownSlots, 1) {
				continue
			}
			if slices.Contains(t.Request.Avoid, candidate.Name) && len(s.servers) > 1 {
				continue
			}
			if best == nil || candidate.failures < best.failures {
				best, bestSet = candidate, s
			}
		}
	}
	return best, bestSet
}

// mayOvercommit reports whether a ticket may be sent to an engine on which this
// router has no free slot.
func (c *Core) mayOvercommit(t *Ticket) bool {
	if c.options.Overcommit <= 0 {
		return false
	}
	return t.item.Class.Protected || int(t.item.Class.Tier) < c.options.OvercommitTiers
}

// reserved reports whether the free slots of a set are reserved for more
// important tiers.
func (c *Core) reserved(s *serverSet, t *Ticket) bool {
	if int(t.item.Class.Tier) < c.options.ReserveTier || t.item.Class.Protected {
		return false
	}
	reserved := c.reservedSlots(s, t.line.queue.ExcessRunning(&t.item))
	if t.line.queue.Underserved(&t.item) {
		reserved *= underservedReserve
	}
	// With a single slot, a router serves every tier on it.
	return s.free() <= min(int(math.Round(reserved)), s.ownSlots-1)
}

// reservedSlots returns the number of own slots of a set that are reserved for
// urgent tiers and for excess, the number of running requests of other teams
// that are protected from the ticket's team.
func (c *Core) reservedSlots(s *serverSet, excess float64) float64 {
	demand := s.reserveDemand + excessWeight*excess
	if c.options.ReserveFactor <= 0 || demand <= 0 {
		return 0
	}
	return min(c.options.ReserveFactor*math.Sqrt(demand), float64(s.ownSlots)/2)
}

// mayLend reports whether a lender's set may run a borrower's ticket.
func (c *Core) mayLend(lent loan, t *Ticket) bool {
	s := lent.set
	if c.options.Lending == LendNone {
		return false
	}
	if float64(s.borrowed+1) > lent.share*float64(s.ownSlots) {
		return false
	}
	if c.options.Lending == LendTier {
		return true
	}
	if s.demand >= maxOwnerDemand || c.ownerWaits(s) {
		return false
	}
	if float64(s.free()) <= max(lentFreeFraction*float64(s.ownSlots), c.reservedSlots(s, 0)) {
		return false
	}
	return s.service || c.lengths.Quantile(t.lengthKey(), 0.9)*s.tokenLatency <= reclaimTime.Seconds()
}

// ownerWaits reports whether requests of the set's owner are waiting for it.
func (c *Core) ownerWaits(s *serverSet) bool {
	l, ok := c.lines[lineKey{target: s.target, service: s.service, partner: s.owner}]
	return ok && l.queue.Len() > 0
}

// cheapest returns the usable server with the lowest estimated cost among a
// random sample of the candidates and the servers expected to have the prompt's
// prefix cached. If none of these fits, up to 2*sampleSize more candidates are
// tried, of which the first that fits is chosen. overcommit is the number of
// requests beyond its own slots on a server that this router may run there.
func (c *Core) cheapest(now time.Time, s *serverSet, candidates []*server, t *Ticket, hits []cacheHit, overcommit int) *server {
	var best *server
	lowest := 0.0
	try := func(candidate *server) {
		if !c.fits(now, s, candidate, t, overcommit) {
			return
		}
		if cost := c.estimateCost(now, s, candidate, t, hits); best == nil || cost < lowest {
			best, lowest = candidate, cost
		}
	}
	if len(candidates) <= sampleSize {
		for _, candidate := range candidates {
			try(candidate)
		}
		return best
	}
	start := c.random.IntN(len(candidates))
	for range sampleSize {
		try(candidates[c.random.IntN(len(candidates))])
	}
	for _, h := range hits {
		if slices.Contains(h.server.sets, s) {
			try(h.server)
		}
	}
	for i := 0; best == nil && i < 2*sampleSize; i++ {
		try(candidates[(start+i)%len(candidates)])
	}
	return best
}

// fits reports whether a server may run the ticket: it has room, no earlier
// attempt failed on it (unless the set has no other server), it is not reported
// full (for tiers from ReserveTier on), and its token latency meets the target
// of the class within tokenLatencyTolerance or is not much higher than usual.
func (c *Core) fits(now time.Time, s *serverSet, candidate *server, t *Ticket, overcommit int) bool {
	if !candidate.usable(now) || !c.hasRoom(candidate, overcommit) {
		return false
	}
	if slices.Contains(t.Request.Avoid, candidate.Name) && len(s.servers) > 1 {
		return false
	}
	if int(t.item.Class.Tier) >= c.options.ReserveTier && candidate.reportedFull(now) {
		return false
	}
	target := t.item.Class.BetweenTokensTarget.Seconds()
	if target <= 0 || s.service {
		return true
	}
	return c.tokenLatency(now, s, candidate) <= max(target*tokenLatencyTolerance, s.tokenLatency*1.5)
}

// hasRoom reports whether the router has a free slot on a server, or may
// exceed its slots there by overcommit requests. A server on which the router
// has no slots is never overcommitted.
func (c *Core) hasRoom(s *server, overcommit int) bool {
	if c.options.Mode == ModeIndependent {
		return true
	}
	return s.ownSlots > 0 && s.running < s.ownSlots+overcommit
}

// tokenLatency estimates a server's token latency in seconds.
func (c *Core) tokenLatency(now time.Time, s *serverSet, candidate *server) float64 {
	if c.options.OracleLoad != nil {
		_, latency := c.options.OracleLoad(candidate.Name)
		return latency.Seconds()
	}
	return candidate.decayedTokenLatency(now, s.tokenLatency)
}

// estimateCost estimates the cost in seconds of running the ticket on a server:
// the time to its first token plus a weighted part of the time that a token
// latency above the usual adds.
func (c *Core) estimateCost(now time.Time, s *serverSet, candidate *server, t *Ticket, hits []cacheHit) float64 {
	const (
		busyWeight         = 0.05
		tokenLatencyWeight = 0.3
	)
	slots := float64(candidate.slots())
	load := c.load(now, candidate)
	tokenLatency := c.tokenLatency(now, s, candidate)
	cost := 2 * c.options.networkLatency(candidate.Server).Seconds()
	cost += busyWeight * load / slots
	cost += candidate.startDelay / 2
	if over := load + 1 - slots; over > 0 {
		cost += over / slots * t.expectedTokens * tokenLatency
	}
	if s.service {
		return cost
	}
	cost += max(0, tokenLatency-s.tokenLatency) * t.expectedTokens * tokenLatencyWeight
	prompt := float64(t.Request.PromptTokens) * (1 - cachedFraction(hits, candidate))
	return cost + (candidate.prefillTokens+prompt)/prefillRate
}

// cacheHit is a server that is expected to have a part of the prompt cached.
type cacheHit struct {
	server *server

	// fraction is the expected fraction of the prompt in the cache.
	fraction float64
}

// cachedFraction returns the expected fraction of the prompt in the server's
// cache.
func cachedFraction(hits []cacheHit, s *server) float64 {
	fraction := 0.0
	for _, h := range hits {
		if h.server == s {
			fraction = max(fraction, h.fraction)
		}
	}
	return fraction
}
