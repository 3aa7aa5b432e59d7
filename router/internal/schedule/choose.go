package schedule

import (
	"math"
	"slices"
	"time"
)

const (
	// probes is the number of servers that are compared for a request; with
	// fewer open ones, all are.
	probes = 16

	// prefixProbes is the number of prefixes, from the longest on, that are
	// looked up and booked.
	prefixProbes = 16

	// paceTolerance is the factor by which a server's pace may miss the
	// target of a class that is sent to it.
	paceTolerance = 1.15

	// lightReserve is the part of the reserve that is kept from teams that use
	// less than their share.
	lightReserve = 0.25

	// othersWeight is the weight in the reserve of the requests that are guarded
	// from a team that crowds out others.
	othersWeight = 1.5

	// winBack is the time within which an owner gets lent slots back.
	winBack = 5 * time.Second

	// lentReserve is the fraction of the own slots that a borrower leaves free.
	lentReserve = 0.25

	// lendBelow is the demand of the owner, as a fraction of the slots, above
	// which nothing is lent.
	lendBelow = 0.75
)

// choice is a server for a request. unfit tells, when there is none, that there
// are servers with room which do not fit this request.
type choice struct {
	server   *server
	set      *set
	borrowed bool
	unfit    bool

	// cached is the fraction of the prompt that is believed to be in the
	// server's cache.
	cached float64
}

// choose picks a server for a ticket: on the partner's own servers with room,
// then ahead into the engine of one without room if the ticket is urgent, then
// on lent servers.
func (c *Core) choose(now time.Time, l *line, t *Ticket, floor bool) choice {
	result := choice{}
	hits := c.hits(now, t)
	for _, s := range l.own {
		if !floor && c.reserved(s, t) {
			continue
		}
		if best := c.best(now, s, s.open, t, hits, 0); best != nil {
			return choice{server: best, set: s, cached: cachedOn(hits, best)}
		}
		result.unfit = result.unfit || len(s.open) > 0
	}
	if !result.unfit && c.urgent(t) {
		for _, s := range l.own {
			if best := c.best(now, s, s.servers, t, hits, c.options.Overcommit); best != nil {
				return choice{server: best, set: s, cached: cachedOn(hits, best)}
			}
		}
	}
	if t.item.Class.Protected && len(c.blocked) > 0 {
		if suspect, from := c.leastSuspect(now, l, t); suspect != nil {
			return choice{server: suspect, set: from}
		}
	}
	for _, lent := range l.lent {
		if !c.lends(lent, t) {
			continue
		}
		if best := c.best(now, lent.set, lent.set.open, t, hits, 0); best != nil {
			return choice{server: best, set: lent.set, borrowed: true, cached: cachedOn(hits, best)}
		}
	}
	return result
}

// leastSuspect returns, if all own servers of a line are blocked after failures,
// the one with a free slot that failed least often, so that a protected request
// does not wait while the only server of its kind is blocked.
func (c *Core) leastSuspect(now time.Time, l *line, t *Ticket) (*server, *set) {
	var best *server
	var from *set
	for _, s := range l.own {
		for _, candidate := range s.servers {
			if candidate.usable(now) {
				return nil, nil
			}
			if leaving(candidate.Server) || candidate.running >= max(candidate.own, 1) {
				continue
			}
			if slices.Contains(t.Request.Avoid, candidate.Name) && len(s.servers) > 1 {
				continue
			}
			if best == nil || candidate.failures < best.failures {
				best, from = candidate, s
			}
		}
	}
	return best, from
}

// urgent reports whether a ticket may be sent ahead into an engine without a
// free slot.
func (c *Core) urgent(t *Ticket) bool {
	if c.options.Overcommit <= 0 {
		return false
	}
	return t.item.Class.Protected || int(t.item.Class.Tier) < c.options.OvercommitTiers
}

// reserved reports whether the free slots of a set are kept for more important
// tiers.
func (c *Core) reserved(s *set, t *Ticket) bool {
	if int(t.item.Class.Tier) < c.options.ReserveTier || t.item.Class.Protected {
		return false
	}
	kept := c.kept(s, t.line.queue.ExcessRunning(&t.item))
	if t.line.queue.Underserved(&t.item) {
		kept *= lightReserve
	}
	// A router with a single slot serves every tier on it.
	return s.free() <= min(int(math.Round(kept)), s.own-1)
}

// kept returns the number of own slots of a set that are kept for urgent tiers
// and for so many requests of teams within their share.
func (c *Core) kept(s *set, others float64) float64 {
	guarded := s.urgent + othersWeight*others
	if c.options.ReserveFactor <= 0 || guarded <= 0 {
		return 0
	}
	return min(c.options.ReserveFactor*math.Sqrt(guarded), float64(s.own)/2)
}

