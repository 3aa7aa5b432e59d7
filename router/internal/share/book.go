package share

import (
	"math"
	"slices"
	"time"
)

// Allocator keeps the newest note of each router and works out the own ranges.
type Allocator struct {
	self   string
	period time.Duration
	notes  map[string]heard

	// members are the names of all routers, if they are known, in order.
	members []string

	// since is when the own slots were first worked out with other members.
	since time.Time
}

// heard is a note and when it came.
type heard struct {
	note DemandReport
	at   time.Time
}

// NewAllocator returns a book for the router self, whose peers send their notes
// every period.
func NewAllocator(self string, period time.Duration) *Allocator {
	return &Allocator{self: self, period: period, notes: make(map[string]heard)}
}

// Receive takes in a note, the own one too.
func (b *Allocator) Receive(now time.Time, note DemandReport) {
	b.notes[note.Router] = heard{note: note, at: now}
}

// SetPeriod sets how often the peers send their notes.
func (b *Allocator) SetPeriod(period time.Duration) {
	b.period = period
}

// RemoveRouter forgets a router that has left.
func (b *Allocator) RemoveRouter(router string) {
	delete(b.notes, router)
}

// LiveRouters returns the names of the routers whose notes count, in order.
func (b *Allocator) LiveRouters(now time.Time) []string {
	names := []string{b.self}
	for name, h := range b.notes {
		if name == b.self {
			continue
		}
		if now.Sub(h.at) > Stale*b.period {
			delete(b.notes, name)
			continue
		}
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// SetRouters sets the names of all routers. Until it is called, those whose notes
// were heard are taken for all.
func (b *Allocator) SetRouters(names []string) {
	b.members = slices.Clone(names)
	if !slices.Contains(b.members, b.self) {
		b.members = append(b.members, b.self)
	}
	slices.Sort(b.members)
}

// Peers returns the routers that share a pool of so many servers with self:
// those of its cell, self among them.
func (b *Allocator) Peers(now time.Time, servers int) []string {
	all := b.all(now)
	cells := Cells(len(all), servers)
	if cells == 1 {
		return all
	}
	var peers []string
	for _, name := range all {
		if CellOf(name, cells) == CellOf(b.self, cells) {
			peers = append(peers, name)
		}
	}
	return peers
}

// all returns the names of all routers.
func (b *Allocator) all(now time.Time) []string {
	if len(b.members) > 0 {
		return b.members
	}
	return b.LiveRouters(now)
}

// CellServers returns the range of a pool's servers, as indexes in the order of
// their hashes, that belong to the cell of self.
func (b *Allocator) CellServers(now time.Time, servers int) (int, int) {
	all := b.all(now)
	cells := Cells(len(all), servers)
	if cells == 1 {
		return 0, servers
	}
	cell := CellOf(b.self, cells)
	bounds := CellBounds(all, cells)
	n := float64(servers)
	return int(math.Round(n * bounds[cell])), int(math.Round(n * bounds[cell+1]))
}

// OwnRange returns the part of the cell's servers that belongs to self, given the
// slots of the cell and the servers of the whole pool, and the demand of the
// cell's routers together. A router gets at least one slot. While it is new, a
// router that it has not heard yet counts as if it wanted as much as itself.
func (b *Allocator) OwnRange(now time.Time, pool PoolName, servers int, slots float64) (Range, Demand) {
	routers := b.Peers(now, servers)
	if b.since.IsZero() && len(routers) > 1 {
		b.since = now
	}
	young := now.Sub(b.since) < Stale*b.period
	if !young {
		routers = b.live(now, routers)
	}
	demands := make([]Demand, len(routers))
	var sum Demand
	for i, name := range routers {
		demands[i] = b.note(name, young).Pools[pool]
		for level, wanted := range demands[i] {
			sum[level] += wanted
		}
	}
	parts := Divide(slots, demands)
	low := 0.0
	for i, name := range routers {
		high := low + parts[i]/max(slots, 1)
		if name == b.self {
			return Range{Low: low, High: max(high, low+1/max(slots, 1))}, sum
		}
		low = high
	}
	return Range{Low: 0, High: 1}, sum
}

// note returns the note of a router, or the own one in place of one that was
// not heard, if so wanted.
func (b *Allocator) note(name string, orOwn bool) DemandReport {
	h, ok := b.notes[name]
	if !ok && orOwn {
		h = b.notes[b.self]
	}
	return h.note
}

// live returns the names among routers whose notes count, and self.
func (b *Allocator) live(now time.Time, routers []string) []string {
	var names []string
	for _, name := range routers {
		h, ok := b.notes[name]
		if name == b.self || ok && now.Sub(h.at) <= Stale*b.period {
			names = append(names, name)
		}
	}
	return names
}
