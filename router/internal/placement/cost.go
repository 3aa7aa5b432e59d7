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

	// coldCost is the cost of a server that is slow after its start, in
	// seconds.
	coldCost = 0.01
)

// decodeSeconds returns the server time that the answer takes.
func (s *service) decodeSeconds(m *server, work *Work) float64 {
	if m.Slots == 0 {
		return 0
	}
	return s.residence[s.demand.group(work.Target)] * decodeShare / float64(m.Slots)
}

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
// two ranges, for urgent and for patient requests, as large as the demand of
// the two groups asks for. A session prefers the engines of its range in the
// order of its rendezvous hash, the same at each router; the first one is
// believed to keep the session's prompt.
func (s *service) chooseEngine(now time.Time, work *Work, candidates []*server, zone string) (*server, Choice) {
	urgent := s.demand.group(work.Target) == urgentGroup
	own, other := s.ranges(now, candidates, urgent)
	ranked := rank(work.session(), own)
	choice := Choice{Cost: -1, Next: -1, Speed: s.speed, Urgent: s.demand.drawn}
	var chosen *server
	for i, m := range ranked[:min(len(ranked), choices)] {
		cost := s.engineCost(now, m, work, i == 0) + float64(i)*rankCost
		if m.Zone != zone {
			cost += zoneCost
		}
		choice.consider(&chosen, m, cost, i == 0)
	}
	for _, m := range sample(other, foreignChoices) {
		read := float64(work.unread(false)) / s.speed
		cost := s.engineCost(now, m, work, false) + harmWeight*read*float64(m.load()) + foreignCost
		choice.consider(&chosen, m, cost, false)
	}
	choice.First = time.Duration(s.firstEvent(chosen, work, choice.Home) * float64(time.Second))
	return chosen, choice
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

	// foreignCost keeps requests in the range of their group, in seconds.
	foreignCost = 0.05
)

// ranges returns the candidates of the request's own group and those of the
// other. The border is drawn through all members, so that it stays where it is
// when some are no candidates. Without groups all servers are the request's own.
func (s *service) ranges(now time.Time, candidates []*server, urgent bool) (own, other []*server) {
	n := s.demand.divide(len(s.members),
		s.demand.urgent.current(now)+s.peerUrgent, s.demand.patient.current(now)+s.peerPatient)
	at := len(candidates)
	if n < len(s.members) {
		at, _ = slices.BinarySearchFunc(candidates, s.members[n].hash, func(m *server, hash uint64) int {
			return cmp.Compare(m.hash, hash)
		})
	}
	own, other = candidates[:at], candidates[at:]
	if !urgent {
		own, other = other, own
	}
	return own, other
}

// engineCost returns the cost of a request at an engine.
func (s *service) engineCost(now time.Time, m *server, work *Work, home bool) float64 {
	target := work.Target.Seconds()
	read := float64(work.unread(home)) / s.speed * m.slowness()
	first := s.firstEvent(m, work, home)
	cost := first + (readWeight-1)*read
	if late := first - target; late > 0 {
		cost += lateWeight * late
	}
	cost += s.decodeSeconds(m, work) * float64(m.load()) / float64(max(m.Slots, 1))
	cost += failCost * target * m.unreliable()
	cost += s.trouble(now, m, time.Duration(first*float64(time.Second)))
	return cost
}

// wait returns the expected time until an engine begins a request, in seconds.
func (s *service) wait(m *server, work *Work) float64 {
	return float64(m.backlog())/s.speed*m.slowness() + s.slotWait(m, work)
}

// firstEvent returns the expected time to the first event at an engine, in
// seconds.
func (s *service) firstEvent(m *server, work *Work, home bool) float64 {
	return s.wait(m, work) + float64(work.unread(home))/s.speed*m.slowness()
}

// hopeless reports whether work would wait so long at the server that was
// chosen for it that its caller had better come back, and notes by how much.
// The size of the work does not matter, so that long prompts are not refused
// more often. A server with free places takes all work, and every server takes
// urgent work: engines admit it before the patient one.
func (s *service) hopeless(m *server, work *Work, choice *Choice) bool {
	if _, split := s.demand.border(); split && s.demand.group(work.Target) == urgentGroup {
		return false
	}
	excess := s.wait(m, work) - hopelessWait*work.Target.Seconds()
	choice.Excess = time.Duration(excess * float64(time.Second))
	return m.load() >= m.Slots/2 && excess > 0
}

// slotWait returns how long a request waits for a slot of an engine or for room
// in its memory, in seconds.
func (s *service) slotWait(m *server, work *Work) float64 {
	slots := float64(max(m.Slots, 1))
	ahead := max(float64(m.load()+1)-slots, 0) / slots
	return s.residence[s.demand.group(work.Target)] * max(ahead, crowdWeight*m.crowding(work.needs()))
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
