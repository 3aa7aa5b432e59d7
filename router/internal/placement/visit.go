package placement

import (
	"slices"
	"time"
)

const (
	// harmWeight is the cost of a second by which a request of the other group
	// is delayed.
	harmWeight = 3

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

// mayVisit reports whether work may go to the engines of the other group. Long
// prompts do so at a rate that all routers share, as each sees what the others
// sent there only later.
func (s *service) mayVisit(now time.Time, work *Request) bool {
	if s.demand.urgent(work) {
		return true
	}
	share := visitPart * float64(s.demand.drawn) / float64(work.routers)
	return s.visits.current(now) < share
}

// visited returns the servers of the other group that are looked at for work:
// some drawn at random and those that keep its session.
func visited(now time.Time, work *Request, other []*server) []*server {
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
func (s *service) visitCost(m *server, work *Request, kept bool) float64 {
	if s.demand.urgent(work) {
		return foreignCost + float64(m.backlog()-m.before(work.Priority))/s.speed*m.slowness()
	}
	queued := float64(m.backlog()+work.unread(kept)) / s.speed * m.slowness()
	bearable := bearablePart * s.demand.strictest.Seconds()
	harm := max(queued-bearable, 0) * float64(m.load()+1)
	taken := float64(m.load()+1) / float64(max(m.Slots, 1))
	harm += max(taken-roomyPart, 0) * s.residence[mixedGroup]
	return visitDelay*work.Target.Seconds() + harmWeight*harm
}

// visit notes work that goes to the other group's servers.
func (s *service) visit(now time.Time, work *Request, m *server, kept bool) {
	if s.demand.urgent(work) || !s.apart(m) {
		return
	}
	read := float64(work.unread(kept)) / s.speed
	s.visits.add(now, max(read, s.residence[mixedGroup]/float64(max(m.Slots, 1))))
}

// apart reports whether a server is kept from long prompts.
func (s *service) apart(m *server) bool {
	if !s.demand.split || s.demand.drawn >= len(s.members) {
		return false
	}
	return m.hash < s.members[s.demand.drawn].hash
}
