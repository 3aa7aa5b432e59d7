package relay

import (
	"time"

	"snipetally.example/router/internal/hop"
	"snipetally.example/router/internal/placement"
)

// stoppedRunFraction is the fraction of the drain timeout, from the earliest time at which a
// server can have begun to leave, in which it may be sent a run that was stopped for a migration.
// The rest is for the way of the request.
const stoppedRunFraction = 0.9

// longAgo is the time on the clock from which a server counts as leaving if nothing bounds when it
// began to.
const longAgo = 1

// leavingServer is a server that leaves, and since when the router knows it.
type leavingServer struct {
	*backendServer
	since time.Time
	drain time.Duration
}

// reopened returns the server with a pool of its own, as that of a server that left the list is
// closed.
func (b *backendServer) reopened() *backendServer {
	return &backendServer{Server: b.Server, pool: hop.NewPool(b.Address), usage: b.usage}
}

// replaces reports whether a listed server is one that was listed before, or accepts requests in the same
// lifetime, as its entry was gone for a moment only.
func (b *backendServer) replaces(before *backendServer) bool {
	return b.usage == before.usage || !b.Draining && b.sameLifetime(before.Server)
}

// recordLeaving records that a server leaves. It began to at the earliest at the time on the clock up
// to which it is known not to have.
func (r *relay) recordLeaving(b *backendServer, knownUntil func() (time.Duration, bool)) {
	since, _ := knownUntil()
	b.usage.leavingSince.CompareAndSwap(0, max(int64(since), longAgo))
}

// takesStoppedRuns reports whether a server that leaves may still be sent a run that was stopped
// for a migration, which has nowhere else to go. It serves for at least the drain timeout.
func (r *relay) takesStoppedRuns(b *backendServer) bool {
	since := time.Duration(b.usage.leavingSince.Load())
	return since > 0 && r.options.clock() < since+fractionOf(r.bounds.Load().DrainTimeout, stoppedRunFraction)
}

// placeAtSource returns a place at the server where a run stopped for its
// migration, which failed there or at the destination. That server still has the
// KV cache. It returns nil if the run may not go back, or if the request may run
// again and goes to another server instead.
func (p *proxiedRequest) placeAtSource(migrated *place) *place {
	source := migrated.source
	if source == nil || migrated.atSource || migrated.kvCopy.Handle == "" || p.class.Retryable() ||
		!p.relay.takesStoppedRuns(source.backendServer) {
		return nil
	}
	reservation := p.relay.balancer.ReserveLeaving(time.Now(), p.placementRequest, placement.Server{
		ID: source.ID, Service: source.Service, Zone: source.Zone, Slots: source.Slots,
	})
	back := p.newPlace(reservation, placement.Choice{Server: source.ID})
	back.kvCopy, back.source, back.atSource = migrated.kvCopy, source, true
	back.server = source.backendServer
	return back
}
