package share

import (
	"math"
	"slices"
	"time"
)

// Allocator keeps the latest demand report of each router and computes the
// slots of its own router from them.
type Allocator struct {
	self    string
	period  time.Duration
	reports map[string]received

	// routers holds the sorted names of all routers. It is empty until
	// SetRouters is called.
	routers []string

	// startedAt is the time of the first OwnRange call with more than one
	// router in the cell.
	startedAt time.Time
}

// received is a demand report and the time at which it arrived.
type received struct {
	report DemandReport
	at     time.Time
}

// NewAllocator returns an allocator for the router self, whose peers send their
// demand reports every period.
func NewAllocator(self string, period time.Duration) *Allocator {
	return &Allocator{self: self, period: period, reports: make(map[string]received)}
}

// Receive records a demand report, which may be the router's own.
func (a *Allocator) Receive(now time.Time, report DemandReport) {
	a.reports[report.Router] = received{report: report, at: now}
}

// SetPeriod sets the interval at which the peers send their demand reports.
func (a *Allocator) SetPeriod(period time.Duration) {
	a.period = period
}

// RemoveRouter discards the report of a router that has left.
func (a *Allocator) RemoveRouter(router string) {
	delete(a.reports, router)
}

// LiveRouters returns the sorted names of self and of the routers whose latest
// report is not stale. Stale reports are discarded.
func (a *Allocator) LiveRouters(now time.Time) []string {
	names := []string{a.self}
	for name, r := range a.reports {
		if name == a.self {
			continue
		}
		if now.Sub(r.at) > StalePeriods*a.period {
			delete(a.reports, name)
			continue
		}
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// SetRouters sets the names of all routers; self is added if it is missing.
// Until it is called, the live routers are assumed to be all.
func (a *Allocator) SetRouters(names []string) {
	a.routers = slices.Clone(names)
	if !slices.Contains(a.routers, a.self) {
		a.routers = append(a.routers, a.self)
	}
	slices.Sort(a.routers)
}

// Peers returns the routers that share a pool with the given number of servers
// with self: those of its cell, including self.
func (a *Allocator) Peers(now time.Time, servers int) []string {
	all := a.allRouters(now)
	cells := Cells(len(all), servers)
	if cells == 1 {
		return all
	}
	var peers []string
	for _, name := range all {
		if CellOf(name, cells) == CellOf(a.self, cells) {
			peers = append(peers, name)
		}
	}
	return peers
}

// allRouters returns the names of all routers.
func (a *Allocator) allRouters(now time.Time) []string {
	if len(a.routers) > 0 {
		return a.routers
	}
	return a.LiveRouters(now)
}

// CellServers returns the range of a pool's servers that belong to the cell of
// self, as the first index and the index after the last in the order of their
// hashes. servers is the number of servers in the pool.
func (a *Allocator) CellServers(now time.Time, servers int) (int, int) {
	all := a.allRouters(now)
	cells := Cells(len(all), servers)
	if cells == 1 {
		return 0, servers
	}
	cell := CellOf(a.self, cells)
	bounds := CellBounds(all, cells)
	n := float64(servers)
	return int(math.Round(n * bounds[cell])), int(math.Round(n * bounds[cell+1]))
}

// OwnRange returns the part of the cell's servers that belongs to self, and the
// total demand of the cell's routers in the pool. servers is the number of
// servers in the whole pool, and slots the number of slots of the cell. The
// range covers at least one slot. For the first Stale periods, a router whose
// report has not arrived yet is assumed to have the same demand as self.
func (a *Allocator) OwnRange(now time.Time, pool PoolName, servers int, slots float64) (Range, Demand) {
	routers := a.Peers(now, servers)
	if a.startedAt.IsZero() && len(routers) > 1 {
		a.startedAt = now
	}
	starting := now.Sub(a.startedAt) < StalePeriods*a.period
	if !starting {
		routers = a.liveAmong(now, routers)
	}
	demands := make([]Demand, len(routers))
	var sum Demand
	for i, name := range routers {
		demands[i] = a.report(name, starting).Pools[pool]
		for level, wanted := range demands[i] {
			sum[level] += wanted
		}
	}
	parts := Divide(slots, demands)
	low := 0.0
	for i, name := range routers {
		high := low + parts[i]/max(slots, 1)
		if name == a.self {
			return Range{Low: low, High: max(high, low+1/max(slots, 1))}, sum
		}
		low = high
	}
	return Range{Low: 0, High: 1}, sum
}

// report returns the latest report of a router. If there is none, it returns
// that of self if orOwn is set, otherwise an empty one.
func (a *Allocator) report(name string, orOwn bool) DemandReport {
	r, ok := a.reports[name]
	if !ok && orOwn {
		r = a.reports[a.self]
	}
	return r.report
}

// liveAmong returns self and those of the routers whose latest report is not
// stale.
func (a *Allocator) liveAmong(now time.Time, routers []string) []string {
	var names []string
	for _, name := range routers {
		r, ok := a.reports[name]
		if name == a.self || ok && now.Sub(r.at) <= StalePeriods*a.period {
			names = append(names, name)
		}
	}
	return names
}
