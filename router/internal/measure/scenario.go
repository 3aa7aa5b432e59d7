package measure

import (
	"fmt"
	"time"

	"snipetally.example/router/internal/backend"
	"snipetally.example/router/internal/fleet"
	"snipetally.example/router/internal/schedule"
)

// Scenario describes a fleet, the workload of its callers, and the faults.
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

// Policy is a scheduling policy. NewRouter returns a router that follows it.
type Policy struct {
	Name string

	// SingleRouter policies run with one router that receives all requests.
	SingleRouter bool
	NewRouter    func(sim *simulation, s *Scenario, index int) Router
}

const seed = 20261203

// Run simulates a scenario under a policy. It returns the result and the
// columns of its table.
func Run(s *Scenario, p Policy) (Result, []string) {
	snapshot := fleet.New(1, fleetPlan(max(s.FleetScale, 1), s.Pooled))
	sim := &simulation{
		snapshot:    snapshot,
		engines:     make(map[string]*Engine),
		lostRouters: make(map[int]bool),
		lengths:     make(map[string]float64),
		reportDelay: s.ReportDelay,
		tally:       &Tally{lowestClass: s.LowestClass},
	}
	for i := range snapshot.Plan.Servers {
		server := &snapshot.Plan.Servers[i]
		e := newEngine(server.Name, server.Slots)
		if server.Kind == backend.KindService {
			e.MaxBatch = server.Slots
		}
		sim.engines[server.Name] = e
		sim.engineOrder = append(sim.engineOrder, e)
	}
	routers := s.Routers
	if p.SingleRouter {
		routers = 1
	}
	for i := range routers {
		sim.routers = append(sim.routers, p.NewRouter(sim, s, i))
	}
	sim.wakeups = make([]time.Duration, routers)
	all := drawJobs(seed, s.Streams, s.Duration, sim)
	for _, j := range all {
		sim.lengths[j.Request.ID] = float64(j.Length)
		sim.schedule(j.Arrived, func() { sim.arrive(j) })
	}
	for _, f := range s.Faults {
		sim.schedule(f.At, func() { f.Apply(sim) })
	}
	if s.LoseRouterAt > 0 && routers > 1 {
		sim.schedule(s.LoseRouterAt, func() { sim.loseRouter(1, all) })
	}
	for i := range sim.routers {
		offset := sim.routers[i].Period() * time.Duration(i) / time.Duration(routers)
		sim.schedule(offset, func() { sim.exchange(i) })
	}
	sim.schedule(0, sim.tick)
	sim.run(s.Duration + time.Minute)
	result := sim.result(all, s.Duration)
	result.Scenario = s.Name
	result.Policy = p.Name
	return result, sim.columnNames(s.Streams)
}

// Policies returns the baselines, the real scheduler and its variants.
func Policies() []Policy {
	simple := func(name string, pick pickFunc, limitSlots bool) Policy {
		return Policy{Name: name, NewRouter: func(sim *simulation, s *Scenario, index int) Router {
			b := newBaselineRouter(pick, uint64(index)+1, sim.snapshot)
			if limitSlots {
				b.slotLimit = 1 / float64(s.Routers)
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

// SchedulerPolicy returns a policy that runs the real scheduler, with options
// modified by change, which may be nil.
func SchedulerPolicy(name string, change func(*schedule.Options)) Policy {
	return Policy{Name: name, NewRouter: func(sim *simulation, s *Scenario, index int) Router {
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
		return newSchedulerRouter(options, sim.snapshot)
	}}
}

// oracle is the real scheduler in a single router that knows the length of each
// response and the true load of each engine.
func oracle() Policy {
	return Policy{Name: "oracle", SingleRouter: true, NewRouter: func(sim *simulation, s *Scenario, _ int) Router {
		options := schedule.Options{
			Router:  "oracle",
			Region:  "dar",
			Seed:    1,
			Period:  100 * time.Millisecond,
			Lending: s.Lending,
			OracleLoad: func(server string) (int, time.Duration) {
				e := sim.engines[server]
				waiting, running := e.outstanding()
				return waiting + running, e.tokenLatency()
			},
		}
		options.OracleLength = func(r *schedule.Request) float64 { return sim.lengths[r.ID] }
		return newSchedulerRouter(options, sim.snapshot)
	}}
}
