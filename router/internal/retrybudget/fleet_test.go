package retrybudget_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"snipetally.example/router/internal/retrybudget"
)

const (
	// meanDuration is the mean time of a run at an engine. silenceLimit is the
	// silence after which a request may be sent elsewhere, and pauseLength how long
	// an engine that pauses is silent.
	meanDuration = 8 * time.Second
	silenceLimit = 800 * time.Millisecond
	pauseLength  = 1500 * time.Millisecond

	// suspension is how long a router avoids an engine at which it had a failure,
	// and removal the time until an engine that died is off the list.
	suspension = time.Second
	removal    = 4 * time.Second

	// discoveryTime is the time that a router takes to hear of all others, and
	// countInterval the time between two counts of those that it has heard.
	discoveryTime = 6 * time.Second
	countInterval = 500 * time.Millisecond

	// attemptLimit is the number of servers that may get a request.
	attemptLimit = 3

	// warmup is the time before a trouble, and observed the time after its start
	// until a simulation ends. Engines that fail and come back fail for outage.
	warmup   = 20 * time.Second
	observed = 15 * time.Second
	outage   = 10 * time.Second
)

// fleetSize is the size of an installation.
type fleetSize struct {
	routers   int
	engines   int
	perSecond float64

	// services is the number of services. The k-th of them gets requests and
	// engines in proportion to 1/k.
	services int

	// extra is the number of retries that all routers together may send in a window
	// beyond the ratio.
	extra int

	// runs is the number of runs whose mean is printed as figures.
	runs int
}

// trouble is what happens to the engines.
type trouble string

const (
	onePauses trouble = "one engine pauses"
	oneDies   trouble = "one engine dies"
	allPause  trouble = "all engines pause"
	allFail   trouble = "all engines fail"
)

// simRequest is a request and its attempt in progress.
type simRequest struct {
	router, service int
	executions      int
	tried           []*simEngine

	// engine is where the attempt runs, index its place among the runs there, and
	// endsAt when it ends unless the engine pauses or dies.
	engine *simEngine
	index  int
	endsAt time.Time
}

// simEngine is an engine and its runs in progress.
type simEngine struct {
	service     int
	running     []*simRequest
	pausedUntil time.Time
	failsUntil  time.Time
	removed     bool
}

// simEvent is an event of the simulation.
type simEvent struct {
	at time.Time
	do func()
}

// simEvents is a heap of events by time.
type simEvents []simEvent

func (e simEvents) Len() int           { return len(e) }
func (e simEvents) Less(i, j int) bool { return e[i].at.Before(e[j].at) }
func (e simEvents) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *simEvents) Push(x any)        { *e = append(*e, x.(simEvent)) }
func (e *simEvents) Pop() any {
	old := *e
	last := old[len(old)-1]
	*e = old[:len(old)-1]
	return last
}

// simRouter is a router.
type simRouter struct {
	budget    *retrybudget.Budget
	startedAt time.Time

	// suspendedUntil is until when the VM stands still.
	suspendedUntil time.Time

	// side is the side of a partition, and mostRouters the largest number of routers
	// that were heard, with this one, which last grew at grownAt.
	side        int
	mostRouters int
	grownAt     time.Time
}

// fleetTally counts what the routers did since the start of a trouble.
type fleetTally struct {
	// struck counts the attempts that failed or fell silent, retries and
	// replacements what was sent after a failure and for a silent attempt.
	struck       int
	retries      int
	replacements int

	// withoutBudget counts the failed attempts for which there was no retry, and
	// keptWaiting the silent ones that were not replaced and went on.
	withoutBudget int
	keptWaiting   int
}

// fleet simulates the routers of an installation, each with a budget of its own,
// in front of engines that pause and fail.
type fleet struct {
	size    fleetSize
	random  *rand.Rand
	now     time.Time
	pending simEvents

	rules routerRules

	// entries are the routers that callers send their requests to, and load the
	// number of requests relative to the usual.
	entries []int
	load    float64

	routers   []*simRouter
	engines   []*simEngine
	byService [][]*simEngine
	suspended map[suspendedEngine]time.Time
	requests  [][]time.Time
	sent      [][]time.Time
	tally     fleetTally
}

