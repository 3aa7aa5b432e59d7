package measure

import (
	"container/heap"
	"time"

	"snipetally.example/router/internal/fleet"
	"snipetally.example/router/internal/schedule"
)

// epoch is the start of virtual time.
var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// Router is one router that follows a policy.
type Router interface {
	// Submit takes a job. Decide returns the decisions since the previous call.
	Submit(now time.Time, j *Job)
	Decide(now time.Time) []Decision
	Cancel(now time.Time, j *Job)
	RecordFirstToken(now time.Time, j *Job, cached int)
	RecordTokens(now time.Time, j *Job, total int)
	Finish(now time.Time, j *Job, tokens int, failed bool)
	AllowRetry(j *Job) bool
	Report(now time.Time, server string, load schedule.Load)
	Apply(now time.Time, s *fleet.Snapshot)

	// ExchangeDemand sends this router's demand to its peers, once every
	// period.
	ExchangeDemand(now time.Time, peers []Router)
	Period() time.Duration
	NextWake() (time.Time, bool)
}

// Decision is a router's decision about a job.
type Decision struct {
	Job      *Job
	Refused  bool
	Server   string
	Priority int
}

// Fault changes the simulation at a given time.
type Fault struct {
	At    time.Duration
	Apply func(sim *simulation)
}

// event is a call at a virtual time. Events at the same time run in the order
// in which they were scheduled.
type event struct {
	at    time.Duration
	order int
	run   func()
}

type eventHeap []event

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	if h[i].at != h[j].at {
		return h[i].at < h[j].at
	}
	return h[i].order < h[j].order
}
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(x any)   { *h = append(*h, x.(event)) }
func (h *eventHeap) Pop() any {
	old := *h
	e := old[len(old)-1]
	*h = old[:len(old)-1]
	return e
}

// simulation runs routers and engines in virtual time.
type simulation struct {
	snapshot    *fleet.Snapshot
	engines     map[string]*Engine
	engineOrder []*Engine
	routers     []Router
	lostRouters map[int]bool

	// lengths holds the lengths of responses in tokens by request ID.
	lengths     map[string]float64
	reportDelay time.Duration
	now         time.Duration
	events      eventHeap
	sequence    int
	wakeups     []time.Duration
	tally       *Tally

	// decisionTime is the real time that routers spent on their calls.
	decisionTime time.Duration
	arrivals     int
}

// schedule runs do at a virtual time, or now if that is past.
func (sim *simulation) schedule(at time.Duration, do func()) {
	sim.sequence++
	heap.Push(&sim.events, event{at: max(at, sim.now), order: sim.sequence, run: do})
}

// virtualTime returns the current virtual time.
func (sim *simulation) virtualTime() time.Time { return epoch.Add(sim.now) }

// run runs the events up to an end time.
func (sim *simulation) run(end time.Duration) {
	for len(sim.events) > 0 && sim.events[0].at <= end {
		e := heap.Pop(&sim.events).(event)
		sim.now = e.at
		e.run()
	}
}

// arrive submits a job to its router, or to the next one that is not lost.
func (sim *simulation) arrive(j *Job) {
	j.Router %= len(sim.routers)
	for sim.lostRouters[j.Router] {
		j.Router = (j.Router + 1) % len(sim.routers)
	}
	sim.measureTime(func() { sim.routers[j.Router].Submit(sim.virtualTime(), j) })
	sim.arrivals++
	sim.decide(j.Router)
	sim.schedule(j.Arrived+j.Class.QueueTimeout+time.Millisecond, func() { sim.expire(j) })
}

// expire cancels a job that still waits in an engine's queue at its deadline.
func (sim *simulation) expire(j *Job) {
	if j.state != jobOpen || j.attempt == nil || j.attempt.state != attemptWaiting {
		return
	}
	e := j.attempt.engine
	if e == nil {
		return
	}
	e.cancel(sim.now, j.attempt)
	sim.finish(j, 0, false)
	j.state = jobLost
	sim.scheduleStep(e)
}

// measureTime adds the real time of a router's call to decisionTime.
func (sim *simulation) measureTime(do func()) {
	start := time.Now()
	do()
	sim.decisionTime += time.Since(start)
}

// decide carries out the pending decisions of a router.
func (sim *simulation) decide(router int) {
	var decisions []Decision
	sim.measureTime(func() { decisions = sim.routers[router].Decide(sim.virtualTime()) })
	for _, d := range decisions {
		if d.Refused {
			d.Job.state = jobRefused
			continue
		}
		sim.dispatch(d)
	}
	sim.scheduleWakeup(router)
}

// scheduleWakeup schedules the next wakeup that a router asks for.
func (sim *simulation) scheduleWakeup(router int) {
	wake, ok := sim.routers[router].NextWake()
	if !ok {
		return
	}
	at := max(wake.Sub(epoch), sim.now+time.Millisecond)
	if sim.wakeups[router] > sim.now && sim.wakeups[router] <= at {
		return
	}
	sim.wakeups[router] = at
	sim.schedule(at, func() {
		if !sim.lostRouters[router] {
			sim.decide(router)
		}
	})
}

// dispatch sends a job to an engine.
func (sim *simulation) dispatch(d Decision) {
	j := d.Job
	j.attempt = &Attempt{Job: j, Priority: d.Priority}
	attempt := j.attempt
	e := sim.engines[d.Server]
	sim.schedule(sim.now+sim.latency(d.Server), func() {
		if j.state != jobOpen || j.attempt != attempt {
			return
		}
		if e.down {
			sim.failAttempt(j, 0)
			return
		}
		e.submit(sim.now, attempt)
		sim.scheduleStep(e)
	})
}

