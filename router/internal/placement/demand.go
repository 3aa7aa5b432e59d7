package placement

import (
	"math"
	"slices"
	"time"
)

const (
	// demandWindow is the time over which the demand of a service is averaged.
	// It spans some dozens of requests at one router and follows a burst within
	// seconds.
	demandWindow = 4 * time.Second

	// minTargetRatio is the least ratio of two targets at which classes are
	// split into urgent and patient ones. Below it they are served by the same
	// servers.
	minTargetRatio = 2

	// demandExponent gives the smaller demand more servers than its share of
	// the load, as small groups need relatively more of them.
	demandExponent = 0.7

	// maxUrgentUtilization is the largest fraction of their time that the
	// urgent group's servers are to be busy, if there are enough servers.
	maxUrgentUtilization = 0.5

	// maxUrgentExtra is the largest factor by which the urgent group may exceed
	// its share of servers for that purpose.
	maxUrgentExtra = 1.7

	// utilizationSlack is the number of servers that the urgent group may lack
	// for that purpose.
	utilizationSlack = 0.2

	// minUptime is how long a router runs before others adopt its partition.
	minUptime = 2 * time.Second

	// partitionTolerance is the number of servers by which a partition may be
	// off before it is recomputed.
	partitionTolerance = 0.8
)

// group determines which engines a request prefers.
type group uint8

const (
	// urgentGroup holds the urgent requests, which would start late and be
	// paused at engines that process the prompts of the others. If requests are
	// not split into groups, it holds all of them.
	urgentGroup group = iota

	// patientGroup holds the patient requests.
	patientGroup

	// groupCount is the number of groups.
	groupCount
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

// demand holds the groups of a service's requests and the server time that each
// of them needs.
type demand struct {
	// urgentTarget is the longest target of an urgent class. If split is false,
	// all classes form one group.
	urgentTarget time.Duration
	split        bool

	// shortestTarget is the shortest target of all classes.
	shortestTarget time.Duration

	// prefill is the server time for prefill that is needed in each second;
	// slots counts the slots that this router's requests take, as fractions of
	// a server's slots.
	prefill [groupCount]rate
	slots   [groupCount]float64

	// urgentServers is the current number of servers of the urgent group, out
	// of totalServers.
	urgentServers int
	totalServers  int

	// adoptedUrgentServers is the partition announced by the router that
	// decides for all, out of adoptedTotalServers. Both are zero if this router
	// decides.
	adoptedUrgentServers int
	adoptedTotalServers  int
}

// setTargets takes the targets of the service's classes and splits them at the
// largest ratio between neighbors.
func (d *demand) setTargets(targets []time.Duration) {
	sorted := slices.Clone(targets)
	slices.Sort(sorted)
	d.shortestTarget, d.urgentTarget = 0, 0
	if len(sorted) > 0 {
		d.shortestTarget = sorted[0]
	}
	widest := 0.0
	for i := 1; i < len(sorted); i++ {
		if sorted[i-1] <= 0 {
			continue
		}
		if ratio := float64(sorted[i]) / float64(sorted[i-1]); ratio > widest {
			widest, d.urgentTarget = ratio, sorted[i-1]
		}
	}
	d.split = widest >= minTargetRatio
}

// urgent reports whether a request is of an urgent class. If the classes are
// not split, none is.
func (d *demand) urgent(req *Request) bool { return d.split && req.Target <= d.urgentTarget }

// group returns the group of a request.
func (d *demand) group(req *Request) group {
	if d.split && !d.urgent(req) {
		return patientGroup
	}
	return urgentGroup
}

// current returns this router's demand of a group.
func (d *demand) current(now time.Time, g group) GroupDemand {
	return GroupDemand{Prefill: d.prefill[g].current(now), Slots: d.slots[g]}
}

// announcedUrgentServers returns the partition that other routers may adopt, or
// zero if this router has not run long enough to know the demand at all
// routers.
func (d *demand) announcedUrgentServers(running time.Duration) int {
	if running < minUptime || d.totalServers == 0 {
		return 0
	}
	return d.urgentServers
}

// divideServers returns how many of n servers, counted from the first, the
// urgent group gets for the given demands. An earlier partition is kept while
// it is approximately right, since sessions lose their cached prefixes when it
// moves. One router decides for all, so that they agree.
func (d *demand) divideServers(n int, urgent, patient GroupDemand) int {
	if !d.split || n < 2 {
		d.urgentServers, d.totalServers = n, n
		return n
	}
	if d.adoptedUrgentServers > 0 && d.adoptedTotalServers == n {
		d.urgentServers, d.totalServers = d.adoptedUrgentServers, n
		return d.urgentServers
	}
	u := math.Pow(urgent.busyServers(), demandExponent)
	p := math.Pow(patient.busyServers(), demandExponent)
	if u+p == 0 {
		d.urgentServers, d.totalServers = (n+1)/2, n
		return d.urgentServers
	}
	share := float64(n) * u / (u + p)
	least := min(urgent.busyServers()/maxUrgentUtilization, maxUrgentExtra*share)
	current := float64(d.urgentServers)
	tooFew := share-current > partitionTolerance || least-current > utilizationSlack
	tooMany := current-max(share, least) > partitionTolerance
	if d.totalServers != n || tooFew || tooMany {
		wanted := max(math.Round(share), math.Ceil(least-utilizationSlack))
		d.totalServers = n
		d.urgentServers = min(max(int(wanted), 1), n-1)
	}
	return d.urgentServers
}
