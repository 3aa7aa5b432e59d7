package placement

import "time"

// ServerState is what a board believes of one server, for the state dump. Reading
// counts the prompt tokens of all routers, Running the own requests and Others
// those of other routers.
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

// ServerStates returns what the board believes of each server that takes work.
func (b *Balancer) ServerStates(now time.Time) []ServerState {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.forgetPeers(now)
	beliefs := make([]ServerState, 0, len(b.servers))
	for _, s := range b.servers {
		s.fade(now)
		beliefs = append(beliefs, ServerState{
			ID: s.ID, Service: s.Service, Zone: s.Zone, Engine: s.Engine,
			Reading: s.backlog(), Running: s.running, Others: s.peers.running,
			Failing: s.failing, Pace: s.pace,
			Hanging: s.hanging(now), Suspended: now.Before(s.suspended),
		})
	}
	return beliefs
}