// latency returns the one-way network latency to a server. Routers are in the
// zones of the first region; pooled servers of another region are far away.
func (sim *simulation) latency(server string) time.Duration {
	const near, far = 500 * time.Microsecond, 30 * time.Millisecond
	s := sim.snapshot.Servers[server]
	if s.Region != sim.snapshot.Plan.Servers[0].Region && len(s.Models) > 1 {
		return far
	}
	return near
}

// scheduleStep schedules the engine's next step.
func (sim *simulation) scheduleStep(e *Engine) {
	e.version++
	version := e.version
	at := e.nextEvent()
	if at == time.Duration(1<<63-1) {
		return
	}
	sim.schedule(at, func() {
		if e.version == version {
			sim.step(e)
		}
	})
}

// step runs what is due on an engine and notifies the routers.
func (sim *simulation) step(e *Engine) {
	first, ended := e.step(sim.now)
	if first != nil {
		j := first.Job
		j.firstToken = sim.now + sim.latency(e.Name)
		sim.tally.recordFirstToken(j)
		if !sim.lostRouters[j.Router] {
			sim.measureTime(func() { sim.routers[j.Router].RecordFirstToken(sim.virtualTime(), j, first.cachedTokens) })
		}
	}
	for _, a := range ended {
		j := a.Job
		j.state = jobDone
		j.finished = sim.now + sim.latency(e.Name)
		sim.finish(j, j.Length, false)
	}
	sim.scheduleStep(e)
}

// finish tells a router that the attempt at a job has ended.
func (sim *simulation) finish(j *Job, tokens int, failed bool) {
	if sim.lostRouters[j.Router] {
		return
	}
	sim.measureTime(func() { sim.routers[j.Router].Finish(sim.virtualTime(), j, tokens, failed) })
	sim.decide(j.Router)
}

// failAttempt ends the attempt at a job whose server crashed, and retries the
// job if the policy allows it and the call may be repeated.
func (sim *simulation) failAttempt(j *Job, tokens int) {
	sim.tally.recordWasted(tokens)
	server := ""
	if j.attempt != nil && j.attempt.engine != nil {
		server = j.attempt.engine.Name
	}
	j.attempt = nil
	sim.finish(j, tokens, true)
	router := sim.routers[j.Router]
	j.attempts++
	if sim.lostRouters[j.Router] || j.Class.AtMostOnce || j.attempts > 2 || !router.AllowRetry(j) {
		j.state = jobLost
		return
	}
	if server != "" {
		j.Request.Avoid = append(j.Request.Avoid, server)
	}
	sim.measureTime(func() { router.Submit(sim.virtualTime(), j) })
	sim.decide(j.Router)
}

// crash stops an engine and restarts it after the downtime.
func (sim *simulation) crash(name string, downtime time.Duration) {
	e := sim.engines[name]
	for _, a := range e.crash(sim.now) {
		tokens := e.tokens(a)
		a.state = attemptDone
		sim.failAttempt(a.Job, tokens)
	}
	sim.schedule(sim.now+downtime, func() { e.down = false })
}

// loseRouter stops a router. Its requests are lost, and the engines cancel
// them.
func (sim *simulation) loseRouter(router int, all []*Job) {
	sim.lostRouters[router] = true
	for _, j := range all {
		if j.Arrived > sim.now || j.Router != router || j.state != jobOpen {
			continue
		}
		j.state = jobLost
		if j.attempt == nil || j.attempt.engine == nil || j.attempt.state == attemptDone {
			continue
		}
		e := j.attempt.engine
		e.advance(sim.now)
		sim.tally.recordWasted(e.tokens(j.attempt))
		e.cancel(sim.now, j.attempt)
		sim.scheduleStep(e)
	}
}

// tick reports progress and load to the routers every half second.
func (sim *simulation) tick() {
	const period = 500 * time.Millisecond
	for _, e := range sim.engineOrder {
		e.advance(sim.now)
		for _, a := range e.decoding.attempts {
			j := a.Job
			if sim.lostRouters[j.Router] {
				continue
			}
			n := e.tokens(a)
			sim.measureTime(func() { sim.routers[j.Router].RecordTokens(sim.virtualTime(), j, n) })
		}
	}
	sim.report()
	sim.schedule(sim.now+period, sim.tick)
}

// report sends load reports of all engines, which arrive after the report
// delay.
func (sim *simulation) report() {
	loads := make(map[string]schedule.Load, len(sim.engineOrder))
	for _, e := range sim.engineOrder {
		if e.down {
			continue
		}
		waiting, running := e.outstanding()
		loads[e.Name] = schedule.Load{At: sim.virtualTime(), Waiting: waiting, Running: running, Slots: e.TargetBatch, Pace: e.tokenLatency()}
	}
	sim.schedule(sim.now+sim.reportDelay, func() {
		for i, r := range sim.routers {
			if sim.lostRouters[i] {
				continue
			}
			sim.measureTime(func() {
				for _, e := range sim.engineOrder {
					if load, ok := loads[e.Name]; ok {
						r.Report(sim.virtualTime(), e.Name, load)
					}
				}
			})
			sim.decide(i)
		}
	})
}

// exchange lets a router send its demand to its peers, every period.
func (sim *simulation) exchange(router int) {
	if sim.lostRouters[router] {
		return
	}
	peers := make([]Router, 0, len(sim.routers))
	for i, r := range sim.routers {
		if i != router && !sim.lostRouters[i] {
			peers = append(peers, r)
		}
	}
	sim.measureTime(func() { sim.routers[router].ExchangeDemand(sim.virtualTime(), peers) })
	sim.decide(router)
	sim.schedule(sim.now+sim.routers[router].Period(), func() { sim.exchange(router) })
}
