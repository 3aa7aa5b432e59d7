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
	demandMemory = 8 * time.Second

	// groupRatio is the ratio of targets from which on classes count as urgent
	// and patient. Below it they are served by the same servers.
	groupRatio = 2

	// headroom is the exponent that gives the smaller demand more servers than
	// its share of the load, as small groups need relatively more of them.
	headroom = 0.7

	// urgentFill is the part of their time that the servers of the urgent
	// group are busy at most, if there are enough servers.
	urgentFill = 0.5

	// fillSlack is the number of servers that the urgent group may lack for
	// that.
	fillSlack = 0.2

	// nearlyRight is the number of servers by which a border may be off before
	// it is drawn anew.
	nearlyRight = 0.8

	// decodeShare is the part of a server's time that a running request takes,
	// relative to a full batch.
	decodeShare = 0.6
)

// group tells urgent from patient requests.
type group uint8

const (
	urgentGroup group = iota
	patientGroup

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

// demand tells the urgent from the patient requests of a service and how much
// server time each group asks for.
type demand struct {
	// targets are the targets of the service's classes in rising order.
	targets []time.Duration

	// urgent and patient are seconds of server time asked for in each second.
	urgent  rate
	patient rate

	// drawn is the number of servers of the urgent group that was drawn last,
	// for a number of servers.
	drawn   int
	servers int
}

// setTargets takes the targets of the service's classes.
func (d *demand) setTargets(targets []time.Duration) {
	d.targets = slices.Clone(targets)
	slices.Sort(d.targets)
}

// border returns the longest target of an urgent request, and false if all
// classes of the service form one group.
func (d *demand) border() (time.Duration, bool) {
	widest, border := 0.0, time.Duration(0)
	for i := 1; i < len(d.targets); i++ {
		if d.targets[i-1] <= 0 {
			continue
		}
		if ratio := float64(d.targets[i]) / float64(d.targets[i-1]); ratio > widest {
			widest, border = ratio, d.targets[i-1]
		}
	}
	return border, widest >= groupRatio
}

// group returns the group of a request with this target.
func (d *demand) group(target time.Duration) group {
	if border, split := d.border(); split && target > border {
		return patientGroup
	}
	return urgentGroup
}

// add counts a request that asks for some server time.
func (d *demand) add(now time.Time, target time.Duration, seconds float64) {
	if d.group(target) == urgentGroup {
		d.urgent.add(now, seconds)
		return
	}
	d.patient.add(now, seconds)
}

// divide returns how many of n servers the urgent group gets first, for the
// seconds of server time that the two groups ask for. A border that was drawn
// before stays where it is while it is nearly right, since sessions lose what
// servers keep of them when it moves.
func (d *demand) divide(n int, urgent, patient float64) int {
	if _, split := d.border(); !split || n < 2 {
		d.drawn, d.servers = n, n
		return n
	}
	u := math.Pow(urgent, headroom)
	p := math.Pow(patient, headroom)
	if u+p == 0 {
		d.drawn, d.servers = (n+1)/2, n
		return d.drawn
	}
	share := float64(n) * u / (u + p)
	least := urgent / urgentFill
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
