package placement

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// decodeStep is the time of one step of an idle engine, for the first
	// event of an answer and as the time of a token.
	decodeStep = 5 * time.Millisecond

	// readWeight is the cost of a second of reading. It takes the time of an
	// engine from all requests there, and a wait only that of its own.
	readWeight = 16

	// crowdedReading is by which part the cost of reading grows while the
	// servers of the group have as much work as they take: who reads again then
	// takes the place of another request.
	crowdedReading = 4

	// lateWeight is the cost of a second beyond the target, on top of the
	// wait itself.
	lateWeight = 1

	// harmWeight is the cost of a second by which a request of the other group
	// is delayed.
	harmWeight = 3

	// rankCost keeps requests at the servers that their session prefers, in
	// seconds for each rank.
	rankCost = 0.02

	// zoneCost is the cost of leaving the availability zone, in seconds.
	zoneCost = 0.0005

	// failCost is the cost of a failed request in seconds, as a multiple of
	// the expected time of an answer at a plain server and of the target at
	// an engine.
	failCost = 6

	// hangFactor is how many times the expected time may pass without an
	// answer before a server counts as hanging; hangFloor is the least such
	// time.
	hangFactor = 4
	hangFloor  = 300 * time.Millisecond

	// loadWeight is the cost of a full batch, as a part of the time that a
	// request stays at an engine. Each token takes a little longer there.
	loadWeight = 0.02

	// coldCost is the cost of a server that is slow after its start, in
	// seconds.
	coldCost = 0.01
)

// plainCost returns the cost of an answer by a plain server.
func (s *service) plainCost(now time.Time, m *server, zone string) float64 {
	usual := s.answer.Seconds()
	cost := usual * m.pace
	slots := max(m.Slots, 1)
	cost += usual * m.pace * float64(m.load()) / float64(slots)
	if m.load() >= slots {
		cost += usual * float64(m.load()-slots+1)
	}
	cost += failCost * usual * m.unreliable()
	cost += s.trouble(now, m, s.answer)
	if m.Zone != zone {
		cost += zoneCost
	}
	return cost
}

// trouble returns the cost of signs that a server is not well.
func (s *service) trouble(now time.Time, m *server, expected time.Duration) float64 {
	cost := 0.0
	if hanging := m.hanging(now); hanging > max(hangFactor*expected, hangFloor) {
		cost += hanging.Seconds()
	}
	if now.Before(m.coldUntil) {
		cost += coldCost
	}
	return cost
}

// chooseEngine returns the engine with the least cost. The engines are cut into
// two ranges, for the two groups of requests, as large as the demand of the
// groups asks for. A session prefers the engines of its range in the order of
// its rendezvous hash, and those that keep it.
func (s *service) chooseEngine(now time.Time, work *Work, candidates []*server, zone string) (*server, Choice) {
	own, other := s.ranges(now, candidates, s.demand.group(work))
	work.crowd = s.crowd(own, work)
	choice := Choice{Cost: -1, Next: -1, Speed: s.speed, Apart: s.demand.drawn}
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
	choice.First = time.Duration(s.firstEvent(chosen, work, choice.Kept) * float64(time.Second))
	return chosen, choice
}

// mayVisit reports whether work may go to the engines of the other group. Long
// prompts do so at a rate that all routers share, as each sees what the others
// sent there only later.
func (s *service) mayVisit(now time.Time, work *Work) bool {
	if s.demand.urgent(work) {
		return true
	}
	share := visitPart * float64(s.demand.drawn) / float64(work.routers)
	return s.visits.current(now) < share
}

// visited returns the servers of the other group that are looked at for work:
// some drawn at random and those that keep its session.
func visited(now time.Time, work *Work, other []*server) []*server {
	list := sample(other, foreignChoices)
	for _, m := range other {
		if len(work.keepers) > 0 && work.keptBy(now, m) && !slices.Contains(list, m) {
			list = append(list, m)
		}
	}
	return list
}

