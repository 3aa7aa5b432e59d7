package relay

import (
	"context"
	"time"

	"github.com/juju/errors"
)

// errStopping means that the router stops and that the request can't be expected to end before.
const errStopping = errors.ConstError("stopping")

// stop starts the shutdown: from now on responses tell callers to close the connection. After the
// linger time requests are refused, and those that have not run are not begun unless they end
// before the time on the clock at which all are cut off.
func (r *relay) stop(linger time.Duration, cutOffAt time.Duration) {
	r.cutOffAt.Store(int64(cutOffAt))
	r.lingerUntil.Store(int64(r.options.clock() + linger))
}

// stopping reports whether the router was told to stop.
func (r *relay) stopping() bool { return r.lingerUntil.Load() != 0 }

// refusesRequests reports whether the relay is stopping and its linger time is
// over.
func (r *relay) refusesRequests() bool {
	until := r.lingerUntil.Load()
	return until != 0 && r.options.clock() >= time.Duration(until)
}

// mayBegin reports whether the request may be sent to a server, or to a router that has it run. One
// that has not run is not begun by a stopping router that may have to cut it off: it can be
// refused truly, and another router can run it to its end. One that may have run can't.
func (p *proxiedRequest) mayBegin() bool {
	return p.executions > 0 || !p.relay.refusesRequests() || p.timeToBegin() >= 0
}

// timeToBegin returns for how much longer the request may be sent to a server for the first time,
// which is negative if it is too late: a request has ended by its deadline, and most likely once
// it has taken far longer than others of its class.
func (p *proxiedRequest) timeToBegin() time.Duration {
	left := time.Duration(p.relay.cutOffAt.Load()) - p.relay.options.clock()
	now := time.Now()
	if p.deadline.Sub(now) <= left {
		return left
	}
	bound, ok := p.relay.runTimes.bound(now, p.class.Name)
	if !ok {
		return -1
	}
	return left - bound
}

// untilTooLate returns a context that ends once the request may not be begun any more. Its other
// goroutine reads only fields of the request that don't change after prepare.
func (p *proxiedRequest) untilTooLate(ctx context.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(ctx)
	if p.executions > 0 {
		return ctx, cancel
	}
	stopWaiting := context.AfterFunc(p.relay.lingering, func() {
		for left := p.timeToBegin(); left >= 0 && ctx.Err() == nil; left = p.timeToBegin() {
			sleep(ctx, max(left, time.Millisecond))
		}
		cancel()
	})
	return ctx, func() {
		stopWaiting()
		cancel()
	}
}

// recordRunTime records how long the request took since it could be sent, if it ran.
func (p *proxiedRequest) recordRunTime() {
	if p.executions > 0 {
		now := time.Now()
		p.relay.runTimes.record(now, p.class.Name, now.Sub(p.readAt))
	}
}
