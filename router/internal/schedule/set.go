package schedule

import "time"

// serverSet holds the servers of one owner that run one model or service.
type serverSet struct {
	target  string
	service bool
	owner   string
	servers []*server

	// open holds the servers on which this router has a free slot.
	open []*server

	// ownSlots is the number of slots that belong to this router, running
	// counts its requests, and borrowed those of other partners among them.
	ownSlots int
	running  int
	borrowed int

	// unusableExcess counts the requests beyond the own slots on servers that
	// receive no new requests.
	unusableExcess int

	// demand is the owner's demand over all routers as a fraction of the slots.
	demand float64

	// reserveDemand is the moving average of the slots in use by the tiers for
	// which the reserve is kept. It rises at once and falls slowly.
	reserveDemand float64

	// tightestTarget is the shortest target for the time between tokens, in
	// seconds, among the classes that ran here recently, and tightestAt the
	// time when that class ran.
	tightestTarget float64
	tightestAt     time.Time

	// tokenLatency is the usual time between two tokens, and startDelay and
	// deviation the usual time to the first token less the prefill time, and its
	// mean absolute deviation, all in seconds.
	tokenLatency float64
	startDelay   float64
	deviation    float64
}

// newServerSet returns a set without servers.
func newServerSet(target, owner string, service bool) *serverSet {
	s := &serverSet{target: target, owner: owner, service: service, tokenLatency: nominalTokenLatency.Seconds()}
	s.startDelay = 0.02
	s.deviation = 0.02
	return s
}

// add adds a server to the set.
func (s *serverSet) add(added *server) {
	s.servers = append(s.servers, added)
	added.sets = append(added.sets, s)
	added.openPositions = append(added.openPositions, -1)
}

// free returns the number of own slots without a request.
func (s *serverSet) free() int {
	return s.ownSlots - s.running + s.unusableExcess
}

// recordTarget records that a request with the given target for the time
// between tokens ran here. Zero means no target.
func (s *serverSet) recordTarget(now time.Time, between time.Duration) {
	const maxAge = 10 * time.Second
	if between <= 0 {
		return
	}
	if s.tightestTarget == 0 || between.Seconds() <= s.tightestTarget || now.Sub(s.tightestAt) > maxAge {
		s.tightestTarget = between.Seconds()
		s.tightestAt = now
	}
}

// rate estimates the throughput of the own slots in cost units per second. cost
// is that of one request.
func (s *serverSet) rate(cost float64) float64 {
	own := float64(max(s.ownSlots, 1))
	if s.service {
		return own * cost / serviceTime.Seconds()
	}
	return own / s.tokenLatency
}

// removeOpen removes the server at a position from the open list.
func (s *serverSet) removeOpen(position int) {
	last := len(s.open) - 1
	moved := s.open[last]
	s.open[position] = moved
	s.open[last] = nil
	s.open = s.open[:last]
	for i, set := range moved.sets {
		if set == s {
			moved.openPositions[i] = position
		}
	}
}