// routerRules are the rules that the routers follow.
type routerRules struct {
	// secureFirst makes routers replace a silent attempt only if there is a
	// speculative retry for it. Otherwise they cancel it, and need a retry then.
	secureFirst bool

	// useExtra makes them use their parts of the extra.
	useExtra bool
}

// suspendedEngine names an engine that a router avoids.
type suspendedEngine struct {
	router int
	engine *simEngine
}

// newFleet returns a fleet with steady traffic.
func newFleet(seed uint64, size fleetSize, rules routerRules) *fleet {
	f := &fleet{
		size: size, random: rand.New(rand.NewPCG(seed, uint64(size.routers))), now: time.Now(), rules: rules,
		byService: make([][]*simEngine, size.services), suspended: make(map[suspendedEngine]time.Time),
		requests: make([][]time.Time, size.services), sent: make([][]time.Time, size.services), load: 1,
	}
	for i := range size.routers {
		r := &simRouter{}
		f.restart(r)
		f.routers, f.entries = append(f.routers, r), append(f.entries, i)
	}
	f.schedule(0, f.countRouters)
	weights := 0.0
	for s := range size.services {
		weights += 1 / float64(s+1)
	}
	for s := range size.services {
		share := 1 / float64(s+1) / weights
		for range max(int(share*float64(size.engines)), 2) {
			e := &simEngine{service: s}
			f.engines, f.byService[s] = append(f.engines, e), append(f.byService[s], e)
		}
		f.ask(s, share*size.perSecond)
	}
	return f
}

// restart starts a router, without what it knew.
func (f *fleet) restart(r *simRouter) {
	*r = simRouter{budget: retrybudget.NewBudget(ratio, windowLength), startedAt: f.now, side: r.side}
	if f.rules.useExtra {
		r.budget.SetExtra(float64(f.size.extra), func() (int, time.Time) { return r.mostRouters, r.grownAt })
	}
}

// countRouters updates the numbers of routers that the routers have heard,
// periodically. A router that has started hears one after the other.
func (f *fleet) countRouters() {
	present := make(map[int]int)
	for _, r := range f.routers {
		present[r.side]++
	}
	for _, r := range f.routers {
		share := min(f.now.Sub(r.startedAt).Seconds()/discoveryTime.Seconds(), 1)
		if n := int(share * float64(present[r.side])); n > 1 && n > r.mostRouters {
			r.mostRouters, r.grownAt = n, f.now
		}
	}
	f.schedule(countInterval, f.countRouters)
}

func (f *fleet) schedule(d time.Duration, do func()) {
	heap.Push(&f.pending, simEvent{at: f.now.Add(d), do: do})
}

// run runs the simulation for a time.
func (f *fleet) run(d time.Duration) {
	until := f.now.Add(d)
	for len(f.pending) > 0 && f.pending[0].at.Before(until) {
		e := heap.Pop(&f.pending).(simEvent)
		f.advance(e.at)
		e.do()
	}
	f.advance(until)
}

// advance lets the time pass.
func (f *fleet) advance(to time.Time) {
	time.Sleep(to.Sub(f.now))
	f.now = to
}

// exponential draws a time with the given mean.
func (f *fleet) exponential(mean time.Duration) time.Duration {
	return time.Duration(f.random.ExpFloat64() * float64(mean))
}

// ask sends requests for a service to random entries from now on.
func (f *fleet) ask(service int, perSecond float64) {
	f.schedule(f.exponential(time.Duration(float64(time.Second)/perSecond/f.load)), func() {
		r := &simRequest{router: f.entries[f.random.IntN(len(f.entries))], service: service}
		f.requests[service] = append(f.requests[service], f.now)
		f.whenAwake(r.router, func() {
			f.routers[r.router].budget.RecordRequest(f.now, serviceName(service))
			f.start(r, f.pick(r))
		})
		f.ask(service, perSecond)
	})
}

// whenAwake does something at a router at once, or when its VM goes on.
func (f *fleet) whenAwake(router int, do func()) {
	if left := f.routers[router].suspendedUntil.Sub(f.now); left > 0 {
		f.schedule(left, do)
		return
	}
	do()
}

func serviceName(service int) string { return fmt.Sprint(service) }
