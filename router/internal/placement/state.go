package placement

import "time"

// ServerState is a balancer's estimate of one server, for the state dump.
// Reading counts the queued prompt tokens of all routers, Running this router's
// requests in progress and Others those of other routers. Failing is the
// smoothed share of failed requests, Pace the smoothed ratio of the measured to
// the expected latency, and Hanging the time for which the server has answered
// none of its requests.
type ServerState struct {
	ID        string
	Service   string
	Zone      string
	Engine    bool
	Reading   int
	Running   int
	Others    int
	Failing   float64
	Pace      float64
	Hanging   time.Duration
	Suspended bool
}

// ServerStates returns the balancer's estimate of each server that takes
// requests.
func (b *Balancer) ServerStates(now time.Time) []ServerState {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.expirePeers(now)
	states := make([]ServerState, 0, len(b.servers))
	for _, s := range b.servers {
		s.decay(now)
		s.updatePeers(now)
		states = append(states, ServerState{
			ID: s.ID, Service: s.Service, Zone: s.Zone, Engine: s.Engine,
			Reading: s.queuedTokens(), Running: s.running, Others: s.peers.running,
			Failing: s.failureRate, Pace: s.latencyRatio,
			Hanging: s.unansweredFor(now), Suspended: now.Before(s.suspendedUntil),
		})
	}
	return states
}
