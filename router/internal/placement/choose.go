package placement

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// maxCandidates is the number of servers of its group that are considered
	// for a session. Routers learn of each other's load with a delay; if each
	// considered all servers, they would all pick the same one.
	maxCandidates = 4
)

// chooseEngine returns the engine with the least cost. The engines are
// partitioned between the two groups of requests in proportion to the groups'
// demand. A session prefers the engines of its group in the order of its
// rendezvous hash, and those that have its prompt prefix cached.
func (s *service) chooseEngine(now time.Time, req *Request, candidates []*server, zone string) (*server, Choice) {
	own, other := s.partition(now, candidates, s.demand.group(req))
	req.congestion = s.congestion(own, req)
	choice := Choice{Cost: -1, NextCost: -1, PrefillSpeed: s.prefillSpeed, UrgentServers: s.demand.urgentServers}
	var chosen *server
	for i, m := range shortlist(now, req, own) {
		cached := req.cachedOn(now, m)
		cost := s.engineCost(now, m, req, cached) + float64(i)*hashRankCost
		if m.Zone != zone {
			cost += crossZoneCost
		}
		choice.consider(&chosen, m, cost, cached)
	}
	if s.maySpillOver(now, req) {
		for _, m := range spilloverCandidates(now, req, other) {
			cached := req.cachedOn(now, m)
			choice.consider(&chosen, m, s.engineCost(now, m, req, cached)+s.spilloverCost(m, req, cached), cached)
		}
	}
	choice.ExpectedLatency = time.Duration(s.firstEventTime(chosen, req, choice.Cached) * float64(time.Second))
	return chosen, choice
}

// shortlist returns the servers of a group that are considered for a request:
// the first ones by the rendezvous hash of its session, which are the same at
// each router, and those that are expected to have the session cached.
func shortlist(now time.Time, req *Request, own []*server) []*server {
	ranked := rankByHash(req.sessionHash, own)
	if len(ranked) <= maxCandidates {
		return ranked
	}
	list := ranked[:maxCandidates:maxCandidates]
	for _, m := range ranked[maxCandidates:] {
		if len(req.holders) > 0 && req.cachedOn(now, m) {
			list = append(list, m)
		}
	}
	return list
}

// congestion returns the mean wait at the servers, from 0 to 1, as a fraction
// of the wait above which requests are refused.
func (s *service) congestion(servers []*server, req *Request) float64 {
	limit := maxWaitShare * req.Target.Seconds()
	if len(servers) == 0 || limit <= 0 {
		return 0
	}
	sum := 0.0
	for _, m := range servers {
		sum += s.wait(m, req, true)
	}
	return min(sum/float64(len(servers))/limit, 1)
}

// totalDemand returns the demand of a group at all routers.
func (s *service) totalDemand(now time.Time, g group) GroupDemand {
	if g == urgentGroup {
		return s.demand.current(now, g).add(s.peerUrgent)
	}
	return s.demand.current(now, g).add(s.peerPatient)
}

// partition returns the candidates in the request's own group and those in the
// other one. The boundary is computed over all members, so that it does not
// move when some of them are not candidates. If requests are not split into
// groups, all servers belong to the request's own group.
func (s *service) partition(now time.Time, candidates []*server, g group) (own, other []*server) {
	n := s.demand.divideServers(len(s.members), s.totalDemand(now, urgentGroup), s.totalDemand(now, patientGroup))
	boundary := len(candidates)
	if n < len(s.members) {
		boundary, _ = slices.BinarySearchFunc(candidates, s.members[n].hash, func(m *server, hash uint64) int {
			return cmp.Compare(m.hash, hash)
		})
	}
	own, other = candidates[:boundary], candidates[boundary:]
	if g == patientGroup {
		own, other = other, own
	}
	return own, other
}

// sample returns n of the servers, chosen at random.
func sample(servers []*server, n int) []*server {
	if len(servers) <= n {
		return servers
	}
	drawn := make([]*server, 0, n)
	for _, i := range rand.Perm(len(servers))[:n] {
		drawn = append(drawn, servers[i])
	}
	return drawn
}

// rankByHash orders servers by their rendezvous hash for a session. Without a
// session the order is random.
func rankByHash(session uint64, servers []*server) []*server {
	if session == 0 {
		session = rand.Uint64()
	}
	ranked := slices.Clone(servers)
	slices.SortFunc(ranked, func(a, b *server) int {
		return cmp.Compare(rendezvousScore(session, b.hash), rendezvousScore(session, a.hash))
	})
	return ranked
}
