package measure

import (
	"math/rand/v2"
	"time"

	"snipetally.example/router/internal/backend"
	"snipetally.example/router/internal/class"
	"snipetally.example/router/internal/fleet"
	"snipetally.example/router/internal/schedule"
)

// pick chooses a server for a job among those that may run it.
type pick func(b *baseline, servers []*backend.Server) *backend.Server

// baseline is a simple policy: it sends each request to an engine at once, or
// holds it by tier until a server has room.
type baseline struct {
	pick     pick
	snapshot *fleet.Snapshot
	random   *rand.Rand
	running  map[string]int
	reported map[string]int
	next     int

	// cap is the number of own requests on a server beyond which requests are
	// held, or zero if none is ever held.
	cap   float64
	held  [class.Tiers][]*Job
	where map[*Job]string
}

// newBaseline returns a baseline.
func newBaseline(p pick, seed uint64, s *fleet.Snapshot) *baseline {
	return &baseline{
		pick:     p,
		snapshot: s,
		random:   rand.New(rand.NewPCG(seed, seed)),
		running:  make(map[string]int),
		reported: make(map[string]int),
		where:    make(map[*Job]string),
	}
}

// roundRobin takes the servers in turn.
func roundRobin(b *baseline, servers []*backend.Server) *backend.Server {
	b.next++
	return servers[b.next%len(servers)]
}

// leastOutstanding takes the server with the fewest own requests.
func leastOutstanding(b *baseline, servers []*backend.Server) *backend.Server {
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

// twoChoices takes the less loaded of two random servers by own requests and
// the last report.
func twoChoices(b *baseline, servers []*backend.Server) *backend.Server {
	one := servers[b.random.IntN(len(servers))]
	two := servers[b.random.IntN(len(servers))]
	load := func(s *backend.Server) int { return b.running[s.Name] + b.reported[s.Name] }
	if load(two) < load(one) {
		return two
	}
	return one
}

// servers returns the servers that may run a job.
func (b *baseline) servers(j *Job) []*backend.Server {
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

func (b *baseline) Submit(_ time.Time, j *Job) {
	b.held[j.Class.Tier] = append(b.held[j.Class.Tier], j)
}

func (b *baseline) Decide(now time.Time) []Decision {
	var decisions []Decision
	for tier := range b.held {
		b.held[tier], decisions = b.drain(now, b.held[tier], decisions)
	}
	return decisions
}

// drain dispatches held jobs of a tier in order and returns those still held.
func (b *baseline) drain(now time.Time, held []*Job, decisions []Decision) ([]*Job, []Decision) {
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
		s := b.pick(b, b.servers(j))
		if b.cap > 0 && float64(b.running[s.Name]+1) > max(1, b.cap*float64(s.Slots)) {
			full[key] = true
			left = append(left, j)
			continue
		}
		b.running[s.Name]++
		b.where[j] = s.Name
		decisions = append(decisions, b.decision(j, s))
	}
	return left, decisions
}

// decision returns the dispatch of a job.
func (b *baseline) decision(j *Job, s *backend.Server) Decision {
	d := Decision{Job: j, Server: s.Name}
	if b.cap > 0 {
		d.Priority = int(j.Class.Tier)
	}
	return d
}

func (b *baseline) Cancel(time.Time, *Job) {}

func (b *baseline) RecordFirstToken(time.Time, *Job, int) {}

func (b *baseline) RecordTokens(time.Time, *Job, int) {}

func (b *baseline) Finish(_ time.Time, j *Job, _ int, _ bool) {
	if name, ok := b.where[j]; ok {
		b.running[name]--
		delete(b.where, j)
	}
}

func (b *baseline) AllowRetry(*Job) bool { return true }

func (b *baseline) Report(_ time.Time, server string, load schedule.Load) {
	b.reported[server] = load.Running + load.Waiting
}

func (b *baseline) Apply(_ time.Time, s *fleet.Snapshot) { b.snapshot = s }

func (b *baseline) ExchangeDemand(time.Time, []Router) {}

func (b *baseline) Period() time.Duration { return time.Second }

func (b *baseline) NextWake() (time.Time, bool) { return time.Time{}, false }
