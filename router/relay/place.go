package relay

import (
	"context"
	"time"

	"snipetally.example/router/internal/placement"
	"snipetally.example/router/internal/sharedrate"
)

// place is what an attempt needs at a server: capacity that is reserved there,
// and what was known when the server was chosen.
type place struct {
	reservation *placement.Reservation
	choice      placement.Choice
	chosenAt    time.Time

	// listAge is the age of the list of servers when the server was chosen.
	listAge time.Duration

	// permit allows to send the request to the server, if that names a limit. lease is the
	// request's place among those that all routers have there, from when it has one, and ending how it
	// leaves it.
	permit sharedrate.Permit
	lease  sharedrate.Lease
	ending placeEnding

	// retryTakenAt is when a speculative retry was taken from the budget for it.
	retryTakenAt time.Time

	// kvCopy is the copy of the run's KV cache that the attempt starts from, source
	// the server where the run stopped, and server the one of the place, if it was
	// migrated. atSource says that the place is at the source, and reopened that the
	// attempt there has a pool of its own.
	kvCopy   KVCopy
	source   *leavingServer
	server   *backendServer
	atSource bool
	reopened bool

	// elsewhere says that another router is to make the attempt. Nothing is reserved then.
	elsewhere bool
}

// release gives back the capacity of a place that is not used.
func (at *place) release(now time.Time) {
	if at.reservation != nil {
		at.reservation.Done(now, placement.Canceled)
	}
}

// newPlace returns a place that was reserved now.
func (p *proxiedRequest) newPlace(reservation *placement.Reservation, choice placement.Choice) *place {
	at := &place{reservation: reservation, choice: choice, chosenAt: time.Now(), listAge: p.relay.serversAge()}
	reservation.OnEnd(func() { p.relay.releaseLease(at) })
	return at
}

// secureReplacement reserves what an attempt needs that replaces one at a silent
// server: a speculative retry in the budget, and a place at a server with room
// that is not among those tried. It returns nil if one of them is missing or the
// time is too short. It only reads fields of the request that don't change during
// an attempt.
func (p *proxiedRequest) secureReplacement(ctx context.Context, tried []string) *place {
	r := p.relay
	now := time.Now()
	if !p.take(now, r.retryBudget.TakeSpeculative) {
		return nil
	}
	if next, err := p.elsewhere(); next != nil || err != nil {
		return p.replacementElsewhere(now, next)
	}
	if !r.balancer.HasRoom(now, p.service, tried) {
		p.giveBack(now, r.retryBudget.ReturnSpeculative)
		return nil
	}
	p.askLoads(ctx, tried)
	next, choice, err := p.pick(ctx, p.placementRequest, tried)
	if err != nil {
		p.giveBack(now, r.retryBudget.ReturnSpeculative)
		return nil
	}
	next.retryTakenAt = now
	if !p.hasRoom(choice) || time.Until(p.deadline) < max(choice.ExpectedLatency, minAttemptTime) {
		p.releasePlace(next)
		return nil
	}
	return next
}

// replacementElsewhere returns a place at another router for which a speculative retry was taken
// at a time. If there is none, it gives the retry back and returns nil.
func (p *proxiedRequest) replacementElsewhere(takenAt time.Time, next *place) *place {
	if next == nil {
		p.giveBack(takenAt, p.relay.retryBudget.ReturnSpeculative)
		return nil
	}
	next.retryTakenAt = takenAt
	return next
}

// hasRoom reports whether the chosen server had a free slot.
func (p *proxiedRequest) hasRoom(choice placement.Choice) bool {
	target, ok := (*p.relay.servers.Load())[choice.Server]
	return ok && choice.Running < max(target.Slots, 1)
}

// releasePlace gives back what secureReplacement reserved for an attempt that is
// not made. The place may be nil.
func (p *proxiedRequest) releasePlace(unused *place) {
	if unused == nil {
		return
	}
	unused.release(time.Now())
	p.giveBack(unused.retryTakenAt, p.relay.retryBudget.ReturnSpeculative)
}
