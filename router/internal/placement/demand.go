package placement

import (
	"math"
	"time"
)

const (
	// demandWindow is the time over which the demand of a service is averaged.
	// It spans some dozens of requests at one router and follows a burst within
	// seconds.
	demandWindow = 4 * time.Second

	// maxShortUtilization is the largest fraction of their time that the short
	// group's servers are to be busy, if there are enough servers.
	maxShortUtilization = 0.75

	// maxShortShare is the largest fraction of the servers that the short group
	// gets for that purpose, if it is more than its share of the demand.
	maxShortShare = 0.5

	// utilizationSlack is the number of servers that the short group may lack
	// for that purpose.
	utilizationSlack = 0.2

	// minUptime is how long a router runs before others adopt its partition.
	minUptime = 2 * time.Second

	// partitionTolerance is the number of servers by which a partition may be
	// off before it is recomputed.
	partitionTolerance = 0.8
)

// rate is an exponentially decaying average of an amount per second.
type rate struct {
	value float64
	at    time.Time
}

// add counts an amount.
func (r *rate) add(now time.Time, amount float64) {
	r.value = r.current(now) + amount/demandWindow.Seconds()
	r.at = now
}

// current returns the rate at the given time.
func (r *rate) current(now time.Time) float64 {
	if r.at.IsZero() {
		return 0
	}
	return r.value * math.Exp(-now.Sub(r.at).Seconds()/demandWindow.Seconds())
}

// GroupDemand is the demand of a group of requests at a service, as the number
// of servers that it keeps busy.
type GroupDemand struct {
	// Prefill counts the prefill time; Slots counts the slots taken.
	Prefill float64
	Slots   float64
}

// add returns the sum of two demands.
func (d GroupDemand) add(other GroupDemand) GroupDemand {
	return GroupDemand{Prefill: d.Prefill + other.Prefill, Slots: d.Slots + other.Slots}
}

// subtract returns the difference of two demands.
func (d GroupDemand) subtract(other GroupDemand) GroupDemand {
	return GroupDemand{Prefill: d.Prefill - other.Prefill, Slots: d.Slots - other.Slots}
}

// busyServers returns the number of servers that the demand keeps busy. Servers
// process prompts and generate answers at the same time.
func (d GroupDemand) busyServers() float64 { return max(d.Prefill, d.Slots, 0) }

// demand holds the groups of a service's requests and the partition of its
// servers between them.
type demand struct {
	grouping

	// shortServers is the current number of servers of the short group, out of
	// totalServers.
	shortServers int
	totalServers int
}

// announcedShortServers returns the partition that other routers may adopt, or
// zero if this router knows one class only, or has not run long enough to know
// the demand at all routers.
func (d *demand) announcedShortServers(running time.Duration) int {
	if running < minUptime || d.totalServers == 0 || d.knowsOneClass() {
		return 0
	}
	return d.shortServers
}

// divideServers returns how many of n servers, counted from the first, the
// short group gets for the given demands. An earlier partition is kept while
// it is approximately right, since sessions lose their cached prefixes when it
// moves. One router decides for all, so that they agree.
func (d *demand) divideServers(n int, short, long GroupDemand) int {
	if n < 2 || !d.split() {
		d.shortServers, d.totalServers = n, n
		return n
	}
	if d.adopted != nil && d.adopted.servers == n {
		d.shortServers, d.totalServers = d.adopted.shortServers, n
		return d.shortServers
	}
	busy := short.busyServers() + long.busyServers()
	if busy == 0 {
		d.shortServers, d.totalServers = (n+1)/2, n
		return d.shortServers
	}
	share := float64(n) * short.busyServers() / busy
	least := min(short.busyServers()/maxShortUtilization, max(share, maxShortShare*float64(n)))
	current := float64(d.shortServers)
	tooFew := share-current > partitionTolerance || least-current > utilizationSlack
	tooMany := current-max(share, least) > partitionTolerance
	if d.totalServers != n || tooFew || tooMany {
		wanted := max(math.Round(share), math.Ceil(least-utilizationSlack))
		d.totalServers = n
		d.shortServers = min(max(int(wanted), 1), n-1)
	}
	return d.shortServers
}
