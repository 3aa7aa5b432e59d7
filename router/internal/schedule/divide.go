package schedule

import (
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"snipetally.example/router/internal/class"
	"snipetally.example/router/internal/share"
)

// waitableWeight is the weight in the reserve of urgent requests that can wait
// until running ones end.
const waitableWeight = 0.75

// LocalDemand returns the demand of this router in each pool, as it is sent to
// its peers.
func (c *Core) LocalDemand() share.DemandReport {
	report := share.DemandReport{Router: c.options.Router, Pools: make(map[share.PoolName]share.Demand)}
	for _, p := range c.pools {
		if demand := c.demand(p); demand.Total() > 0 {
			report.Pools[p.name] = demand
		}
	}
	return report
}

// demand returns the number of slots that this router wants in a pool.
func (c *Core) demand(p *pool) share.Demand {
	var d share.Demand
	borrowed := 0
	for _, s := range p.servers {
		for level, n := range s.byTier {
			d[level] += float64(n)
		}
		borrowed += s.borrowed
	}
	d[share.Borrowed] = float64(borrowed)
	for _, l := range c.activeLines {
		c.addWaiting(&d, p, l)
	}
	return d
}

// addWaiting adds the waiting requests of a line to the demand in a pool. If
// several pools serve the line, its requests are split between them in
// proportion to their slots.
func (c *Core) addWaiting(d *share.Demand, p *pool, l *line) {
	for _, s := range l.ownSets {
		if !slices.Contains(p.sets, s) {
			continue
		}
		fraction := s.fractionIn(p)
		for level := range share.Borrowed {
			d[level] += fraction * float64(l.queue.TierLen(class.Tier(level)))
		}
	}
	for _, lent := range l.lentSets {
		if slices.Contains(p.sets, lent.set) {
			d[share.Borrowed] += lent.share * float64(min(l.queue.Len(), lent.set.ownSlots))
		}
	}
}

// fractionIn returns the fraction of the set's slots that belongs to the pool.
func (s *serverSet) fractionIn(p *pool) float64 {
	total, in := 0, 0
	for _, member := range s.servers {
		total += member.slots()
		if member.pool == p.name {
			in += member.slots()
		}
	}
	return float64(in) / float64(max(total, 1))
}

// ReceiveDemand records the demand report of another router.
func (c *Core) ReceiveDemand(now time.Time, report share.DemandReport) {
	c.allocator.Receive(now, report)
}

// RemoveRouter discards the demand of a router that has left.
func (c *Core) RemoveRouter(router string) {
	c.allocator.RemoveRouter(router)
}

// currentReserveDemand counts this router's requests for which a reserve is
// kept on the servers of a set. Urgent ones that can wait until running
// requests end count less.
func (c *Core) currentReserveDemand(s *serverSet) float64 {
	n := 0.0
	for _, member := range s.servers {
		waitable := -member.latencyCritical
		for _, running := range member.byTier[:c.options.ReserveTier] {
			waitable += running
		}
		n += float64(member.latencyCritical) + waitableWeight*float64(waitable)
	}
	return n
}

// DivideSlots recomputes this router's slots on each server from the latest
// demand reports. It must be called every period and takes time proportional to
// the number of servers.
func (c *Core) DivideSlots(now time.Time) {
	c.allocator.Receive(now, c.LocalDemand())
	for _, s := range c.sets {
		s.ownSlots = 0
		s.unusableExcess = 0
		current := c.currentReserveDemand(s)
		s.reserveDemand = max(current, s.reserveDemand+smoothing*(current-s.reserveDemand))
	}
	for _, p := range c.pools {
		c.dividePool(now, p)
	}
}

// dividePool recomputes this router's slots on the servers of a pool. Only
// servers of the router's own cell get any.
func (c *Core) dividePool(now time.Time, p *pool) {
	from, to := c.allocator.CellServers(now, len(p.servers))
	slots := 0
	for _, s := range p.servers[from:to] {
		if !draining(s.Server) {
			slots += s.slots()
		}
	}
	ownRange, demand := c.allocator.OwnRange(now, p.name, len(p.servers), float64(slots))
	wanted := (demand.Total() - demand[share.Borrowed]) / float64(max(slots, 1))
	for _, s := range p.sets {
		s.demand = wanted
	}
	total := 0
	for i, s := range p.servers {
		s.adjustThrottle(now)
		s.ownSlots = 0
		if i >= from && i < to && !draining(s.Server) {
			s.ownSlots = ownRange.Slots(int(math.Round(float64(s.slots())*s.throttle)), s.roundingOffset)
		}
		total += s.ownSlots
	}
	if total == 0 {
		c.ensureOneSlot(p.servers[from:to])
	}
	for _, s := range p.servers {
		for _, set := range s.sets {
			set.ownSlots += s.ownSlots
			if !s.usable(now) {
				set.unusableExcess += max(s.running-s.ownSlots, 0)
			}
		}
		c.updateOpen(now, s)
	}
}

// ensureOneSlot gives this router one slot on one of the servers, so that it
// can serve its callers however small its share is.
func (c *Core) ensureOneSlot(servers []*server) {
	start := 0
	if len(servers) > 0 {
		start = int(xxhash.Sum64String(c.options.Router) % uint64(len(servers)))
	}
	for i := range servers {
		s := servers[(start+i)%len(servers)]
		if !draining(s.Server) {
			s.ownSlots = 1
			return
		}
	}
}

// SetRouters sets the names of all routers.
func (c *Core) SetRouters(names []string) {
	c.allocator.SetRouters(names)
	c.limiter.SetRouters(names)
}

// Peers returns the routers that share a pool with this one, including itself.
// It sends its demand to all others among them.
func (c *Core) Peers(now time.Time) []string {
	var widest []string
	for _, p := range c.pools {
		if peers := c.allocator.Peers(now, len(p.servers)); len(peers) > len(widest) {
			widest = peers
		}
	}
	return widest
}
