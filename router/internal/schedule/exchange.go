package schedule

import (
	"context"
	"time"

	"snipetally.example/router/internal/limit"
	"snipetally.example/router/internal/share"
)

// Exchange sends messages to other routers. Messages may be lost or delayed.
type Exchange interface {
	// Routers returns the names of all routers. It may or may not include the
	// router itself.
	Routers() []string

	// SendDemand and SendLimits send a message without waiting for an answer.
	SendDemand(to string, report share.DemandReport)
	SendLimits(message limit.Message)
}

// demandBytesPerSecond bounds the traffic of demand reports in bytes per second.
const demandBytesPerSecond = 2000

// Run sends demand and messages about team limits to other routers until ctx
// ends, and returns the error of ctx. A gate for which Run is not called uses
// all slots itself.
func (g *Gate) Run(ctx context.Context, exchange Exchange) error {
	limitsSentAt := time.Now()
	for {
		names := exchange.Routers()
		withLimits := time.Since(limitsSentAt) >= limit.ReportInterval
		if withLimits {
			limitsSentAt = time.Now()
		}
		out, period := g.outbox(names, withLimits)
		for _, peer := range out.Peers {
			if peer != out.Demand.Router {
				exchange.SendDemand(peer, out.Demand)
			}
		}
		for _, message := range out.Limits {
			exchange.SendLimits(message)
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

// outbox recomputes the division of slots and returns the messages to send to
// other routers, and the time until the next call. withLimits includes the
// messages about team limits.
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
	period := share.Period(len(out.Peers), out.Demand.Size(), demandBytesPerSecond)
	g.core.allocator.SetPeriod(period)
	return out, period
}

// ReceiveDemand records the demand report of another router.
func (g *Gate) ReceiveDemand(report share.DemandReport) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.core.ReceiveDemand(time.Now(), report)
}

// ReceiveLimits processes another router's message about team limits.
func (g *Gate) ReceiveLimits(message limit.Message) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.core.limiter.Receive(time.Now(), message)
}

// RemoveRouter discards the demand of a router that has left.
func (g *Gate) RemoveRouter(router string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.core.RemoveRouter(router)
}

// CacheEvent records an engine's event that a prefix entered its cache, or left
// it if cached is false.
func (g *Gate) CacheEvent(server string, prefix uint64, cached bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.core.CacheEvent(time.Now(), server, prefix, cached)
}
