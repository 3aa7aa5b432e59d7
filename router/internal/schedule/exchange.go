package schedule

import (
	"context"
	"time"

	"snipetally.example/router/internal/limit"
	"snipetally.example/router/internal/share"
)

// Exchange carries messages to other routers. It may lose or delay them.
type Exchange interface {
	// Routers returns the names of all routers, with or without the own one.
	Routers() []string

	// SendDemand and SendLimit pass on a message without waiting for an answer.
	SendDemand(to string, note share.DemandReport)
	SendLimit(message limit.Message)
}

// shareBudget is the traffic for notes in bytes a second.
const shareBudget = 2000

// Run exchanges demand with other routers until ctx ends. Without it the gate
// takes all slots for its own.
func (g *Gate) Run(ctx context.Context, exchange Exchange) error {
	limits := time.Now()
	for {
		names := exchange.Routers()
		withLimits := time.Since(limits) >= limit.Period
		if withLimits {
			limits = time.Now()
		}
		out, period := g.outbox(names, withLimits)
		for _, peer := range out.Peers {
			if peer != out.Demand.Router {
				exchange.SendDemand(peer, out.Demand)
			}
		}
		for _, message := range out.Limits {
			exchange.SendLimit(message)
		}
		timer := time.NewTimer(period)
		select {
		case <-ctx.Done():
			timer.Stop()
			return ctx.Err()
		case <-timer.C:
		}
	}
}

// outbox divides the slots anew and returns what to tell others, and when to
// do so again.
func (g *Gate) outbox(routers []string, withLimits bool) (Outbox, time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	g.core.SetRouters(routers)
	g.core.DivideSlots(now)
	out := Outbox{Demand: g.core.LocalDemand(), Peers: g.core.Peers(now)}
	if withLimits {
		out.Limits = g.core.limiter.EndPeriod(now)
	}
	g.decide(now)
	period := share.Period(len(out.Peers), out.Demand.Size(), shareBudget)
	g.core.book.SetPeriod(period)
	return out, period
}

// Hear takes in the note of another router.
func (g *Gate) Hear(note share.DemandReport) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.core.ReceiveDemand(time.Now(), note)
}

// HearLimit takes in another router's message about limits.
func (g *Gate) HearLimit(message limit.Message) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.core.limiter.Receive(time.Now(), message)
}

// RemoveRouter forgets the demand of a router that is gone.
func (g *Gate) RemoveRouter(router string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.core.RemoveRouter(router)
}

// CacheEvent takes in an engine's event: whether a prefix entered or left its
// cache.
func (g *Gate) CacheEvent(server string, prefix uint64, kept bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.core.CacheEvent(time.Now(), server, prefix, kept)
}
