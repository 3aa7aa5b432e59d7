package measure

import (
	"time"

	"snipetally.example/router/internal/attempt"
	"snipetally.example/router/internal/fleet"
	"snipetally.example/router/internal/schedule"
	"snipetally.example/router/internal/share"
)

// schedulerRouter runs the real scheduler, schedule.Core.
type schedulerRouter struct {
	core    *schedule.Core
	options schedule.Options
	jobs    map[*schedule.Ticket]*Job
	refused []Decision
	retries *attempt.RetryBudget

	// sentBytes counts the bytes of the demand reports sent to peers.
	sentBytes int
}

// newSchedulerRouter returns a router that runs a Core.
func newSchedulerRouter(options schedule.Options, s *fleet.Snapshot) *schedulerRouter {
	r := &schedulerRouter{
		core:    schedule.NewCore(options),
		options: options,
		jobs:    make(map[*schedule.Ticket]*Job),
		retries: attempt.NewRetryBudget(0, 0),
	}
	r.core.Apply(epoch, s)
	return r
}

func (r *schedulerRouter) Submit(now time.Time, j *Job) {
	t := r.core.Submit(now, j.Request)
	j.ticket = t
	if t.Status == schedule.Refused {
		r.refused = append(r.refused, Decision{Job: j, Refused: true})
		return
	}
	r.jobs[t] = j
}

func (r *schedulerRouter) Decide(now time.Time) []Decision {
	decisions := r.refused
	r.refused = nil
	for _, t := range r.core.Decide(now) {
		j := r.jobs[t]
		if t.Status == schedule.Refused {
			delete(r.jobs, t)
			decisions = append(decisions, Decision{Job: j, Refused: true})
			continue
		}
		decisions = append(decisions, Decision{Job: j, Server: t.Server.Name, Priority: t.Priority})
	}
	return decisions
}

func (r *schedulerRouter) Cancel(_ time.Time, j *Job) {
	r.core.Cancel(j.ticket.(*schedule.Ticket))
}

func (r *schedulerRouter) RecordFirstToken(now time.Time, j *Job, cached int) {
	r.core.RecordFirstToken(now, j.ticket.(*schedule.Ticket), cached)
}

func (r *schedulerRouter) RecordTokens(now time.Time, j *Job, total int) {
	r.core.RecordTokens(now, j.ticket.(*schedule.Ticket), total)
}

func (r *schedulerRouter) Finish(now time.Time, j *Job, tokens int, failed bool) {
	t := j.ticket.(*schedule.Ticket)
	r.core.Close(now, t, schedule.Result{Tokens: tokens, Failed: failed, Partial: tokens != j.Length})
	delete(r.jobs, t)
	if !failed {
		r.retries.RecordSuccess(j.Class.Name)
	}
}

func (r *schedulerRouter) AllowRetry(j *Job) bool {
	return r.retries.Take(j.Class.Name)
}

func (r *schedulerRouter) Report(now time.Time, server string, load schedule.Load) {
	r.core.Report(now, server, load)
}

func (r *schedulerRouter) Apply(now time.Time, s *fleet.Snapshot) {
	r.core.Apply(now, s)
}

func (r *schedulerRouter) ExchangeDemand(now time.Time, peers []Router) {
	names := make([]string, 0, len(peers)+1)
	byName := make(map[string]*schedulerRouter, len(peers))
	for _, p := range peers {
		if peer, ok := p.(*schedulerRouter); ok {
			names = append(names, peer.options.Router)
			byName[peer.options.Router] = peer
		}
	}
	r.core.SetRouters(names)
	r.core.DivideSlots(now)
	demand := r.core.LocalDemand()
	for _, name := range r.core.Peers(now) {
		if peer, ok := byName[name]; ok {
			peer.core.ReceiveDemand(now, share.DemandReport{Router: demand.Router, Pools: demand.Pools})
			r.sentBytes += demand.Size()
		}
	}
}

func (r *schedulerRouter) Period() time.Duration { return r.options.Period }

func (r *schedulerRouter) NextWake() (time.Time, bool) { return r.core.NextWake() }
