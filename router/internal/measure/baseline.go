package measure

import (
	"math/rand/v2"
	"time"

	"snipetally.example/router/internal/backend"
	"snipetally.example/router/internal/class"
	"snipetally.example/router/internal/fleet"
	"snipetally.example/router/internal/schedule"
)

// pickFunc chooses one of the servers that may run a job.
type pickFunc func(b *baselineRouter, servers []*backend.Server) *backend.Server

// baselineRouter implements the simple policies: it sends each request to an
// engine at once or, with a slot limit, holds it in a queue for each tier until
// a server has room.
type baselineRouter struct {
	pick     pickFunc
	snapshot *fleet.Snapshot
	random   *rand.Rand
	running  map[string]int
	reported map[string]int
	turn     int

	// slotLimit is the fraction of a server's slots, but at least one, that
	// this router's own requests may occupy; further ones are held. With zero,
	// none is ever held.
	slotLimit float64
	held      [class.Tiers][]*Job
	serverOf  map[*Job]string
}

// newBaselineRouter returns a router that picks servers with pick.
func newBaselineRouter(pick pickFunc, seed uint64, s *fleet.Snapshot) *baselineRouter {
	return &baselineRouter{
		pick:     pick,
		snapshot: s,
		random:   rand.New(rand.NewPCG(seed, seed)),
		running:  make(map[string]int),
		reported: make(map[string]int),
		serverOf: make(map[*Job]string),
	}
}

// roundRobin picks the servers in turn.
func roundRobin(b *baselineRouter, servers []*backend.Server) *backend.Server {
	b.turn++
	return servers[b.turn%len(servers)]
}

// leastOutstanding picks the server with the fewest requests of this router.
func leastOutstanding(b *baselineRouter, servers []*backend.Server) *backend.Server {
	start := b.random.IntN(len(servers))
	best := servers[start]
	for i := range servers {
		s := servers[(start+i)%len(servers)]
		if b.running[s.Name] < b.running[best.Name] {
			best = s
		}
	}
	return best
}

// twoChoices picks the less loaded of two random servers, by this router's
// requests and the latest load report.
func twoChoices(b *baselineRouter, servers []*backend.Server) *backend.Server {
	one := servers[b.random.IntN(len(servers))]
	two := servers[b.random.IntN(len(servers))]
	load := func(s *backend.Server) int { return b.running[s.Name] + b.reported[s.Name] }
	if load(two) < load(one) {
		return two
	}
	return one
}

// candidates returns the active servers that may run a job.
func (b *baselineRouter) candidates(j *Job) []*backend.Server {
	all := b.snapshot.ByService[j.Request.Service]
	if j.Request.Model != "" {
		all = b.snapshot.ByModel[j.Request.Model]
	}
	var list []*backend.Server
	for _, s := range all {
		own := s.Partner == "" || s.Partner == j.Request.Team.Partner
		if own && s.State == backend.StateActive {
			list = append(list, s)
		}
	}
	return list
}

func (b *baselineRouter) Submit(_ time.Time, j *Job) {
	b.held[j.Class.Tier] = append(b.held[j.Class.Tier], j)
}

func (b *baselineRouter) Decide(now time.Time) []Decision {
	var decisions []Decision
	for tier := range b.held {
		b.held[tier], decisions = b.dispatchHeld(now, b.held[tier], decisions)
	}
	return decisions
}

// dispatchHeld dispatches the held jobs of a tier in order and returns those
// still held.
func (b *baselineRouter) dispatchHeld(now time.Time, held []*Job, decisions []Decision) ([]*Job, []Decision) {
	full := make(map[string]bool)
	left := held[:0]
	for _, j := range held {
		if !now.Before(j.Request.Deadline) {
			decisions = append(decisions, Decision{Job: j, Refused: true})
			continue
		}
		key := j.Request.Model + "/" + j.Request.Service
		if full[key] {
			left = append(left, j)
			continue
		}
		s := b.pick(b, b.candidates(j))
		if b.slotLimit > 0 && float64(b.running[s.Name]+1) > max(1, b.slotLimit*float64(s.Slots)) {
			full[key] = true
			left = append(left, j)
			continue
		}
		b.running[s.Name]++
		b.serverOf[j] = s.Name
		decisions = append(decisions, b.dispatch(j, s))
	}
	return left, decisions
}

// dispatch returns the decision to send a job to a server. With a slot limit,
// the tier is the priority.
func (b *baselineRouter) dispatch(j *Job, s *backend.Server) Decision {
	d := Decision{Job: j, Server: s.Name}
	if b.slotLimit > 0 {
		d.Priority = int(j.Class.Tier)
	}
	return d
}

func (b *baselineRouter) Cancel(time.Time, *Job) {}

func (b *baselineRouter) RecordFirstToken(time.Time, *Job, int) {}

func (b *baselineRouter) RecordTokens(time.Time, *Job, int) {}

func (b *baselineRouter) Finish(_ time.Time, j *Job, _ int, _ bool) {
	if name, ok := b.serverOf[j]; ok {
		b.running[name]--
		delete(b.serverOf, j)
	}
}

func (b *baselineRouter) AllowRetry(*Job) bool { return true }

func (b *baselineRouter) Report(_ time.Time, server string, load schedule.Load) {
	b.reported[server] = load.Running + load.Waiting
}

func (b *baselineRouter) Apply(_ time.Time, s *fleet.Snapshot) { b.snapshot = s }

func (b *baselineRouter) ExchangeDemand(time.Time, []Router) {}

func (b *baselineRouter) Period() time.Duration { return time.Second }

func (b *baselineRouter) NextWake() (time.Time, bool) { return time.Time{}, false }
