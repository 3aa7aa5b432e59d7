package placement

import "time"

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

const (
	// hopelessWait is the part of its target that a request may wait at a busy
	// server. The rest is left for reading the prompt; with longer waits all
	// requests of a rush would be late.
	hopelessWait = 0.7

	// crowdWeight is the cost of waiting for an engine's memory, relative to
	// waiting for a slot: requests are preempted there and read again.
	crowdWeight = 4
)

// engineCost returns the cost of a request at an engine.
func (s *service) engineCost(now time.Time, m *server, work *Request, kept bool) float64 {
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
func (s *service) wait(m *server, work *Request, kept bool) float64 {
	return float64(m.before(work.Priority))/s.speed*m.slowness() + s.slotWait(m, work, kept)
}

// firstEvent returns the expected time to the first event at an engine, in
// seconds.
func (s *service) firstEvent(m *server, work *Request, kept bool) float64 {
	return s.wait(m, work, kept) + float64(work.unread(kept))/s.speed*m.slowness()
}

// hopeless reports whether work would wait so long at the server that was
// chosen for it that its caller had better come back, and notes by how much.
// The size of the work does not matter, so that long prompts are not refused
// more often, but what is read again does: it takes the place of others. A
// server with free places takes all work, and every server takes urgent work.
func (s *service) hopeless(m *server, work *Request, choice *Choice) bool {
	if s.demand.urgent(work) {
		return false
	}
	limit := hopelessWait * work.Target.Seconds() * work.economy(choice.Cached)
	excess := s.wait(m, work, choice.Cached) - limit
	choice.ExcessWait = time.Duration(excess * float64(time.Second))
	return m.load() >= m.Slots/2 && excess > 0
}

// slotWait returns how long a request waits for a slot of an engine or for room
// in its memory, in seconds.
func (s *service) slotWait(m *server, work *Request, kept bool) float64 {
	slots := float64(max(m.Slots, 1))
	ahead := m.ahead(work.Priority) / slots
	return s.residence[s.demand.group(work)] * max(ahead, crowdWeight*m.crowding(work.needs(kept)))
}
