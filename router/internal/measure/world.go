package measure

import (
	"container/heap"
	"time"

	"snipetally.example/router/internal/fleet"
	"snipetally.example/router/internal/schedule"
)

// base is the start of virtual time.
var base = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// Router is a policy at work in one router.
type Router interface {
	// Submit takes in a job. Decide returns what was decided since the last
	// call.
	Submit(now time.Time, j *Job)
	Decide(now time.Time) []Decision
	Cancel(now time.Time, j *Job)
	RecordFirstToken(now time.Time, j *Job, cached int)
	RecordTokens(now time.Time, j *Job, total int)
	Finish(now time.Time, j *Job, tokens int, failed bool)
	AllowRetry(j *Job) bool
	Report(now time.Time, server string, load schedule.Load)
	Apply(now time.Time, s *fleet.Snapshot)

	// ExchangeDemand tells the peers what this router has to tell, every period.
	ExchangeDemand(now time.Time, peers []Router)
	Period() time.Duration
	NextWake() (time.Time, bool)
}

// Decision is what a router decided about a job.
type Decision struct {
	Job      *Job
	Refused  bool
	Server   string
	Priority int
}

// Fault changes the world at a time.
type Fault struct {
	At    time.Duration
	Apply func(w *world)
}

// event is a call at a time.
type event struct {
	at    time.Duration
	order int
	do    func()
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

// world runs routers and engines in virtual time.
type world struct {
	snapshot *fleet.Snapshot
	engines  map[string]*Engine
	order    []*Engine
	routers  []Router
	gone     map[int]bool

	// lengths holds the lengths of answers by the id of the request.
	lengths  map[string]float64
	lag      time.Duration
	now      time.Duration
	events   eventHeap
	sequence int
	wakes    []time.Duration
	tally    *Tally

	// spent is the real time that routers took for their decisions.
	spent time.Duration
	calls int
}

// at runs do at a time.
func (w *world) at(at time.Duration, do func()) {
	w.sequence++
	heap.Push(&w.events, event{at: max(at, w.now), order: w.sequence, do: do})
}

// time returns the virtual time.
func (w *world) time() time.Time { return base.Add(w.now) }

// run runs the events up to an end.
func (w *world) run(end time.Duration) {
	for len(w.events) > 0 && w.events[0].at <= end {
		e := heap.Pop(&w.events).(event)
		w.now = e.at
		e.do()
	}
}

// arrive hands a job to a router.
func (w *world) arrive(j *Job) {
	j.Router %= len(w.routers)
	for w.gone[j.Router] {
		j.Router = (j.Router + 1) % len(w.routers)
	}
	w.timed(func() { w.routers[j.Router].Submit(w.time(), j) })
	w.calls++
	w.decide(j.Router)
	w.at(j.Arrived+j.Class.QueueTimeout+time.Millisecond, func() { w.giveUp(j) })
}

// giveUp ends a job that an engine has not begun by its deadline.
func (w *world) giveUp(j *Job) {
	if j.state != jobOpen || j.run == nil || j.run.state != runWaiting {
		return
	}
	e := j.run.engine
	if e == nil {
		return
	}
	e.cancel(w.now, j.run)
	w.close(j, 0, false)
	j.state = jobLost
	w.plan(e)
}

// timed adds up the real time of a router's call.
func (w *world) timed(do func()) {
	start := time.Now()
	do()
	w.spent += time.Since(start)
}

// decide carries out what a router decides.
func (w *world) decide(router int) {
	var decisions []Decision
	w.timed(func() { decisions = w.routers[router].Decide(w.time()) })
	for _, d := range decisions {
		if d.Refused {
			d.Job.state = jobRefused
			w.tally.refused(d.Job)
			continue
		}
		w.dispatch(d)
	}
	w.arm(router)
}

// arm makes sure that a router is woken when it wants to be.
func (w *world) arm(router int) {
	wake, ok := w.routers[router].NextWake()
	if !ok {
		return
	}
	at := max(wake.Sub(base), w.now+time.Millisecond)
	if w.wakes[router] > w.now && w.wakes[router] <= at {
		return
	}
	w.wakes[router] = at
	w.at(at, func() {
		if !w.gone[router] {
			w.decide(router)
		}
	})
}

// dispatch sends a job to an engine.
func (w *world) dispatch(d Decision) {
	j := d.Job
	j.run = &Attempt{Job: j, Priority: d.Priority}
	run := j.run
	e := w.engines[d.Server]
	w.at(w.now+w.latency(d.Server), func() {
		if j.state != jobOpen || j.run != run {
			return
		}
		if e.down {
			w.fail(j, 0)
			return
		}
		run.began = w.now
		e.submit(w.now, run)
		w.plan(e)
	})
}

// latency returns the time one way to a server. Routers stand in the zones of
// the first region; those of another region are far.
func (w *world) latency(server string) time.Duration {
	const near, far = 500 * time.Microsecond, 30 * time.Millisecond
	s := w.snapshot.Servers[server]
	if s.Region != w.snapshot.Plan.Servers[0].Region && len(s.Models) > 1 {
		return far
	}
	return near
}

// plan schedules the engine's next step.
func (w *world) plan(e *Engine) {
	e.version++
	version := e.version
	at := e.next()
	if at == time.Duration(1<<63-1) {
		return
	}
	w.at(at, func() {
		if e.version == version {
			w.step(e)
		}
	})
}

// step lets an engine do what is due and tells the routers.
func (w *world) step(e *Engine) {
	first, ended := e.step(w.now)
	if first != nil {
		j := first.Job
		j.first = w.now + w.latency(e.Name)
		w.tally.first(j)
		if !w.gone[j.Router] {
			w.timed(func() { w.routers[j.Router].RecordFirstToken(w.time(), j, first.cached) })
		}
	}
	for _, r := range ended {
		j := r.Job
		j.state = jobDone
		j.ended = w.now + w.latency(e.Name)
		w.tally.done(j)
		w.close(j, j.Length, false)
	}
	w.plan(e)
}

// close tells a router that a job's run ended.
func (w *world) close(j *Job, tokens int, failed bool) {
	if w.gone[j.Router] {
		return
	}
	w.timed(func() { w.routers[j.Router].Finish(w.time(), j, tokens, failed) })
	w.decide(j.Router)
}

// fail ends a job's run on a server that crashed, and tries again if the policy
// lets it and the call may be repeated.
func (w *world) fail(j *Job, tokens int) {
	w.tally.waste(tokens)
	server := ""
	if j.run != nil && j.run.engine != nil {
		server = j.run.engine.Name
	}
	j.run = nil
	w.close(j, tokens, true)
	router := w.routers[j.Router]
	j.attempts++
	if w.gone[j.Router] || j.Class.AtMostOnce || j.attempts > 2 || !router.AllowRetry(j) {
		j.state = jobLost
		return
	}
	if server != "" {
		j.Request.Avoid = append(j.Request.Avoid, server)
	}
	w.timed(func() { router.Submit(w.time(), j) })
	w.decide(j.Router)
}

// crash stops an engine and starts it again later.
func (w *world) crash(name string, back time.Duration) {
	e := w.engines[name]
	for _, r := range e.crash(w.now) {
		tokens := e.tokens(r)
		r.state = runDone
		w.fail(r.Job, tokens)
	}
	w.at(w.now+back, func() { e.down = false })
}

// loseRouter stops a router. Its requests end, and the engines drop them.
func (w *world) loseRouter(router int, all []*Job) {
	w.gone[router] = true
	for _, j := range all {
		if j.Arrived > w.now || j.Router != router || j.state != jobOpen {
			continue
		}
		j.state = jobLost
		if j.run == nil || j.run.engine == nil || j.run.state == runDone {
			continue
		}
		e := j.run.engine
		e.advance(w.now)
		w.tally.waste(e.tokens(j.run))
		e.cancel(w.now, j.run)
		w.plan(e)
	}
}

// tick tells routers about progress and load, every half a second.
func (w *world) tick() {
	const period = 500 * time.Millisecond
	for _, e := range w.order {
		e.advance(w.now)
		for _, r := range e.decoding {
			j := r.Job
			if w.gone[j.Router] {
				continue
			}
			n := e.tokens(r)
			w.timed(func() { w.routers[j.Router].RecordTokens(w.time(), j, n) })
		}
	}
	w.report()
	w.at(w.now+period, w.tick)
}

// report sends load reports of all engines, which arrive after the lag.
func (w *world) report() {
	loads := make(map[string]schedule.Load, len(w.order))
	for _, e := range w.order {
		if e.down {
			continue
		}
		waiting, running := e.outstanding()
		loads[e.Name] = schedule.Load{At: w.time(), Waiting: waiting, Running: running, Slots: e.TargetBatch, Pace: e.pace()}
	}
	w.at(w.now+w.lag, func() {
		for i, r := range w.routers {
			if w.gone[i] {
				continue
			}
			w.timed(func() {
				for _, e := range w.order {
					if load, ok := loads[e.Name]; ok {
						r.Report(w.time(), e.Name, load)
					}
				}
			})
			w.decide(i)
		}
	})
}

// exchange lets a router tell its peers, every period.
func (w *world) exchange(router int) {
	if w.gone[router] {
		return
	}
	peers := make([]Router, 0, len(w.routers))
	for i, r := range w.routers {
		if i != router && !w.gone[i] {
			peers = append(peers, r)
		}
	}
	w.timed(func() { w.routers[router].ExchangeDemand(w.time(), peers) })
	w.decide(router)
	w.at(w.now+w.routers[router].Period(), func() { w.exchange(router) })
}
