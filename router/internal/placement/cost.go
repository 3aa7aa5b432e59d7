package placement

import "time"

const (
	// decodeStepTime is the time of one decode step of an idle engine. It is
	// part of the time to the first event.
	decodeStepTime = 5 * time.Millisecond

	// prefillWeight is the cost of a second of prefill, relative to a second of
	// waiting. Prefill takes engine time from all requests there, while a wait
	// only delays the request itself.
	prefillWeight = 16

	// congestionFactor is by how much the cost of prefill grows, relative to
	// its base, when the servers of the group are at their limit: repeating a
	// prefill then takes the place of another request.
	congestionFactor = 4

	// latenessWeight is the cost of a second beyond the target, on top of the
	// wait itself.
	latenessWeight = 1

	// hashRankCost keeps requests at the servers that their session's hash
	// prefers. It is in seconds for each rank.
	hashRankCost = 0.02

	// crossZoneCost is the cost of leaving the availability zone, in seconds.
	crossZoneCost = 0.0005

	// failureCost is the cost of a failed request, as a multiple of the
	// expected latency at a plain server and of the target at an engine.
	failureCost = 6

	// unresponsiveFactor is the multiple of the expected time that may pass
	// without an answer before a server counts as unresponsive; minUnresponsive
	// is the lower bound of that time.
	unresponsiveFactor = 4
	minUnresponsive    = 300 * time.Millisecond

	// loadWeight is the cost of a full batch, as a fraction of the time that a
	// request spends at an engine. Each token takes a little longer in a larger
	// batch.
	loadWeight = 0.02

	// warmupCost is the cost of a server that is still slow after its start, in
	// seconds.
	warmupCost = 0.01
)

// plainCost returns the cost of a request at a plain server, in seconds.
func (s *service) plainCost(now time.Time, m *server, zone string) float64 {
	usual := s.plainLatency.Seconds()
	cost := usual * m.latencyRatio
	slots := max(m.Slots, 1)
	cost += usual * m.latencyRatio * float64(m.load()) / float64(slots)
	if m.load() >= slots {
		cost += usual * float64(m.load()-slots+1)
	}
	cost += failureCost * usual * m.excessFailureRate()
	cost += s.healthCost(now, m, s.plainLatency)
	if m.Zone != zone {
		cost += crossZoneCost
	}
	return cost
}

// healthCost returns the cost of a server's health problems, in seconds.
func (s *service) healthCost(now time.Time, m *server, expected time.Duration) float64 {
	cost := 0.0
	if unanswered := m.unansweredFor(now); unanswered > max(unresponsiveFactor*expected, minUnresponsive) {
		cost += unanswered.Seconds()
	}
	if now.Before(m.warmingUntil) {
		cost += warmupCost
	}
	return cost
}

const (
	// maxWaitShare is the fraction of its target that a request may wait at a
	// busy server. The rest is left for the prefill; with longer waits all
	// requests would be late under overload.
	maxWaitShare = 0.7

	// memoryWaitWeight is the cost of waiting for an engine's memory, relative
	// to waiting for a slot: requests are preempted there and their prompts
	// processed again.
	memoryWaitWeight = 4
)

// engineCost returns the cost of a request at an engine, in seconds.
func (s *service) engineCost(now time.Time, m *server, req *Request, cached bool) float64 {
	target := req.Target.Seconds()
	prefillTime := float64(req.prefillTokens(cached)) / s.prefillSpeed * m.slowdown()
	first := s.firstEventTime(m, req, cached)
	cost := first + (prefillWeight*(1+congestionFactor*req.congestion)-1)*prefillTime
	if late := first - target; late > 0 {
		cost += latenessWeight * late
	}
	cost += s.residence[s.demand.group(req)] * loadWeight * float64(m.load()) / float64(max(m.Slots, 1))
	cost += failureCost * target * m.excessFailureRate()
	cost += s.healthCost(now, m, time.Duration(first*float64(time.Second)))
	return cost
}

// wait returns the expected time until an engine starts a request, in seconds.
func (s *service) wait(m *server, req *Request, cached bool) float64 {
	return float64(m.queuedTokensBefore(req.Priority))/s.prefillSpeed*m.slowdown() + s.admissionWait(m, req, cached)
}

// firstEventTime returns the expected time to the first event at an engine, in
// seconds.
func (s *service) firstEventTime(m *server, req *Request, cached bool) float64 {
	return s.wait(m, req, cached) + float64(req.prefillTokens(cached))/s.prefillSpeed*m.slowdown()
}

// shouldRefuse reports whether a request would wait so long at its chosen
// server that the caller should retry later, and sets choice.ExcessWait. The
// request's own prefill does not count, so that long prompts are not refused
// more often, but repeated prefill does, as it takes the place of other
// requests. A server with less than half of its slots taken accepts all
// requests, and every server accepts urgent ones.
func (s *service) shouldRefuse(m *server, req *Request, choice *Choice) bool {
	if s.demand.urgent(req) {
		return false
	}
	limit := maxWaitShare * req.Target.Seconds() * req.unavoidableShare(choice.Cached)
	excess := s.wait(m, req, choice.Cached) - limit
	choice.ExcessWait = time.Duration(excess * float64(time.Second))
	return m.load() >= m.Slots/2 && excess > 0
}

// admissionWait returns how long a request waits for a slot of an engine or for
// space in its memory, in seconds.
func (s *service) admissionWait(m *server, req *Request, cached bool) float64 {
	slots := float64(max(m.Slots, 1))
	ahead := m.requestsAhead(req.Priority) / slots
	return s.residence[s.demand.group(req)] * max(ahead, memoryWaitWeight*m.memoryExcess(req.cacheTokens(cached)))
}
