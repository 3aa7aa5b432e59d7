package placement

import "time"

// Reservation is a request's place on a server. First and Done may be called by any
// goroutine, Done exactly once.
type Reservation struct {
	board   *Balancer
	server  *server
	service *service
	begun   time.Time
	group   group
	rank    int

	// expected is the time to the answer, or to its first event, that was
	// expected.
	expected time.Duration

	// reading is the number of prompt tokens booked. It is zero after First.
	reading int

	// held is the number of tokens booked of the engine's memory, slot the part
	// of its slots.
	held int
	slot float64

	// queued is the number of prompt tokens that were to be read up to the end
	// of this prompt.
	queued  int
	started bool
}

// engineStart is the time to the first event on top of waiting and reading, at
// an engine with a usual load.
const engineStart = 30 * time.Millisecond

// Outcome says how a request ended at a server.
type Outcome uint8

const (
	// Served means that the server answered.
	Served Outcome = iota

	// Failed means that the server failed the request.
	Failed

	// Rejected means that the server had no room.
	Rejected

	// Unreachable means that no connection to the server could be made.
	Unreachable

	// Canceled means that the caller went away or ran out of time; it says
	// nothing of the server.
	Canceled
)

// RecordFirstEvent notes the first event of the answer.
func (t *Reservation) RecordFirstEvent(now time.Time) {
	t.board.mu.Lock()
	defer t.board.mu.Unlock()
	if t.started {
		return
	}
	t.started = true
	t.server.waiting = time.Time{}
	measured := now.Sub(t.begun)
	if !t.server.Engine {
		t.service.answer += time.Duration(plainLearning * float64(measured-t.service.answer))
		t.server.observe(now, measured, t.expected)
		return
	}
	t.server.observe(now, measured, t.expected+engineStart)
	t.learnSpeed(measured)
	t.server.reading.add(t.rank, -t.reading)
	t.reading = 0
}

// RecordStall notes that nothing came for longer than a server that is well takes.
func (t *Reservation) RecordStall(now time.Time) {
	t.board.mu.Lock()
	defer t.board.mu.Unlock()
	t.server.failed(now, true)
}

// learnSpeed learns from the time of the reading. The caller holds the board's
// mutex.
func (t *Reservation) learnSpeed(measured time.Duration) {
	if t.queued < speedSample || measured <= decodeStep {
		return
	}
	sample := float64(t.queued) / (measured - decodeStep/2).Seconds()
	weight := speedFall
	if sample > t.service.speed {
		weight = speedRise
	}
	t.service.samples++
	t.service.speed += weight * (min(sample, maxSpeedup*t.service.speed) - t.service.speed)
}

// Done gives the place back.
func (t *Reservation) Done(now time.Time, end Outcome) {
	t.board.mu.Lock()
	defer t.board.mu.Unlock()
	s := t.server
	s.running--
	if s.Engine {
		t.service.demand.holding[t.group] -= t.slot
	}
	s.held -= t.held
	s.reading.add(t.rank, -t.reading)
	t.reading = 0
	if s.running == 0 || end != Canceled {
		s.waiting = time.Time{}
	}
	switch end {
	case Served:
		s.failed(now, false)
		if s.Engine {
			usual := &t.service.residence[t.group]
			*usual += residenceLearning * (now.Sub(t.begun).Seconds() - *usual)
		}
	case Failed, Rejected:
		s.failed(now, true)
	case Unreachable:
		s.failed(now, true)
		s.suspended = now.Add(suspension)
	case Canceled:
	}
}

// ExpectedLatency returns the time to the answer, or to its first event, that was
// expected when the server was chosen.
func (t *Reservation) ExpectedLatency() time.Duration { return t.expected }
