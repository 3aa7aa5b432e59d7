package placement_test

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"snipetally.example/router/internal/placement"
	"snipetally.example/router/internal/retrybudget"
)

// workClass is a class of requests in a simulation.
type workClass struct {
	name     string
	priority int

	// target is the latency objective of the first event, gap the longest pause
	// between events that is on time, and timeout how long callers wait.
	target  time.Duration
	gap     time.Duration
	timeout time.Duration

	// perSecond is the mean rate of requests.
	perSecond float64

	// instructions is the length of a part that all requests of the class
	// share. There are sessions many sessions whose requests share a part of
	// the length sessionTokens besides. Lengths are in tokens.
	instructions  int
	sessions      int
	sessionTokens int

	// promptTokens and outputTokens are the mean lengths of what a request adds
	// and of its answer. Lengths are drawn from a log-normal distribution with
	// the given spread, which is the standard deviation of their logarithm.
	promptTokens int
	outputTokens int
	spread       float64
}

// fleetModel describes the routers and engines of a simulation.
type fleetModel struct {
	engines        int
	routers        int
	engine         engineModel
	reportInterval time.Duration

	// directory makes the routers ask for the current loads of the engines that
	// they consider.
	directory bool

	// silence is what routers do about an engine that is silent during a request
	// for longer than a healthy one.
	silence silencePolicy
}

// tally counts the requests of a class by their outcome.
type tally struct {
	asked int

	// onTime counts complete answers within both objectives. lateFirst and
	// paused count the other complete answers: those whose first event was
	// late, and those that only paused for too long.
	onTime    int
	lateFirst int
	paused    int

	// refused counts the requests that were refused for good, expired those
	// that were not complete when the caller stopped waiting.
	refused int
	expired int

	// placed counts the requests that were placed on an engine, and uncached
	// those of them whose session was not cached there.
	placed   int
	uncached int
}

// event is an event of the simulation.
type event struct {
	at time.Time
	do func()
}

// events is a heap of events by time.
type events []event

func (e events) Len() int           { return len(e) }
func (e events) Less(i, j int) bool { return e[i].at.Before(e[j].at) }
func (e events) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)        { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	old := *e
	last := old[len(old)-1]
	*e = old[:len(old)-1]
	return last
}

// simulation simulates callers and routers in front of engines, in virtual
// time.
type simulation struct {
	now     time.Time
	pending events
	random  *rand.Rand
	fleet   fleetModel
	classes []workClass
	servers []placement.Server

	// exchanging are the balancers that exchange reports; balancers are those
	// that get requests.
	exchanging []*placement.Balancer
	balancers  []*placement.Balancer
	engines    map[string]*engine

	// budgets hold the retries of each router, from startedAt on.
	budgets   map[*placement.Balancer]*retrybudget.Budget
	startedAt time.Time

	// budgetsStart is the real time of the start, at which the budgets begin.
	budgetsStart time.Time

	tallies map[string]*tally
}

func newFleet(seed uint64, fleet fleetModel, classes ...workClass) *simulation {
	s := &simulation{
		now:     time.Unix(1e9, 0),
		random:  rand.New(rand.NewPCG(seed, seed)),
		fleet:   fleet,
		classes: classes,
		engines: make(map[string]*engine),
		budgets: make(map[*placement.Balancer]*retrybudget.Budget),
		tallies: make(map[string]*tally),
	}
	s.startedAt, s.budgetsStart = s.now, time.Now()
	for _, class := range classes {
		s.tallies[class.name] = &tally{}
	}
	for i := range fleet.engines {
		id := fmt.Sprintf("engine-%d", i)
		s.servers = append(s.servers, placement.Server{
			ID: id, Service: "llm", Slots: fleet.engine.slots, Engine: true, CacheTokens: int64(fleet.engine.cacheTokens),
			TokensPerEvent: fleet.engine.tokensPerEvent,
		})
		s.engines[id] = newEngine(s, fleet.engine)
	}
	for range fleet.routers {
		s.balancers = append(s.balancers, s.addRouter())
	}
	s.schedule(0, s.exchangeReports)
	return s
}

// addRouter returns the balancer of a router that starts now. It gets the
// others' reports from the next exchange on.
func (s *simulation) addRouter() *placement.Balancer {
	balancer := placement.NewBalancer(s.now, fmt.Sprint(len(s.exchanging)), "zone")
	balancer.SetServers(s.now, s.servers)
	s.exchanging = append(s.exchanging, balancer)
	s.budgets[balancer] = retrybudget.NewBudget(retryRatio, retryWindow)
	return balancer
}

func (s *simulation) schedule(d time.Duration, do func()) {
	heap.Push(&s.pending, event{at: s.now.Add(d), do: do})
}

// exchangeReports delivers each router's report to all others, periodically.
func (s *simulation) exchangeReports() {
	for i, from := range s.exchanging {
		report := from.LoadReport(s.now)
		for j, to := range s.exchanging {
			if i != j {
				to.ApplyReport(s.now, fmt.Sprint(i), report)
			}
		}
	}
	s.schedule(s.fleet.reportInterval, s.exchangeReports)
}

// generate calls send at random times with the given mean rate, until a time.
func (s *simulation) generate(perSecond float64, until time.Time, send func()) {
	s.schedule(time.Duration(s.random.ExpFloat64()/perSecond*float64(time.Second)), func() {
		if s.now.After(until) {
			return
		}
		send()
		s.generate(perSecond, until, send)
	})
}

// traffic generates the requests of all classes for a time.
func (s *simulation) traffic(d time.Duration) {
	for _, class := range s.classes {
		s.burst(class.name, 1, d)
	}
}

