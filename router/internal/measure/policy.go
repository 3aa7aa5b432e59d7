package measure

import (
	"time"

	"snipetally.example/router/internal/attempt"
	"snipetally.example/router/internal/fleet"
	"snipetally.example/router/internal/schedule"
	"snipetally.example/router/internal/share"
)

// coreRouter runs the product's Core.
type coreRouter struct {
	core    *schedule.Core
	options schedule.Options
	byTick  map[*schedule.Ticket]*Job
	early   []Decision
	retries *attempt.RetryBudget

	// sent counts the bytes of the notes that it sent.
	sent int
}

// newCoreRouter returns a router that runs a Core.
func newCoreRouter(options schedule.Options, s *fleet.Snapshot) *coreRouter {
	r := &coreRouter{
		core:    schedule.NewCore(options),
		options: options,
		byTick:  make(map[*schedule.Ticket]*Job),
		retries: attempt.NewRetryBudget(0, 0),
	}
	r.core.Apply(base, s)
	return r
}

func (r *coreRouter) Submit(now time.Time, j *Job) {
	t := r.core.Submit(now, j.Request)
	j.handle = t
	if t.Status == schedule.Refused {
		r.early = append(r.early, Decision{Job: j, Refused: true})
		return
	}
	r.byTick[t] = j
}

func (r *coreRouter) Decide(now time.Time) []Decision {
	decisions := r.early
	r.early = nil
	for _, t := range r.core.Decide(now) {
		j := r.byTick[t]
		if t.Status == schedule.Refused {
			delete(r.byTick, t)
			decisions = append(decisions, Decision{Job: j, Refused: true})
			continue
		}
		decisions = append(decisions, Decision{Job: j, Server: t.Server.Name, Priority: t.Priority})
	}
	return decisions
}

func (r *coreRouter) Cancel(_ time.Time, j *Job) {
	r.core.Cancel(j.handle.(*schedule.Ticket))
}

func (r *coreRouter) RecordFirstToken(now time.Time, j *Job, cached int) {
	r.core.RecordFirstToken(now, j.handle.(*schedule.Ticket), cached)
}

func (r *coreRouter) RecordTokens(now time.Time, j *Job, total int) {
	r.core.RecordTokens(now, j.handle.(*schedule.Ticket), total)
}

func (r *coreRouter) Finish(now time.Time, j *Job, tokens int, failed bool) {
	t := j.handle.(*schedule.Ticket)
	r.core.Close(now, t, schedule.Result{Tokens: tokens, Failed: failed, Partial: tokens != j.Length})
	delete(r.byTick, t)
	if !failed {
		r.retries.RecordSuccess(j.Class.Name)
	}
}

func (r *coreRouter) AllowRetry(j *Job) bool {
	return r.retries.Take(j.Class.Name)
}

func (r *coreRouter) Report(now time.Time, server string, load schedule.Load) {
	r.core.Report(now, server, load)
}

func (r *coreRouter) Apply(now time.Time, s *fleet.Snapshot) {
	r.core.Apply(now, s)
}

func (r *coreRouter) ExchangeDemand(now time.Time, peers []Router) {
	names := make([]string, 0, len(peers)+1)
	byName := make(map[string]*coreRouter, len(peers))
	for _, p := range peers {
		if peer, ok := p.(*coreRouter); ok {
			names = append(names, peer.options.Router)
			byName[peer.options.Router] = peer
		}
	}
	r.core.SetRouters(names)
	r.core.DivideSlots(now)
	note := r.core.LocalDemand()
	for _, name := range r.core.Peers(now) {
		if peer, ok := byName[name]; ok {
			peer.core.ReceiveDemand(now, share.DemandReport{Router: note.Router, Pools: note.Pools})
			r.sent += note.Size()
		}
	}
}

func (r *coreRouter) Period() time.Duration { return r.options.Period }

func (r *coreRouter) NextWake() (time.Time, bool) { return r.core.NextWake() }
