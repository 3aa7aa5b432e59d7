package placement

import "time"

const (
	// plainZoneCost is the cost of a plain server in another availability zone, in
	// seconds.
	plainZoneCost = 0.0005

	// plainFailureCost is the cost of a failed request at a plain server, as a
	// multiple of the expected latency.
	plainFailureCost = 6
)

// choosePlain returns the plain server with the least cost, and a random one
// among equals.
func (s *service) choosePlain(now time.Time, req *Request, candidates []*server, zone string) (*server, Choice) {
	choice := Choice{Cost: -1, NextCost: -1}
	var chosen *server
	start := int(req.Draw % uint64(len(candidates)))
	for i := range candidates {
		m := candidates[(start+i)%len(candidates)]
		choice.consider(&chosen, m, s.plainCost(now, m, zone), false)
	}
	return chosen, choice
}

// plainCost returns the cost of a request at a plain server, in seconds.
func (s *service) plainCost(now time.Time, m *server, zone string) float64 {
	usual := s.plainLatency.Seconds()
	cost := usual * m.latencyRatio
	slots := max(m.Slots, 1)
	cost += usual * m.latencyRatio * float64(m.load()) / float64(slots)
	if m.load() >= slots {
		cost += usual * float64(m.load()-slots+1)
	}
	cost += plainFailureCost * usual * m.excessFailureRate()
	cost += s.healthCost(now, m, s.plainLatency)
	if m.Zone != zone {
		cost += plainZoneCost
	}
	return cost
}