// burst generates further requests of a class for a time, factor times its
// usual rate.
func (s *simulation) burst(name string, factor float64, d time.Duration) {
	for _, class := range s.classes {
		if class.name == name {
			s.generate(factor*class.perSecond, s.now.Add(d), func() { s.ask(class) })
		}
	}
}

// call is one request of a caller.
type call struct {
	class       workClass
	request     placement.Request
	output      int
	sentAt      time.Time
	lastEventAt time.Time
	longestGap  time.Duration
	firstEvent  time.Duration
	refusals    int

	// tried lists the engines that got the request.
	tried []string
}

// ask sends a new request of a class.
func (s *simulation) ask(class workClass) {
	s.tallies[class.name].asked++
	s.send(s.newCall(class))
}

// newCall draws the session and the lengths of a request.
func (s *simulation) newCall(class workClass) *call {
	own := s.length(class.promptTokens, class.spread)
	r := placement.Request{Service: "llm", Class: class.name, Target: class.target, Gap: class.gap, Priority: class.priority, Draw: s.random.Uint64()}
	add := func(id uint64, tokens int) {
		if tokens == 0 {
			return
		}
		r.Parts = append(r.Parts, placement.Part{ID: id, Tokens: tokens})
		r.PromptTokens += tokens
	}
	add(uint64(class.priority)+1, class.instructions)
	if class.sessions > 0 {
		add(1000*uint64(class.priority+1)+s.random.Uint64N(uint64(class.sessions)), class.sessionTokens)
	}
	add(s.random.Uint64(), own)
	output := s.length(class.outputTokens, class.spread)
	r.OutputTokens = output
	return &call{class: class, request: r, output: output, sentAt: s.now}
}

// length draws a length with the given mean.
func (s *simulation) length(mean int, spread float64) int {
	factor := math.Exp(spread*s.random.NormFloat64() - spread*spread/2)
	return max(int(float64(mean)*min(factor, maxLengthFactor)), 1)
}

// maxLengthFactor bounds the drawn lengths, as a multiple of their mean.
const maxLengthFactor = 6

// send lets a random router place the request and submits it to the chosen
// engine. A refused request is sent once more after the time that the router
// asks for, or a third of the time that is left.
func (s *simulation) send(c *call) {
	t := s.tallies[c.class.name]
	deadline := c.sentAt.Add(c.class.timeout)
	router := s.balancers[s.random.IntN(len(s.balancers))]
	s.budgets[router].RecordRequest(s.budgetTime(), c.request.Service)
	if s.fleet.directory {
		s.askLoads(router, c.request)
	}
	reservation, choice, err := router.Pick(s.now, c.request, c.tried)
	if err != nil {
		c.refusals++
		if c.refusals > 1 {
			t.refused++
			return
		}
		s.schedule(min(choice.ExcessWait, deadline.Sub(s.now)/3), func() { s.send(c) })
		return
	}
	e := s.engines[choice.Server]
	submitted := &engineRequest{priority: c.request.Priority, outputTokens: c.output, deadline: deadline}
	for _, each := range c.request.Parts {
		submitted.parts = append(submitted.parts, part{id: each.ID, tokens: each.Tokens})
	}
	t.placed++
	submitted.onStart = func(uncachedTokens int) {
		if last := len(submitted.parts) - 1; uncachedTokens > submitted.parts[last].tokens {
			t.uncached++
		}
	}
	c.tried = append(c.tried, choice.Server)
	watch := s.watch(c, submitted, reservation, router)
	submitted.onEvent = func() {
		watch.progress()
		reservation.RecordFirstEvent(s.now)
		c.recordEvent(s.now)
	}
	submitted.onEnd = func() {
		watch.stop()
		reservation.Done(s.now, placement.Served)
		t.recordAnswer(c)
	}
	submitted.onExpired = func() {
		watch.stop()
		reservation.Done(s.now, placement.Canceled)
		t.expired++
	}
	e.submit(submitted)
}

// askLoads gives a router the sums of the other routers' loads at the engines
// that it considers.
func (s *simulation) askLoads(router *placement.Balancer, request placement.Request) {
	for _, server := range router.Candidates(s.now, request, nil) {
		var loads []placement.Load
		for _, other := range s.balancers {
			if other != router {
				loads = append(loads, other.Load(server))
			}
		}
		router.SetPeerLoad(s.now, server, placement.SumLoads(loads...))
	}
}

// recordEvent records an event of the answer.
func (c *call) recordEvent(now time.Time) {
	if c.lastEventAt.IsZero() {
		c.firstEvent = now.Sub(c.sentAt)
	} else {
		c.longestGap = max(c.longestGap, now.Sub(c.lastEventAt))
	}
	c.lastEventAt = now
}

// recordAnswer counts a complete answer.
func (t *tally) recordAnswer(c *call) {
	switch {
	case c.firstEvent > c.class.target:
		t.lateFirst++
	case c.longestGap > c.class.gap:
		t.paused++
	default:
		t.onTime++
	}
}

// onTimeShare returns the share of the requests that were answered on time.
func (t *tally) onTimeShare() float64 { return float64(t.onTime) / float64(max(t.asked, 1)) }

// run runs the simulation for the given time.
func (s *simulation) run(d time.Duration) {
	until := s.now.Add(d)
	for len(s.pending) > 0 && s.pending[0].at.Before(until) {
		e := heap.Pop(&s.pending).(event)
		s.now = e.at
		e.do()
	}
	s.now = until
}
