package placement

import (
	"cmp"
	"slices"
	"time"
)

const (
	// maxCandidates is the number of servers of its group that are considered
	// for a session. Routers learn of each other's load with a delay; if each
	// considered all servers, they would all pick the same one.
	maxCandidates = 8
)

// chooseEngine returns the engine with the least cost. The engines are
// partitioned between the two groups of requests in proportion to the groups'
// demand. A session prefers the engines of its group in the order of its
// rendezvous hash, and those that have its prompt prefix cached.
func (s *service) chooseEngine(now time.Time, req *Request, candidates []*server, zone string) (*server, Choice) {
	own, preferred, spillover := s.considered(now, req, candidates)
	req.congestion = s.congestion(own, req)
	choice := Choice{Cost: -1, NextCost: -1, PrefillSpeed: s.prefillSpeed, ShortServers: s.demand.shortServers}
	var chosen *server
	consider := func(m *server, extraCost float64) {
		cached := req.cachedOn(now, m)
		cost := s.engineCost(now, m, req, cached) + extraCost
		if m.Zone != zone {
			cost += engineZoneCost
		}
		choice.consider(&chosen, m, cost, cached)
	}
	for rank, m := range preferred {
		consider(m, float64(rank)*hashRankCost)
	}
	for _, m := range spillover {
		if s.acceptsSpillover(m, req) {
			consider(m, s.spilloverCost(req))
		}
	}
	choice.ExpectedLatency = time.Duration(s.firstEventTime(chosen, req, choice.Cached) * float64(time.Second))
	return chosen, choice
}

// considered returns the engines of the request's group, those of them that are
// considered for it in the order of preference, and those of the other group.
// There is always a preferred one.
func (s *service) considered(now time.Time, req *Request, candidates []*server) (own, preferred, spillover []*server) {
	own, other := s.partition(now, candidates, s.demand.group(req))
	if len(own) == 0 {
		own, other = other, nil
	}
	return own, shortlist(now, req, own), spilloverCandidates(now, req, other)
}

// shortlist returns the servers of a group that are considered for a request:
// the first ones by the rendezvous hash of its session, which are the same at
// each router, and those that are expected to have the session cached. Without a
// session the order is random.
func shortlist(now time.Time, req *Request, own []*server) []*server {
	key := req.sessionHash
	if key == 0 {
		key = req.Draw
	}
	list := firstByHash(key, own, maxCandidates)
	for _, m := range own {
		if len(req.holders) > 0 && req.cachedOn(now, m) && !slices.Contains(list, m) {
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
	if g == shortGroup {
		return s.demand.groupDemand(now, g).add(s.peerShort)
	}
	return s.demand.groupDemand(now, g).add(s.peerLong)
}

// partition returns the candidates in the request's own group and those in the
// other one. The boundary is computed over all members, so that it does not
// move when some of them are not candidates. If requests are not split into
// groups, all servers belong to the request's own group.
func (s *service) partition(now time.Time, candidates []*server, g group) (own, other []*server) {
	n := s.demand.divideServers(len(s.members), s.totalDemand(now, shortGroup), s.totalDemand(now, longGroup))
	boundary := len(candidates)
	if n < len(s.members) {
		boundary, _ = slices.BinarySearchFunc(candidates, s.members[n].hash, func(m *server, hash uint64) int {
			return cmp.Compare(m.hash, hash)
		})
	}
	own, other = candidates[:boundary], candidates[boundary:]
	if g == longGroup {
		own, other = other, own
	}
	return own, other
}

// firstByHash returns the n servers with the highest rendezvous scores for a
// key, in their order.
func firstByHash(key uint64, servers []*server, n int) []*server {
	type scored struct {
		server *server
		score  uint64
	}
	first := make([]scored, 0, n+1)
	for _, m := range servers {
		score := rendezvousScore(key, m.hash)
		if len(first) == n && score <= first[n-1].score {
			continue
		}
		i, _ := slices.BinarySearchFunc(first, score, func(s scored, score uint64) int { return cmp.Compare(score, s.score) })
		first = slices.Insert(first, i, scored{server: m, score: score})
		first = first[:min(len(first), n)]
	}
	list := make([]*server, len(first))
	for i, s := range first {
		list[i] = s.server
	}
	return list
}
