package relay

import (
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
func (s *leavingServer) returnEnd() time.Time {
	return s.since.Add(fractionOf(s.drain, returnFraction) - returnMargin)
}

// backendServer returns the server with a pool of its own, as it is no longer
// among those that accept requests.
func (s *leavingServer) backendServer() *backendServer {
	return &backendServer{Server: s.Server, pool: hop.NewPool(s.Address), usage: newServerUsage(s.Server)}
}

// placeAtSource returns a place at the server where a run stopped for its
// migration, which failed there or at the destination. That server still has the
// KV cache. It returns nil if the run may not go back, or if the request may run
// again and goes to another server instead.
func (p *proxiedRequest) placeAtSource(migrated *place) *place {
	source := migrated.source
	if source == nil || migrated.atSource || migrated.kvCopy.Handle == "" || p.class.Retryable() ||
		time.Now().After(source.returnEnd()) {
		return nil
	}
	reservation := p.relay.balancer.ReserveLeaving(time.Now(), p.placementRequest, placement.Server{
		ID: source.ID, Service: source.Service, Zone: source.Zone, Slots: source.Slots,
	})
	back := p.newPlace(reservation, placement.Choice{Server: source.ID})
	back.kvCopy, back.source, back.atSource = migrated.kvCopy, source, true
	return back
}
