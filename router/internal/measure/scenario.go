package measure

import (
	"fmt"
	"time"

	"snipetally.example/router/internal/backend"
	"snipetally.example/router/internal/fleet"
	"snipetally.example/router/internal/schedule"
)

// Scenario is a fleet, what its callers ask for, and what goes wrong.
type Scenario struct {
	Name         string
	Routers      int
	FleetScale   int
	Pooled       bool
	ReportDelay  time.Duration
	Duration     time.Duration
	LowestClass  string
	Streams      []Stream
	Faults       []Fault
	LoseRouterAt time.Duration
	Lending      schedule.Lending
}

// Policy makes a router of a policy.
type Policy struct {
	Name string

	// SingleRouter policies are measured with one router that sees everything.
	SingleRouter bool
	NewRouter    func(w *world, s *Scenario, index int) Router
}

const seed = 20261203

// Run runs a policy in a scenario.
func Run(s *Scenario, p Policy) (Result, []string) {
	snapshot := fleet.New(1, plan(max(s.FleetScale, 1), s.Pooled))
	w := &world{
		snapshot: snapshot,
		engines:  make(map[string]*Engine),
		gone:     make(map[int]bool),
		lengths:  make(map[string]float64),
		lag:      s.ReportDelay,
		tally:    &Tally{lowest: s.LowestClass},
	}
	for i := range snapshot.Plan.Servers {
		server := &snapshot.Plan.Servers[i]
		e := newEngine(server.Name, server.Slots)
		if server.Kind == backend.KindService {
			e.MaxBatch = server.Slots
		}
		w.engines[server.Name] = e
		w.order = append(w.order, e)
	}
	routers := s.Routers
	if p.SingleRouter {
		routers = 1
	}
	for i := range routers {
		w.routers = append(w.routers, p.NewRouter(w, s, i))
	}
	w.wakes = make([]time.Duration, routers)
	all := jobs(seed, s.Streams, s.Duration, w)
	for _, j := range all {
		w.lengths[j.Request.ID] = float64(j.Length)
		w.at(j.Arrived, func() { w.arrive(j) })
	}
	for _, f := range s.Faults {
		w.at(f.At, func() { f.Apply(w) })
	}
	if s.LoseRouterAt > 0 && routers > 1 {
		w.at(s.LoseRouterAt, func() { w.loseRouter(1, all) })
	}
	for i := range w.routers {
		offset := w.routers[i].Period() * time.Duration(i) / time.Duration(routers)
		w.at(offset, func() { w.exchange(i) })
	}
	w.at(0, w.tick)
	w.run(s.Duration + time.Minute)
	result := w.result(all, s.Duration)
	result.Scenario = s.Name
	result.Policy = p.Name
	return result, w.columnNames(s.Streams)
}

// Policies returns the baselines, the product's policy and its variants.
func Policies() []Policy {
	simple := func(name string, choose pick, limit bool) Policy {
		return Policy{Name: name, NewRouter: func(w *world, s *Scenario, index int) Router {
			b := newBaseline(choose, uint64(index)+1, w.snapshot)
			if limit {
				b.cap = 1 / float64(s.Routers)
			}
			return b
		}}
	}
	return []Policy{
		simple("round-robin", roundRobin, false),
		simple("least", leastOutstanding, false),
		simple("two-choices", twoChoices, false),
		simple("strict", leastOutstanding, true),
		SchedulerPolicy("alone", func(o *schedule.Options) { o.Mode = schedule.ModeIndependent }),
		SchedulerPolicy("snipetally", nil),
		oracle(),
	}
}

// SchedulerPolicy returns the product's policy with changed options.
func SchedulerPolicy(name string, change func(*schedule.Options)) Policy {
	return Policy{Name: name, NewRouter: func(w *world, s *Scenario, index int) Router {
		options := schedule.Options{
			Router:  fmt.Sprintf("router%03d", index),
			Region:  "dar",
			Zone:    fmt.Sprintf("dar%d", index%4),
			Seed:    uint64(index) + 1,
			Period:  time.Second,
			Lending: s.Lending,
		}
		if change != nil {
			change(&options)
		}
		return newCoreRouter(options, w.snapshot)
	}}
}

// oracle is the product's policy in a single router that knows the length of
// each answer and the true load of each engine.
func oracle() Policy {
	return Policy{Name: "oracle", SingleRouter: true, NewRouter: func(w *world, s *Scenario, _ int) Router {
		options := schedule.Options{
			Router:  "oracle",
			Region:  "dar",
			Seed:    1,
			Period:  100 * time.Millisecond,
			Lending: s.Lending,
			OracleLoad: func(server string) (int, time.Duration) {
				e := w.engines[server]
				waiting, running := e.outstanding()
				return waiting + running, e.pace()
			},
		}
		options.OracleLength = func(r *schedule.Request) float64 { return w.lengths[r.ID] }
		return newCoreRouter(options, w.snapshot)
	}}
}
