package placement

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// minLengthRatio is the least ratio of the mean prompt lengths of two
	// classes at which they are served by different servers.
	minLengthRatio = 2

	// minInterference is the least time to process a long prompt, as a fraction
	// of the pause that streams with short prompts tolerate, at which the two
	// are served by different servers.
	minInterference = 0.25

	// lengthWeight is the weight of a prompt in the mean length of its class,
	// and minLengthSamples the number of prompts from which a class counts.
	lengthWeight     = 0.02
	minLengthSamples = 5

	// maxLoneSamples is the number of prompts after which a class is taken for
	// the only one of its service.
	maxLoneSamples = 50

	// classTTL is how long a class without requests is remembered.
	classTTL = 10 * time.Minute

	// regroupInterval is the least time between two computations of the groups.
	regroupInterval = 100 * time.Millisecond
)

// group determines which engines a request prefers.
type group uint8

const (
	// shortGroup holds the requests of classes with short prompts, whose answers
	// would pause beside the long ones. If classes are not split into groups, it
	// holds all requests.
	shortGroup group = iota

	// longGroup holds the requests of classes with long prompts.
	longGroup

	// groupCount is the number of groups.
	groupCount
)

// grouping splits the classes of a service by the mean length of their prompts.
// It learns the lengths from the requests.
type grouping struct {
	classes map[string]*classProfile

	// boundary is the prompt length in tokens that separates the groups, or
	// zero if the classes are not split. It is provisional while less than two
	// classes are known.
	boundary    float64
	provisional bool
	regroupedAt time.Time

	// adopted is what the router announced that decides for all, or nil if this
	// router decides.
	adopted *announcement
}

// announcement is a router's decision for a service: the length in tokens up to
// which prompts are short, or zero if the classes are not split, and the number
// of servers for them out of all servers.
type announcement struct {
	shortLength  float64
	shortServers int
	servers      int
}

// classProfile is what this router knows of the requests of a class.
type classProfile struct {
	// mean is the mean length of samples prompts, in tokens.
	mean    float64
	samples int

	// gap is the longest pause between events that the class tolerates. usedAt
	// is the time of the last request.
	gap    time.Duration
	usedAt time.Time

	// prefill is the server time for prefill that is needed in each second;
	// slots counts the slots that are taken, as fractions of a server's slots,
	// and running the requests that take them.
	prefill rate
	slots   float64
	running int
}

// split reports whether the classes are split into groups.
func (g *grouping) split() bool { return g.shortLength() > 0 }

// shortLength returns the length in tokens up to which prompts are short, or
// zero if the classes are not split.
func (g *grouping) shortLength() float64 {
	if g.adopted != nil {
		return g.adopted.shortLength
	}
	return g.boundary
}

// profile returns the profile of a class and creates it if needed.
func (g *grouping) profile(class string) *classProfile {
	c, ok := g.classes[class]
	if !ok {
		if g.classes == nil {
			g.classes = make(map[string]*classProfile)
		}
		c = &classProfile{}
		g.classes[class] = c
	}
	return c
}

// record takes the prompt length of a request into account.
func (g *grouping) record(now time.Time, req *Request, prefillSpeed float64) {
	c := g.profile(req.Class)
	c.samples++
	c.gap, c.usedAt = req.Gap, now
	c.mean += max(lengthWeight, 1/float64(c.samples)) * (float64(req.PromptTokens) - c.mean)
	if c.samples == 1 || c.samples == minLengthSamples || now.Sub(g.regroupedAt) >= regroupInterval {
		g.regroupedAt = now
		g.regroup(now, prefillSpeed)
	}
}

// regroup splits the classes at the largest ratio of the lengths of neighbors,
// if the longer prompts would pause the answers to the shorter ones. It drops
// the classes that have no requests any more.
func (g *grouping) regroup(now time.Time, prefillSpeed float64) {
	known := make([]*classProfile, 0, len(g.classes))
	for name, c := range g.classes {
		if c.running == 0 && now.Sub(c.usedAt) > classTTL {
			delete(g.classes, name)
			continue
		}
		if c.samples >= minLengthSamples && c.mean > 0 {
			known = append(known, c)
		}
	}
	g.boundary = 0
	g.provisional = len(known) < 2
	if g.provisional {
		g.boundary = g.initialBoundary(prefillSpeed)
		return
	}
	slices.SortFunc(known, func(a, b *classProfile) int { return cmp.Compare(a.mean, b.mean) })
	widest := float64(minLengthRatio)
	tolerated := math.Inf(1)
	for i := 1; i < len(known); i++ {
		short, long := known[i-1], known[i]
		if short.gap > 0 {
			tolerated = min(tolerated, short.gap.Seconds())
		}
		ratio := long.mean / short.mean
		if ratio >= widest && long.mean/prefillSpeed >= minInterference*tolerated {
			widest, g.boundary = ratio, math.Sqrt(short.mean*long.mean)
		}
	}
}

// knowsOneClass reports whether the classes are not split because this router
// has seen too few of them.
func (g *grouping) knowsOneClass() bool { return g.provisional && g.boundary == 0 }

// initialBoundary returns the boundary while less than two classes are known:
// the length of a prompt that would pause the streams that tolerate least. A
// class that stays alone is not split from others.
func (g *grouping) initialBoundary(prefillSpeed float64) float64 {
	least := time.Duration(0)
	for _, c := range g.classes {
		if len(g.classes) == 1 && c.samples > maxLoneSamples {
			return 0
		}
		if c.gap > 0 && (least == 0 || c.gap < least) {
			least = c.gap
		}
	}
	return minInterference * least.Seconds() * prefillSpeed
}

// group returns the group of a request. A class that is not known yet goes by
// the request's own length.
func (g *grouping) group(req *Request) group {
	if c, ok := g.classes[req.Class]; ok && c.samples >= minLengthSamples {
		return g.groupOf(c.mean)
	}
	return g.groupOf(float64(req.PromptTokens))
}

// groupOf returns the group of a class by the mean length of its prompts.
func (g *grouping) groupOf(length float64) group {
	if g.split() && length > g.shortLength() {
		return longGroup
	}
	return shortGroup
}

// tightestGap returns the least pause that a class of the short group
// tolerates, or zero if none is known.
func (g *grouping) tightestGap() time.Duration {
	least := time.Duration(0)
	for _, c := range g.classes {
		if c.gap > 0 && g.groupOf(c.mean) == shortGroup && (least == 0 || c.gap < least) {
			least = c.gap
		}
	}
	return least
}

// groupDemand returns the demand of a group at this router.
func (g *grouping) groupDemand(now time.Time, which group) GroupDemand {
	var sum GroupDemand
	for _, c := range g.classes {
		if g.groupOf(c.mean) == which {
			sum = sum.add(GroupDemand{Prefill: c.prefill.current(now), Slots: c.slots})
		}
	}
	return sum
}

// protected reports whether a request is in the short group beside a long one.
// Such requests are never refused.
func (g *grouping) protected(req *Request) bool {
	return g.split() && (g.adopted != nil || !g.provisional) && g.group(req) == shortGroup
}
