package placement

import "time"

// Reservation is a request's share of a server's capacity. Its methods are safe
// for concurrent use; Done must be called exactly once.
type Reservation struct {
	balancer  *Balancer
	server    *server
	service   *service
	startedAt time.Time
	class     *classProfile
	priority  int

	// engine says that the capacity was reserved at an engine. The server may
	// count as plain by the time that it is released, and the other way round.
	engine bool

	// gap is the pause between events that the request tolerates.
	gap time.Duration

	// expectedLatency is the time to the answer, or to its first event, that
	// was expected when the server was chosen.
	expectedLatency time.Duration

	// prefillTokens is the number of reserved prompt tokens. It is zero after
	// RecordFirstEvent.
	prefillTokens int

	// reservedTokens is the number of tokens reserved of the engine's memory;
	// slotShare is one slot as a fraction of the engine's slots.
	reservedTokens int
	slotShare      float64

	// queuedTokens is the number of prompt tokens that the engine had to
	// process up to the end of this prompt when the server was chosen.
	queuedTokens   int
	firstEventSeen bool

	// use is the use of the request's session, or zero, and cached says that the server
	// was expected to have the session cached.
	use    SessionUse
	cached bool

	// ended is called once the reservation is released. It may be nil.
	ended func()
}

// engineOverhead is the time to the first event on top of waiting and prefill,
// at an engine with a usual load.
const engineOverhead = 30 * time.Millisecond

// Outcome is how a request ended at a server.
type Outcome uint8

const (
	// Served means that the server answered.
	Served Outcome = iota

	// Failed means that the server failed the request.
	Failed

	// Rejected means that the server had no capacity for the request.
	Rejected

	// Unreachable means that no connection to the server could be made.
	Unreachable

	// Canceled means that the caller went away or ran out of time; it does not
	// count for or against the server.
	Canceled
)

// ReserveLeaving returns a reservation for a request that goes back to a server
// that takes no others. It affects no choice.
func (b *Balancer) ReserveLeaving(now time.Time, req Request, leaving Server) *Reservation {
	b.mu.Lock()
	defer b.mu.Unlock()
	leaving.Engine = false // Nothing of its capacity is taken into account.
	return b.reserve(now, &req, b.service(req.Service), newServer(leaving, now), false)
}

// RecordFirstEvent records the first event of the answer. Later calls have no
// effect.
func (r *Reservation) RecordFirstEvent(now time.Time) {
	if r.recordFirstEvent(now) {
		r.notifyLoadChange()
	}
}

// recordFirstEvent does the work of RecordFirstEvent except for the
// notification. It reports whether this was the first event.
func (r *Reservation) recordFirstEvent(now time.Time) bool {
	r.balancer.mu.Lock()
	defer r.balancer.mu.Unlock()
	if r.firstEventSeen {
		return false
	}
	r.firstEventSeen = true
	r.server.unansweredSince = time.Time{}
	measured := now.Sub(r.startedAt)
	if !r.engine {
		r.service.plainLatency += time.Duration(plainLatencyWeight * float64(measured-r.service.plainLatency))
		r.server.observeLatency(now, measured, r.expectedLatency)
		return true
	}
	r.server.observeLatency(now, measured, r.expectedLatency+engineOverhead)
	r.learnSpeed(measured)
	r.server.queued.add(r.priority, -r.prefillTokens)
	r.prefillTokens = 0
	return true
}

// RecordStall records that nothing arrived for longer than a healthy server
// takes. It counts as a failure of the server.
func (r *Reservation) RecordStall(now time.Time) {
	r.balancer.mu.Lock()
	defer r.balancer.mu.Unlock()
	r.server.observeOutcome(now, true)
}

// learnSpeed updates the service's prefill speed from a measured time to the
// first event. The caller holds the balancer's mutex.
func (r *Reservation) learnSpeed(measured time.Duration) {
	if r.queuedTokens < minSpeedSampleTokens || measured <= decodeStepTime {
		return
	}
	sample := float64(r.queuedTokens) / (measured - decodeStepTime/2).Seconds()
	weight := slowerSampleWeight
	if sample > r.service.prefillSpeed {
		weight = fasterSampleWeight
	}
	r.service.speedSamples++
	r.service.prefillSpeed += weight * (min(sample, maxSampleRatio*r.service.prefillSpeed) - r.service.prefillSpeed)
}

// OnEnd sets a function that is called without locks held after the reservation is released, by
// Done or Withdraw. It must be set before that.
func (r *Reservation) OnEnd(ended func()) { r.ended = ended }

// Done releases the reservation and records the outcome.
func (r *Reservation) Done(now time.Time, outcome Outcome) {
	r.release(now, outcome)
	r.notifyEnd()
}

// notifyEnd tells others that the reservation is released.
func (r *Reservation) notifyEnd() {
	r.notifyLoadChange()
	if r.ended != nil {
		r.ended()
	}
}

// release does the work of Done except for the notification.
func (r *Reservation) release(now time.Time, outcome Outcome) {
	r.balancer.mu.Lock()
	defer r.balancer.mu.Unlock()
	s := r.server
	s.running--
	if r.engine {
		r.class.slots -= r.slotShare
		r.class.running--
		s.streams.add(r.gap, -1)
	}
	s.reservedTokens -= r.reservedTokens
	s.queued.add(r.priority, -r.prefillTokens)
	r.prefillTokens = 0
	if s.running == 0 || outcome != Canceled {
		s.unansweredSince = time.Time{}
	}
	switch outcome {
	case Served:
		s.observeOutcome(now, false)
		if r.engine {
			usual := &r.service.residence[r.service.demand.groupOf(r.class.mean)]
			*usual += residenceWeight * (now.Sub(r.startedAt).Seconds() - *usual)
		}
	case Failed, Rejected:
		s.observeOutcome(now, true)
	case Unreachable:
		s.observeOutcome(now, true)
		s.suspendedUntil = now.Add(suspensionTime)
	case Canceled:
	}
}

// Suspend keeps requests from a server until a time, as long as there are others.
func (b *Balancer) Suspend(id string, until time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if s, ok := b.servers[id]; ok && until.After(s.suspendedUntil) {
		s.suspendedUntil = until
	}
}

// QueuedTokens returns the number of prompt tokens that are estimated to be
// queued at the server now.
func (r *Reservation) QueuedTokens() int {
	r.balancer.mu.Lock()
	defer r.balancer.mu.Unlock()
	return r.server.queuedTokens()
}

// ExpectedLatency returns the time to the answer, or to its first event, that
// was expected when the server was chosen.
func (r *Reservation) ExpectedLatency() time.Duration { return r.expectedLatency }
