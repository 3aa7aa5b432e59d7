package relay

import (
	"context"
	"fmt"
	"time"

	"snipetally.example/router/internal/hop"
	"snipetally.example/router/internal/placement"
)

const (
	// returnFraction is the fraction of the drain timeout, from when the router
	// learned that a server leaves, in which a run may go back to that server.
	// The rest covers the time for which the list of servers may have been
	// outdated, and returnMargin the way of the request.
	returnFraction = 0.5
	returnMargin   = 100 * time.Millisecond
)

// leavingServer is a server that leaves, and since when the router knows it.
type leavingServer struct {
	Server
	since time.Time
	drain time.Duration
}

// returnEnd returns until when a run may go back to the server.
func (s leavingServer) returnEnd() time.Time {
	return s.since.Add(fractionOf(s.drain, returnFraction) - returnMargin)
}

// mayReturn reports whether a run may go back to the server where it stopped.
// That server still has the KV cache. A request that may run again goes to
// another server instead.
func (p *proxiedRequest) mayReturn(migration migrationResult) bool {
	return migration.kvCopy.Handle != "" && !p.class.Retryable() && time.Now().Before(migration.source.returnEnd())
}

// returnToSource continues a run at the server where it stopped, after its
// migration has failed there or at the destination. It reports whether that ended
// the request.
func (p *proxiedRequest) returnToSource(ctx context.Context, migration migrationResult) bool {
	if !p.mayReturn(migration) {
		return false
	}
	source := migration.source
	p.kvCopy = migration.kvCopy
	p.recordChoice(placement.Choice{Server: source.ID}, time.Now(), p.relay.serversAge())
	p.executions-- // The run counts once.
	result, err := p.attemptAtSource(ctx, source)
	return p.finishMigrated(result, err)
}

// attemptAtSource sends the request to a server that leaves. It takes the place of
// attempt, which sends to servers that accept requests only.
func (p *proxiedRequest) attemptAtSource(ctx context.Context, source leavingServer) (attemptResult, error) {
	target := &backendServer{Server: source.Server, pool: hop.NewPool(source.Address), usage: &serverUsage{}}
	defer target.pool.Close()
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	p.relay.streams.add(p, source.ID)
	defer p.relay.streams.remove(p)
	reservation := p.relay.balancer.ReserveLeaving(time.Now(), p.placementRequest, placement.Server{
		ID: source.ID, Service: source.Service, Zone: source.Zone, Slots: source.Slots,
	})
	watch := p.watch(reservation, cancel)
	defer watch.stop()
	request := p.hopRequest(target)
	request.BeforeWrite = func() error {
		if time.Now().After(source.returnEnd()) {
			return fmt.Errorf("return to source: %w", errServerLeaving)
		}
		p.sendDelay = time.Since(p.chosenAt)
		return nil
	}
	response, err := target.pool.Send(ctx, request)
	if err != nil {
		return p.handleSendError(ctx, reservation, target, err)
	}
	defer response.Close()
	result, err := p.relayResponse(response, reservation, watch)
	reservation.Done(time.Now(), p.placementOutcome(ctx, result, response))
	if result != notExecuted {
		p.executions++
	}
	return result, err
}
