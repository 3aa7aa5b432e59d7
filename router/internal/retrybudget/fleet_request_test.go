package retrybudget_test

import (
	"slices"
	"time"
)

// pick returns a random engine that the request may run on, or nil.
func (f *fleet) pick(r *simRequest) *simEngine {
	engines := f.byService[r.service]
	start := f.random.IntN(len(engines))
	var avoided *simEngine
	for i := range engines {
		e := engines[(start+i)%len(engines)]
		switch {
		case e.removed || slices.Contains(r.tried, e):
		case f.now.Before(f.suspended[suspendedEngine{r.router, e}]):
			avoided = e
		default:
			return e
		}
	}
	return avoided
}

// start begins an attempt.
func (f *fleet) start(r *simRequest, e *simEngine) {
	if e == nil {
		return
	}
	r.tried = append(r.tried, e)
	r.executions++
	r.engine, r.index = e, len(e.running)
	e.running = append(e.running, r)
	if f.now.Before(e.failsUntil) {
		f.fail(r)
		return
	}
	r.endsAt = f.now.Add(f.exponential(meanDuration))
	f.schedule(r.endsAt.Sub(f.now), func() { f.end(r, e) })
	if left := e.pausedUntil.Sub(f.now); left > 0 {
		f.delay(r, left)
	}
}

// end ends the attempt at an engine if it still runs there and its time is over.
func (f *fleet) end(r *simRequest, e *simEngine) {
	if r.engine != e {
		return
	}
	if left := r.endsAt.Sub(f.now); left > 0 {
		f.schedule(left, func() { f.end(r, e) })
		return
	}
	f.remove(r)
}

// remove takes the attempt of a request off its engine.
func (f *fleet) remove(r *simRequest) {
	e := r.engine
	last := e.running[len(e.running)-1]
	e.running[r.index], last.index = last, r.index
	e.running = e.running[:len(e.running)-1]
	r.engine = nil
}

// delay has a run wait for a pause that still takes a time.
func (f *fleet) delay(r *simRequest, left time.Duration) {
	r.endsAt = r.endsAt.Add(left)
	if left <= silenceLimit {
		return
	}
	e := r.engine
	f.schedule(silenceLimit, func() {
		f.whenAwake(r.router, func() {
			if r.engine == e {
				f.handleSilence(r)
			}
		})
	})
}

// handleSilence decides on an attempt whose engine has been silent for too long.
func (f *fleet) handleSilence(r *simRequest) {
	f.tally.struck++
	if r.executions >= attemptLimit {
		f.tally.keptWaiting++
		return
	}
	if !f.rules.secureFirst {
		f.suspended[suspendedEngine{r.router, r.engine}] = f.now.Add(suspension)
		f.remove(r)
		f.retry(r)
		return
	}
	e := f.pick(r)
	if e == nil || !f.routers[r.router].budget.TakeSpeculative(f.now, serviceName(r.service)) {
		f.tally.keptWaiting++
		return
	}
	f.remove(r)
	f.tally.replacements++
	f.sent[r.service] = append(f.sent[r.service], f.now)
	f.start(r, e)
}

// fail ends an attempt at an engine that is down.
func (f *fleet) fail(r *simRequest) {
	f.tally.struck++
	f.suspended[suspendedEngine{r.router, r.engine}] = f.now.Add(suspension)
	f.remove(r)
	if r.executions < attemptLimit {
		f.whenAwake(r.router, func() { f.retry(r) })
	}
}

// retry sends a request whose attempt is lost to another engine.
func (f *fleet) retry(r *simRequest) {
	e := f.pick(r)
	if e == nil {
		return
	}
	if !f.routers[r.router].budget.Take(f.now, serviceName(r.service)) {
		f.tally.withoutBudget++
		return
	}
	f.tally.retries++
	f.sent[r.service] = append(f.sent[r.service], f.now)
	f.start(r, e)
}
