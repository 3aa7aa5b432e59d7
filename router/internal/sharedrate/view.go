package sharedrate

import (
	"maps"
	"net/netip"
	"slices"
	"time"

	"snipetally.example/router/internal/home"
)

const (
	// unsettledFraction is the fraction of a rate that a new home gives while others may
	// still ask the one before. Both together stay within one and a half times the rate.
	unsettledFraction = 1.0 / 3

	// routerMemory is how long a router that is no longer heard counts as one that may
	// give permits on the other side of a partition. After that it is taken for gone.
	routerMemory = 30 * time.Second

	// maxRefreshGap is the time between two refreshes of the view above which the router
	// itself stood still, and knows nothing of what the others agreed meanwhile.
	maxRefreshGap = time.Second

	// maxSets bounds the membership sets that are remembered.
	maxSets = 16
)

// view is what a router knows of the others over time. It belongs to the exchange's
// mutex. The set in force is the last one; those before are kept as long as a router may
// be found that goes by one of them.
type view struct {
	own  netip.AddrPort
	sets []memberSet

	// since is the time from which on the sets are complete, and refreshedAt that of the
	// last refresh.
	since       time.Duration
	refreshedAt time.Duration

	// most is the largest number of routers, with this one, since mostAt minus
	// routerMemory.
	most   int
	mostAt time.Duration

	// seeds are the seeds that were named last. unheard are those that were not heard since
	// they were named. They count as routers that may be alive on the other side of a
	// partition, each until the time on the clock that is its value.
	seeds   []netip.AddrPort
	unheard map[netip.AddrPort]time.Duration
}

// memberSet is the other routers that were alive from a time on, in ascending order.
type memberSet struct {
	from    time.Duration
	members []netip.AddrPort
}

// newView returns a view that has heard no other routers. Some may be alive, the seeds.
func newView(own netip.AddrPort, now time.Duration, seeds []netip.AddrPort) *view {
	v := &view{own: own, sets: []memberSet{{from: now}}, since: now, refreshedAt: now, mostAt: now}
	v.unheard = make(map[netip.AddrPort]time.Duration)
	v.nameSeeds(now, seeds)
	v.most = 1 + len(v.unheard)
	return v
}

// nameSeeds takes over the seeds. Those that were not named before may be alive.
func (v *view) nameSeeds(now time.Duration, seeds []netip.AddrPort) {
	for _, seed := range seeds {
		if seed != v.own && !slices.Contains(v.seeds, seed) {
			v.unheard[seed] = now + routerMemory
		}
	}
	v.seeds = seeds
}

// refresh takes over the routers that are alive now. settle is how long routers may
// disagree about it.
func (v *view) refresh(now time.Duration, members []netip.AddrPort, settle time.Duration) {
	slices.SortFunc(members, netip.AddrPort.Compare)
	if now-v.refreshedAt > maxRefreshGap {
		v.sets, v.since = nil, now
	}
	v.refreshedAt = now
	if len(v.sets) == 0 || !slices.Equal(v.sets[len(v.sets)-1].members, members) {
		v.sets = append(v.sets, memberSet{from: now, members: members})
	}
	for len(v.sets) > 1 && (v.sets[1].from <= now-settle || len(v.sets) > maxSets) {
		v.sets = v.sets[1:]
		v.since = max(v.since, v.sets[0].from)
	}
	for _, member := range members {
		delete(v.unheard, member)
	}
	maps.DeleteFunc(v.unheard, func(_ netip.AddrPort, until time.Duration) bool { return now > until })
	v.countRouters(now, len(members)+1+len(v.unheard))
}

// countRouters takes a number of routers into account that are alive at the same time.
func (v *view) countRouters(now time.Duration, routers int) {
	if routers >= v.most || now-v.mostAt > routerMemory {
		v.most, v.mostAt = max(routers, len(v.members())+1), now
	}
}

// members returns the other routers that are alive.
func (v *view) members() []netip.AddrPort { return v.sets[len(v.sets)-1].members }

// home returns the home of a rate.
func (v *view) home(key Key) netip.AddrPort { return home.Of(uint64(key), v.own, v.members()) }

// share returns the fraction of a rate that this router, its home, may give.
func (v *view) share(now time.Duration, key Key, settle time.Duration) float64 {
	share := float64(len(v.members())+1) / float64(v.most)
	if !v.settled(now, key, settle) {
		share *= unsettledFraction
	}
	return share
}

// settled reports whether the router has been the home of a rate for a time: for so long that all
// others know it, if that is the time for which they may disagree.
func (v *view) settled(now time.Duration, key Key, length time.Duration) bool {
	if now-v.since < length {
		return false
	}
	for i, set := range v.sets {
		ended := i+1 < len(v.sets) && v.sets[i+1].from <= now-length
		if !ended && home.Of(uint64(key), v.own, set.members) != v.own {
			return false
		}
	}
	return true
}
