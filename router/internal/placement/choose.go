package placement

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// choices is the number of servers of its group that a session may go to.
	// Routers know each other's work late; if all of them looked at all
	// servers, they would flock to the same one.
	choices = 4
)

// chooseEngine returns the engine with the least cost. The engines are cut into
// two ranges, for the two groups of requests, as large as the demand of the
// groups asks for. A session prefers the engines of its range in the order of
// its rendezvous hash, and those that keep it.
func (s *service) chooseEngine(now time.Time, work *Request, candidates []*server, zone string) (*server, Choice) {
	own, other := s.ranges(now, candidates, s.demand.group(work))
	work.crowd = s.crowd(own, work)
	choice := Choice{Cost: -1, NextCost: -1, PrefillSpeed: s.speed, UrgentServers: s.demand.drawn}
	var chosen *server
	for i, m := range shortlist(now, work, own) {
		kept := work.keptBy(now, m)
		cost := s.engineCost(now, m, work, kept) + float64(i)*rankCost
		if m.Zone != zone {
			cost += zoneCost
		}
		choice.consider(&chosen, m, cost, kept)
	}
	if s.mayVisit(now, work) {
		for _, m := range visited(now, work, other) {
			kept := work.keptBy(now, m)
			choice.consider(&chosen, m, s.engineCost(now, m, work, kept)+s.visitCost(m, work, kept), kept)
		}
	}
	choice.ExpectedLatency = time.Duration(s.firstEvent(chosen, work, choice.Cached) * float64(time.Second))
	return chosen, choice
}

// shortlist returns the servers of a group that are looked at for the work: the
// first ones of its session's rendezvous hash, the same at each router, and
// those that are believed to keep the session.
func shortlist(now time.Time, work *Request, own []*server) []*server {
	ranked := rank(work.name, own)
	if len(ranked) <= choices {
		return ranked
	}
	list := ranked[:choices:choices]
	for _, m := range ranked[choices:] {
		if len(work.keepers) > 0 && work.keptBy(now, m) {
			list = append(list, m)
		}
	}
	return list
}

// crowd returns the mean wait at the servers, as a part of the wait from which
// on work is refused.
func (s *service) crowd(servers []*server, work *Request) float64 {
	limit := hopelessWait * work.Target.Seconds()
	if len(servers) == 0 || limit <= 0 {
		return 0
	}
	sum := 0.0
	for _, m := range servers {
		sum += s.wait(m, work, true)
	}
	return min(sum/float64(len(servers))/limit, 1)
}

// demandOf returns the demand of a group at all routers.
func (s *service) demandOf(now time.Time, of group) GroupDemand {
	if of == apartGroup {
		return s.demand.current(now, of).plus(s.peerApart)
	}
	return s.demand.current(now, of).plus(s.peerMixed)
}

// ranges returns the candidates of the request's own group and those of the
// other. The border is drawn through all members, so that it stays where it is
// when some are no candidates. Without groups all servers are the request's own.
func (s *service) ranges(now time.Time, candidates []*server, of group) (own, other []*server) {
	n := s.demand.divide(len(s.members), s.demandOf(now, apartGroup), s.demandOf(now, mixedGroup))
	at := len(candidates)
	if n < len(s.members) {
		at, _ = slices.BinarySearchFunc(candidates, s.members[n].hash, func(m *server, hash uint64) int {
			return cmp.Compare(m.hash, hash)
		})
	}
	own, other = candidates[:at], candidates[at:]
	if of == mixedGroup {
		own, other = other, own
	}
	return own, other
}

// sample returns n of the servers, drawn at random.
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

// rank orders servers by their rendezvous hash for a session. Without a session
// the order is random.
func rank(session uint64, servers []*server) []*server {
	if session == 0 {
		session = rand.Uint64()
	}
	ranked := slices.Clone(servers)
	slices.SortFunc(ranked, func(a, b *server) int {
		return cmp.Compare(score(session, b.hash), score(session, a.hash))
	})
	return ranked
}
