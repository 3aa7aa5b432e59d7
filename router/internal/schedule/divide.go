package schedule

import (
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"snipetally.example/router/internal/class"
	"snipetally.example/router/internal/share"
)

// patientWeight is the weight in the reserve of urgent requests that can wait.
const patientWeight = 0.75

// LocalDemand returns what this router tells the others: its demand in each pool.
func (c *Core) LocalDemand() share.DemandReport {
	note := share.DemandReport{Router: c.options.Router, Pools: make(map[share.PoolName]share.Demand)}
	for _, p := range c.pools {
		if demand := c.demand(p); demand.Total() > 0 {
			note.Pools[p.name] = demand
		}
	}
	return note
}

// demand returns the slots that this router wants in a pool.
func (c *Core) demand(p *pool) share.Demand {
	var d share.Demand
	borrowed := 0
	for _, s := range p.servers {
		for level, n := range s.levels {
			d[level] += float64(n)
		}
		borrowed += s.borrowed
	}
	d[share.Borrowed] = float64(borrowed)
	for _, l := range c.active {
		c.addWaiting(&d, p, l)
	}
	return d
}

// addWaiting adds the waiting requests of a line to the demand in a pool. Of a
// line that several pools serve, each gets its part by slots.
func (c *Core) addWaiting(d *share.Demand, p *pool, l *line) {
	for _, s := range l.own {
		if !slices.Contains(p.sets, s) {
			continue
		}
		part := s.partOf(p)
		for level := range share.Borrowed {
			d[level] += part * float64(l.queue.TierLen(class.Tier(level)))
		}
	}
	for _, lent := range l.lent {
		if slices.Contains(p.sets, lent.set) {
			d[share.Borrowed] += lent.share * float64(min(l.queue.Len(), lent.set.own))
		}
	}
}

// partOf returns the fraction of the set's slots that is in the pool.
func (s *set) partOf(p *pool) float64 {
	total, in := 0, 0
	for _, member := range s.servers {
		total += member.slots()
		if member.pool == p.name {
			in += member.slots()
		}
	}
	return float64(in) / float64(max(total, 1))
}

// ReceiveDemand takes in the note of another router.
func (c *Core) ReceiveDemand(now time.Time, note share.DemandReport) {
	c.book.Receive(now, note)
}

// RemoveRouter forgets a router that has left.
func (c *Core) RemoveRouter(router string) {
	c.book.RemoveRouter(router)
}

// urgentOn counts the own requests on the servers of a set that a reserve is
// kept for. Urgent ones that can wait until running answers end count less.
func (c *Core) urgentOn(s *set) float64 {
	n := 0.0
	for _, member := range s.servers {
		patient := -member.pressing
		for _, running := range member.levels[:c.options.ReserveTier] {
			patient += running
		}
		n += float64(member.pressing) + patientWeight*float64(patient)
	}
	return n
}

// DivideSlots works out the own slots on each server from the newest notes. It is
// called every period and costs time in proportion to the servers.
func (c *Core) DivideSlots(now time.Time) {
	c.book.Receive(now, c.LocalDemand())
	for _, s := range c.sets {
		s.own = 0
		s.excess = 0
		using := c.urgentOn(s)
		s.urgent = max(using, s.urgent+smoothing*(using-s.urgent))
	}
	for _, p := range c.pools {
		c.dividePool(now, p)
	}
}

// dividePool works out the own slots on the servers of a pool: only those of
// the own cell have any.
func (c *Core) dividePool(now time.Time, p *pool) {
	from, to := c.book.CellServers(now, len(p.servers))
	slots := 0
	for _, s := range p.servers[from:to] {
		if !leaving(s.Server) {
			slots += s.slots()
		}
	}
	own, demand := c.book.OwnRange(now, p.name, len(p.servers), float64(slots))
	wanted := (demand.Total() - demand[share.Borrowed]) / float64(max(slots, 1))
	for _, s := range p.sets {
		s.demand = wanted
	}
	total := 0
	for i, s := range p.servers {
		s.adjust(now)
		s.own = 0
		if i >= from && i < to && !leaving(s.Server) {
			s.own = own.Slots(int(math.Round(float64(s.slots())*s.throttle)), s.offset)
		}
		total += s.own
	}
	if total == 0 {
		c.leastSlot(p.servers[from:to])
	}
	for _, s := range p.servers {
		for _, member := range s.sets {
			member.own += s.own
			if !s.usable(now) {
				member.excess += max(s.running-s.own, 0)
			}
		}
		c.room(now, s)
	}
}

// leastSlot gives this router one slot on one of the servers, so that it can
// serve its callers however small its share is.
func (c *Core) leastSlot(servers []*server) {
	start := 0
	if len(servers) > 0 {
		start = int(xxhash.Sum64String(c.options.Router) % uint64(len(servers)))
	}
	for i := range servers {
		s := servers[(start+i)%len(servers)]
		if !leaving(s.Server) {
			s.own = 1
			return
		}
	}
}

// SetRouters sets the names of all routers.
func (c *Core) SetRouters(names []string) {
	c.book.SetRouters(names)
	c.limiter.SetRouters(names)
}

// Peers returns the routers that this one sends its note to: all that share a
// pool with it.
func (c *Core) Peers(now time.Time) []string {
	var widest []string
	for _, p := range c.pools {
		if peers := c.book.Peers(now, len(p.servers)); len(peers) > len(widest) {
			widest = peers
		}
	}
	return widest
}
