package placement

import (
	"math"
	"time"
)

const (
	// decodeStepTime is the time of one decode step of an idle engine. It is
	// part of the time to the first event.
	decodeStepTime = 5 * time.Millisecond

	// repeatWeight is the cost of the mean prefill at an idle engine, in
	// requests. congestionWeight is by how much it grows when the servers of the
	// group are at their limit: a prefill then takes the place of another
	// request.
	repeatWeight     = 1
	congestionWeight = 8

	// waitWeight is the cost of waiting for as long as the target, in requests.
	// It makes the lighter loaded engine win when both are in time.
	waitWeight = 1

	// riskyTargetShare is the fraction of the target at which an expected first
	// event is as likely late as in time, and riskWidth the fraction of the
	// target over which the probability rises. Expectations are not exact, as
	// other routers place requests meanwhile.
	riskyTargetShare = 0.9
	riskWidth        = 0.15

	// hashRankCost keeps requests at the engines that their session's hash
	// prefers. It is in requests for each rank.
	hashRankCost = 0.02

	// engineZoneCost is the cost of an engine in another availability zone, in
	// requests.
	engineZoneCost = 0.001

	// engineFailureCost is the cost of a failed request at an engine, in
	// requests: it also takes the time of another attempt.
	engineFailureCost = 3

	// unresponsiveFactor is the multiple of the expected time that may pass
	// without an answer before a server counts as unresponsive; minUnresponsive
	// is the lower bound of that time.
	unresponsiveFactor = 4
	minUnresponsive    = 300 * time.Millisecond

	// loadWeight is the cost of a full batch, in requests. Each token takes a
	// little longer in a larger batch.
	loadWeight = 0.05

	// memoryWaitWeight is the cost of waiting for an engine's memory, relative
	// to waiting for a slot: requests are preempted there and their prompts
	// processed again.
	memoryWaitWeight = 4

	// warmupCost is the cost of a server that is still slow after its start, in
	// seconds.
	warmupCost = 0.01
)

// engineCost returns the cost of a request at an engine: the expected number of
// requests that miss their objectives because it is placed there, with a little
// more for what may delay later ones.
func (s *service) engineCost(now time.Time, m *server, req *Request, cached bool) float64 {
	target := max(req.Target, time.Millisecond).Seconds()
	prefillTime := float64(req.prefillTokens(cached)) / s.prefillSpeed
	first := s.firstEventTime(m, req, cached)
	cost := lateProbability(first/target) + waitWeight*first/target
	cost += (repeatWeight + congestionWeight*req.congestion) * prefillTime / s.meanPrefill[s.demand.group(req)]
	cost += s.pausesCaused(m, prefillTime*m.slowdown())
	cost += loadWeight * float64(m.load()) / float64(max(m.Slots, 1))
	cost += engineFailureCost * m.excessFailureRate()
	cost += s.healthCost(now, m, time.Duration(first*float64(time.Second))) / target
	return cost
}

// lateProbability returns the probability that the first event is late if it is
// expected after the given fraction of the target.
func lateProbability(share float64) float64 {
	return 1 / (1 + math.Exp((riskyTargetShare-share)/riskWidth))
}

// wait returns the expected time until an engine starts a request, in seconds.
func (s *service) wait(m *server, req *Request, cached bool) float64 {
	return float64(m.queuedTokensBefore(req.Priority))/s.prefillSpeed*m.slowdown() + s.admissionWait(m, req, cached)
}

// firstEventTime returns the expected time to the first event at an engine, in
// seconds. An event holds several tokens, so that the prompts of all priorities
// delay it.
func (s *service) firstEventTime(m *server, req *Request, cached bool) float64 {
	tokens := m.queuedTokens() + req.prefillTokens(cached)
	return (float64(tokens)/s.prefillSpeed+engineOverhead.Seconds())*m.slowdown() + s.admissionWait(m, req, cached)
}

// admissionWait returns how long a request waits for a slot of an engine or for
// space in its memory, in seconds.
func (s *service) admissionWait(m *server, req *Request, cached bool) float64 {
	slots := float64(max(m.Slots, 1))
	ahead := m.requestsAhead(req.Priority) / slots
	return s.residence[s.demand.group(req)] * max(ahead, memoryWaitWeight*m.memoryExcess(m.boundTokens(req.cacheTokens(cached))))
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
