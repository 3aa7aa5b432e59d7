package placement

import (
	"slices"
	"time"
)

const (
	// spilloverChoices is the number of servers of the other group that are
	// considered, chosen at random.
	spilloverChoices = 4

	// maxSpilloverOccupancy is the fraction of an engine's slots that may be
	// taken after a long prompt went to an engine of the short group.
	maxSpilloverOccupancy = 0.9

	// longSpilloverCost and shortSpilloverCost keep long and short prompts at
	// the servers of their own group, in requests. Short ones pay more, as their
	// answers pause beside prompts that come later.
	longSpilloverCost  = 0.1
	shortSpilloverCost = 0.3
)

// spilloverCandidates returns the servers of the other group that are
// considered for a request: some random ones and those that have its session
// cached.
func spilloverCandidates(now time.Time, req *Request, other []*server) []*server {
	list := firstByHash(req.Draw, other, spilloverChoices)
	for _, m := range other {
		if len(req.holders) > 0 && req.cachedOn(now, m) && !slices.Contains(list, m) {
			list = append(list, m)
		}
	}
	return list
}

// acceptsSpillover reports whether a server of the other group takes a request.
// Those of the short group take one long prompt after the other, and keep some
// slots free.
func (s *service) acceptsSpillover(m *server, req *Request) bool {
	if s.demand.group(req) == shortGroup {
		return true
	}
	crowded := float64(m.load()+1) > maxSpilloverOccupancy*float64(max(m.Slots, 1))
	return !crowded && pauseProbability(s.queuedTime(m), s.demand.tightestGap()) == 0
}

// spilloverCost returns the additional cost of a request at an engine of the
// other group, in requests.
func (s *service) spilloverCost(req *Request) float64 {
	if s.demand.group(req) == longGroup {
		return longSpilloverCost
	}
	return shortSpilloverCost
}
