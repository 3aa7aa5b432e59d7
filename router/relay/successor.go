package relay

import (
	"context"
	"time"

	"snipetally.example/router/internal/placement"
)

// successor is a place at a server for the next attempt of a request, reserved
// before the attempt in progress ends.
type successor struct {
	reservation *placement.Reservation
	choice      placement.Choice
	chosenAt    time.Time
	listAge     time.Duration

	// retryTakenAt is when the retry was taken from the budget.
	retryTakenAt time.Time

	// kvCopy is the copy of the run's KV cache at that server, if the run was
	// migrated.
	kvCopy KVCopy
}

// secureSuccessor reserves what a further attempt takes: a retry within the
// budget, and a place at a server other than those tried that can answer before
// the deadline. It returns nil if any of them is missing. It only reads fields
// of the request that don't change during an attempt.
func (p *proxiedRequest) secureSuccessor(ctx context.Context, tried []string) *successor {
	r := p.relay
	now := time.Now()
	if !r.balancer.HasRoom(now, p.service, tried) || !r.retryBudget.TakeSpeculative(now, p.service) {
		return nil
	}
	p.askLoads(ctx, tried)
	reservation, choice, err := r.balancer.Pick(time.Now(), p.placementRequest, tried)
	if err != nil {
		r.retryBudget.ReturnSpeculative(now, p.service)
		return nil
	}
	next := &successor{
		reservation: reservation, choice: choice, chosenAt: time.Now(), listAge: r.serversAge(), retryTakenAt: now,
	}
	if time.Until(p.deadline) < max(choice.ExpectedLatency, minAttemptTime) {
		p.releaseSuccessor(next)
		return nil
	}
	return next
}

// releaseSuccessor gives back what secureSuccessor reserved for an attempt that is
// not made. The successor may be nil.
func (p *proxiedRequest) releaseSuccessor(next *successor) {
	if next == nil {
		return
	}
	next.reservation.Done(time.Now(), placement.Canceled)
	p.relay.retryBudget.ReturnSpeculative(next.retryTakenAt, p.service)
}
