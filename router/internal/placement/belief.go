package placement

import "time"

// Belief is what a board believes of one server, for the state dump. Reading
// counts the prompt tokens of all routers, Running the own requests and Others
// those of other routers.
type Belief struct {
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

// Beliefs returns what the board believes of each server that takes work.
func (b *Board) Beliefs(now time.Time) []Belief {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.forgetPeers(now)
	beliefs := make([]Belief, 0, len(b.servers))
	for _, s := range b.servers {
		s.fade(now)
		beliefs = append(beliefs, Belief{
			ID: s.ID, Service: s.Service, Zone: s.Zone, Engine: s.Engine,
			Reading: s.backlog(), Running: s.running, Others: s.peers.running,
			Failing: s.failing, Pace: s.pace,
			Hanging: s.hanging(now), Suspended: now.Before(s.suspended),
		})
	}
	return beliefs
}