// visitCost returns the cost of work at an engine of the other group, beside
// its usual cost. An urgent request waits for all prompts there, as engines
// don't interrupt the one that they read, and answers pause meanwhile. A long
// prompt does harm by what it delays the urgent ones beyond what they can bear.
func (s *service) visitCost(m *server, work *Work, kept bool) float64 {
	if s.demand.urgent(work) {
		return foreignCost + float64(m.backlog()-m.before(work.Rank))/s.speed*m.slowness()
	}
	queued := float64(m.backlog()+work.unread(kept)) / s.speed * m.slowness()
	bearable := bearablePart * s.demand.strictest.Seconds()
	harm := max(queued-bearable, 0) * float64(m.load()+1)
	taken := float64(m.load()+1) / float64(max(m.Slots, 1))
	harm += max(taken-roomyPart, 0) * s.residence[mixedGroup]
	return visitDelay*work.Target.Seconds() + harmWeight*harm
}

// shortlist returns the servers of a group that are looked at for the work: the
// first ones of its session's rendezvous hash, the same at each router, and
// those that are believed to keep the session.
func shortlist(now time.Time, work *Work, own []*server) []*server {
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
func (s *service) crowd(servers []*server, work *Work) float64 {
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

const (
	// hopelessWait is the part of its target that a request may wait at a busy
	// server. The rest is left for reading the prompt; with longer waits all
	// requests of a rush would be late.
	hopelessWait = 0.7

	// crowdWeight is the cost of waiting for an engine's memory, relative to
	// waiting for a slot: requests are preempted there and read again.
	crowdWeight = 4

	// choices is the number of servers of its group that a session may go to.
	// Routers know each other's work late; if all of them looked at all
	// servers, they would flock to the same one.
	choices = 4

	// foreignChoices is the number of servers of the other group that are
	// looked at, drawn at random.
	foreignChoices = 2

	// visitPart is the part of their time that the engines of the group apart
	// give to long prompts, bearablePart the part of the shortest target by
	// which those may delay others, roomyPart the part of the slots up to which
	// they are welcome.
	visitPart    = 0.3
	bearablePart = 0.5
	roomyPart    = 0.6

	// visitDelay is the part of its target that a long prompt waits rather than
	// visit the group apart.
	visitDelay = 0.25

	// foreignCost keeps requests in the range of their group, in seconds.
	foreignCost = 0.05
)

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

// engineCost returns the cost of a request at an engine.
func (s *service) engineCost(now time.Time, m *server, work *Work, kept bool) float64 {
	target := work.Target.Seconds()
	read := float64(work.unread(kept)) / s.speed * m.slowness()
	first := s.firstEvent(m, work, kept)
	cost := first + (readWeight*(1+crowdedReading*work.crowd)-1)*read
	if late := first - target; late > 0 {
		cost += lateWeight * late
	}
	cost += s.residence[s.demand.group(work)] * loadWeight * float64(m.load()) / float64(max(m.Slots, 1))
	cost += failCost * target * m.unreliable()
	cost += s.trouble(now, m, time.Duration(first*float64(time.Second)))
	return cost
}

// wait returns the expected time until an engine begins a request, in seconds.
func (s *service) wait(m *server, work *Work, kept bool) float64 {
	return float64(m.before(work.Rank))/s.speed*m.slowness() + s.slotWait(m, work, kept)
}

// firstEvent returns the expected time to the first event at an engine, in
// seconds.
func (s *service) firstEvent(m *server, work *Work, kept bool) float64 {
	return s.wait(m, work, kept) + float64(work.unread(kept))/s.speed*m.slowness()
}

// hopeless reports whether work would wait so long at the server that was
// chosen for it that its caller had better come back, and notes by how much.
// The size of the work does not matter, so that long prompts are not refused
// more often, but what is read again does: it takes the place of others. A server with free places takes all work, and every server takes
// urgent work.
func (s *service) hopeless(m *server, work *Work, choice *Choice) bool {
	if s.demand.urgent(work) {
		return false
	}
	limit := hopelessWait * work.Target.Seconds() * work.economy(choice.Kept)
	excess := s.wait(m, work, choice.Kept) - limit
	choice.Excess = time.Duration(excess * float64(time.Second))
	return m.load() >= m.Slots/2 && excess > 0
}

// slotWait returns how long a request waits for a slot of an engine or for room
// in its memory, in seconds.
func (s *service) slotWait(m *server, work *Work, kept bool) float64 {
	slots := float64(max(m.Slots, 1))
	ahead := m.ahead(work.Rank) / slots
	return s.residence[s.demand.group(work)] * max(ahead, crowdWeight*m.crowding(work.needs(kept)))
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
