package placement

import (
	"slices"
	"time"
)

const (
	// delayWeight is the cost of a second by which a request of the other group
	// is delayed.
	delayWeight = 3

	// spilloverChoices is the number of servers of the other group that are
	// considered, chosen at random.
	spilloverChoices = 2

	// maxSpilloverShare is the fraction of the urgent group's engine time that
	// patient requests may use. tolerableDelayShare is the fraction of the
	// shortest target by which they may delay urgent requests without cost.
	// lowOccupancy is the fraction of taken slots up to which they cost
	// nothing.
	maxSpilloverShare   = 0.3
	tolerableDelayShare = 0.5
	lowOccupancy        = 0.6

	// spilloverDelay is the fraction of its target that a patient request waits
	// rather than use the urgent group's engines.
	spilloverDelay = 0.25

	// crossGroupCost keeps requests at the servers of their own group, in
	// seconds.
	crossGroupCost = 0.05
)

// maySpillOver reports whether a request may go to the engines of the other
// group. Patient requests do so at a rate that is divided among all routers, as
// each router learns only later what the others sent there.
func (s *service) maySpillOver(now time.Time, req *Request) bool {
	if s.demand.urgent(req) {
		return true
	}
	share := maxSpilloverShare * float64(s.demand.urgentServers) / float64(req.routers)
	return s.spillover.current(now) < share
}

// spilloverCandidates returns the servers of the other group that are
// considered for a request: some random ones and those that have its session
// cached.
func spilloverCandidates(now time.Time, req *Request, other []*server) []*server {
	list := sample(other, spilloverChoices)
	for _, m := range other {
		if len(req.holders) > 0 && req.cachedOn(now, m) && !slices.Contains(list, m) {
			list = append(list, m)
		}
	}
	return list
}

// spilloverCost returns the additional cost of a request at an engine of the
// other group. An urgent request waits for all prompts there, as engines don't
// interrupt a running prefill, and answers pause meanwhile. A patient request
// costs the delay of the urgent requests beyond what they tolerate.
func (s *service) spilloverCost(m *server, req *Request, cached bool) float64 {
	if s.demand.urgent(req) {
		return crossGroupCost + float64(m.queuedTokens()-m.queuedTokensBefore(req.Priority))/s.prefillSpeed*m.slowdown()
	}
	queued := float64(m.queuedTokens()+req.prefillTokens(cached)) / s.prefillSpeed * m.slowdown()
	tolerable := tolerableDelayShare * s.demand.shortestTarget.Seconds()
	delay := max(queued-tolerable, 0) * float64(m.load()+1)
	occupancy := float64(m.load()+1) / float64(max(m.Slots, 1))
	delay += max(occupancy-lowOccupancy, 0) * s.residence[patientGroup]
	return spilloverDelay*req.Target.Seconds() + delayWeight*delay
}

// recordSpillover counts the engine time of a patient request that goes to the
// urgent group's servers.
func (s *service) recordSpillover(now time.Time, req *Request, m *server, cached bool) {
	if s.demand.urgent(req) || !s.reservedForUrgent(m) {
		return
	}
	prefillTime := float64(req.prefillTokens(cached)) / s.prefillSpeed
	s.spillover.add(now, max(prefillTime, s.residence[patientGroup]/float64(max(m.Slots, 1))))
}

// reservedForUrgent reports whether a server is reserved for urgent requests.
func (s *service) reservedForUrgent(m *server) bool {
	if !s.demand.split || s.demand.urgentServers >= len(s.members) {
		return false
	}
	return m.hash < s.members[s.demand.urgentServers].hash
}