// lends reports whether a lender's set may take a borrower's ticket.
func (c *Core) lends(lent loan, t *Ticket) bool {
	s := lent.set
	if c.options.Lending == LendNone {
		return false
	}
	if float64(s.borrowed+1) > lent.share*float64(s.own) {
		return false
	}
	if c.options.Lending == LendTier {
		return true
	}
	if s.demand >= lendBelow || c.ownerWaits(s) {
		return false
	}
	if float64(s.free()) <= max(lentReserve*float64(s.own), c.kept(s, 0)) {
		return false
	}
	return s.service || c.lengths.Quantile(t.key(), 0.9)*s.pace <= winBack.Seconds()
}

// ownerWaits reports whether requests of the owner wait for the set.
func (c *Core) ownerWaits(s *set) bool {
	l, ok := c.lines[lineKey{target: s.target, service: s.service, partner: s.owner}]
	return ok && l.queue.Len() > 0
}

// best returns the cheapest usable server among a sample of the candidates and
// the believed holders of the prompt's prefix. ahead is the number of requests
// beyond the own slots that it may have.
func (c *Core) best(now time.Time, s *set, candidates []*server, t *Ticket, hits []hit, ahead int) *server {
	var best *server
	lowest := 0.0
	try := func(candidate *server) {
		if !c.fits(now, s, candidate, t, ahead) {
			return
		}
		if cost := c.price(now, s, candidate, t, hits); best == nil || cost < lowest {
			best, lowest = candidate, cost
		}
	}
	if len(candidates) <= probes {
		for _, candidate := range candidates {
			try(candidate)
		}
		return best
	}
	start := c.random.IntN(len(candidates))
	for range probes {
		try(candidates[c.random.IntN(len(candidates))])
	}
	for _, h := range hits {
		if slices.Contains(h.server.sets, s) {
			try(h.server)
		}
	}
	for i := 0; best == nil && i < 2*probes; i++ {
		try(candidates[(start+i)%len(candidates)])
	}
	return best
}

// fits reports whether a server may run the ticket: there is room, no earlier
// attempt failed on it, and its pace meets the class's target.
func (c *Core) fits(now time.Time, s *set, candidate *server, t *Ticket, ahead int) bool {
	if !candidate.usable(now) || !c.hasRoom(candidate, ahead) {
		return false
	}
	if slices.Contains(t.Request.Avoid, candidate.Name) && len(s.servers) > 1 {
		return false
	}
	if int(t.item.Class.Tier) >= c.options.ReserveTier && candidate.full(now) {
		return false
	}
	target := t.item.Class.BetweenTokens.Seconds()
	if target <= 0 || s.service {
		return true
	}
	return c.pace(now, s, candidate) <= max(target*paceTolerance, s.pace*1.5)
}

// hasRoom reports whether the router has a free slot on a server, or may send
// one ahead. Nothing is sent ahead to a server on which it has no slots.
func (c *Core) hasRoom(s *server, ahead int) bool {
	if c.options.Mode == ModeIndependent {
		return true
	}
	return s.own > 0 && s.running < s.own+ahead
}

// pace estimates a server's time for a token in seconds.
func (c *Core) pace(now time.Time, s *set, candidate *server) float64 {
	if c.options.OracleLoad != nil {
		_, pace := c.options.OracleLoad(candidate.Name)
		return pace.Seconds()
	}
	return candidate.paceOf(now, s.pace)
}

// price estimates what it costs to run the ticket on a server, in seconds:
// the time to its first token, and a part of what a slow pace adds.
func (c *Core) price(now time.Time, s *set, candidate *server, t *Ticket, hits []hit) float64 {
	const (
		busyWeight = 0.05
		paceWeight = 0.3
	)
	slots := float64(candidate.slots())
	load := c.load(now, candidate)
	pace := c.pace(now, s, candidate)
	cost := 2 * c.options.latency(candidate.Server).Seconds()
	cost += busyWeight * load / slots
	cost += candidate.start / 2
	if over := load + 1 - slots; over > 0 {
		cost += over / slots * t.expected * pace
	}
	if s.service {
		return cost
	}
	cost += max(0, pace-s.pace) * t.expected * paceWeight
	prompt := float64(t.Request.PromptTokens) * (1 - cachedOn(hits, candidate))
	return cost + (candidate.prefill+prompt)/prefillRate
}

// hit is a server that is believed to hold a part of the prompt.
type hit struct {
	server *server

	// part is the expected fraction of the prompt that is in the cache.
	part float64
}

// cachedOn returns the expected fraction of the prompt in the server's cache.
func cachedOn(hits []hit, s *server) float64 {
	part := 0.0
	for _, h := range hits {
		if h.server == s {
			part = max(part, h.part)
		}
	}
	return part
}
