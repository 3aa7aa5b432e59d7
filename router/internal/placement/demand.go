package placement

import (
	"math"
	"slices"
	"time"
)

const (
	// demandMemory is the time over which the demand of a service is averaged.
	// It spans some dozens of requests at one router and follows a burst
	// within seconds.
	demandMemory = 4 * time.Second

	// groupRatio is the ratio of targets from which on classes count as urgent
	// and patient. Below it they are served by the same servers.
	groupRatio = 2

	// headroom is the exponent that gives the smaller demand more servers than
	// its share of the load, as small groups need relatively more of them.
	headroom = 0.7

	// apartFill is the part of their time that the servers of the group apart
	// are busy at most, if there are enough servers.
	apartFill = 0.5

	// mostExtra is by which factor the group apart may have more servers for
	// that than its share.
	mostExtra = 1.7

	// fillSlack is the number of servers that the group apart may lack for
	// that.
	fillSlack = 0.2

	// acquainted is how long a router runs before others take over its border.
	acquainted = 2 * time.Second

	// nearlyRight is the number of servers by which a border may be off before
	// it is drawn anew.
	nearlyRight = 0.8
)

// group tells which engines a request goes to.
type group uint8

const (
	// apartGroup holds the urgent requests: they would begin late, and pause,
	// beside the prompts of the others.
	apartGroup group = iota

	// mixedGroup holds the patient requests.
	mixedGroup

	// groups is the number of groups.
	groups
)

// rate is an average of an amount for each second that fades exponentially.
type rate struct {
	value float64
	at    time.Time
}

// add counts an amount.
func (r *rate) add(now time.Time, amount float64) {
	r.value = r.current(now) + amount/demandMemory.Seconds()
	r.at = now
}

// current returns the rate at a time.
func (r *rate) current(now time.Time) float64 {
	if r.at.IsZero() {
		return 0
	}
	return r.value * math.Exp(-now.Sub(r.at).Seconds()/demandMemory.Seconds())
}

// GroupDemand is what the requests of a group ask of a service, in servers that
// they keep busy.
type GroupDemand struct {
	// Prefill counts the time for reading prompts, Holding the slots that are
	// taken.
	Prefill float64
	Slots   float64
}

// plus returns the sum of two demands.
func (d GroupDemand) plus(other GroupDemand) GroupDemand {
	return GroupDemand{Prefill: d.Prefill + other.Prefill, Slots: d.Slots + other.Slots}
}

// minus returns the difference of two demands.
func (d GroupDemand) minus(other GroupDemand) GroupDemand {
	return GroupDemand{Prefill: d.Prefill - other.Prefill, Slots: d.Slots - other.Slots}
}

// servers returns the number of servers that the demand keeps busy. Servers read
// and answer at the same time.
func (d GroupDemand) servers() float64 { return max(d.Prefill, d.Slots, 0) }

// demand knows the groups of a service's requests and how much server time each
// of them asks for.
type demand struct {
	// border is the longest target of an urgent class. If split is false, all
	// classes form one group.
	border time.Duration
	split  bool

	// strictest is the shortest target.
	strictest time.Duration

	// reading is the server time for reading that is asked for in each second,
	// holding the slots that own requests take, as parts of a server's.
	reading [groups]rate
	holding [groups]float64

	// drawn is the number of servers of the group apart that was drawn last,
	// for a number of servers.
	drawn   int
	servers int

	// agreed is the border of the router that draws it for all, for a number of
	// servers. Both are zero if this router draws it.
	agreed        int
	agreedServers int
}

// setTargets takes the targets of the service's classes and cuts them where
// they lie farthest apart.
func (d *demand) setTargets(targets []time.Duration) {
	sorted := slices.Clone(targets)
	slices.Sort(sorted)
	d.strictest, d.border = 0, 0
	if len(sorted) > 0 {
		d.strictest = sorted[0]
	}
	widest := 0.0
	for i := 1; i < len(sorted); i++ {
		if sorted[i-1] <= 0 {
			continue
		}
		if ratio := float64(sorted[i]) / float64(sorted[i-1]); ratio > widest {
			widest, d.border = ratio, sorted[i-1]
		}
	}
	d.split = widest >= groupRatio
}

// urgent reports whether work is due soon, compared to others at the service.
func (d *demand) urgent(work *Request) bool { return d.split && work.Target <= d.border }

// group returns the group of work.
func (d *demand) group(work *Request) group {
	if d.split && !d.urgent(work) {
		return mixedGroup
	}
	return apartGroup
}

// current returns the demand of a group.
func (d *demand) current(now time.Time, of group) GroupDemand {
	return GroupDemand{Prefill: d.reading[of].current(now), Slots: d.holding[of]}
}

// told returns the border that other routers may take over, or zero if this
// router has not run for long enough to know the demand of all.
func (d *demand) told(running time.Duration) int {
	if running < acquainted || d.servers == 0 {
		return 0
	}
	return d.drawn
}

// divide returns how many of n servers the group apart gets first, for the
// demands of the two groups. A border that was drawn before stays where it is
// while it is nearly right, since sessions lose what servers keep of them when
// it moves. One router draws it for all, so that they agree.
func (d *demand) divide(n int, apart, mixed GroupDemand) int {
	if !d.split || n < 2 {
		d.drawn, d.servers = n, n
		return n
	}
	if d.agreed > 0 && d.agreedServers == n {
		d.drawn, d.servers = d.agreed, n
		return d.drawn
	}
	a := math.Pow(apart.servers(), headroom)
	m := math.Pow(mixed.servers(), headroom)
	if a+m == 0 {
		d.drawn, d.servers = (n+1)/2, n
		return d.drawn
	}
	share := float64(n) * a / (a + m)
	least := min(apart.servers()/apartFill, mostExtra*share)
	drawn := float64(d.drawn)
	tooFew := share-drawn > nearlyRight || least-drawn > fillSlack
	tooMany := drawn-max(share, least) > nearlyRight
	if d.servers != n || tooFew || tooMany {
		wanted := max(math.Round(share), math.Ceil(least-fillSlack))
		d.servers = n
		d.drawn = min(max(int(wanted), 1), n-1)
	}
	return d.drawn
}
