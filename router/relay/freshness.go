package relay

import "time"

const (
	// keyAgeFraction is the fraction of the maximum revocation delay after
	// which a router that can't reach the plan accepts no keys. The rest covers
	// the time between the check and the moment that a caller's request was
	// sent.
	keyAgeFraction = 0.92

	// maxDisconnectTime is how long the plan may be unreachable before the
	// router fails its readiness check and closes callers' connections, so that
	// callers reach routers that can accept their keys.
	maxDisconnectTime = 500 * time.Millisecond
)

// planOlderThan reports whether more than a fraction of the maximum revocation
// delay has passed since the plan was last known to be the newest. Without such
// a bound it is always false.
func (r *relay) planOlderThan(fraction float64) bool {
	bound := r.bounds.Load().MaxRevocationDelay
	if bound == 0 {
		return false
	}
	asOf, ok := r.options.planAsOf()
	return !ok || r.options.clock()-asOf > time.Duration(fraction*float64(bound))
}

// disconnected reports whether the router has lost contact with the plan while
// keys must be revoked in bounded time.
func (r *relay) disconnected() bool {
	return r.bounds.Load().MaxRevocationDelay > 0 && r.options.planUnreachableFor() > maxDisconnectTime
}

// refuseStalePlan refuses a request because the router has no plan, or one too
// old to tell whether the request may run. The caller is told to retry sooner
// if another router has a fresher plan.
func (p *proxiedRequest) refuseStalePlan(reason string) {
	p.relay.metrics.stale.Inc(1)
	after := longRetryDelay
	if p.relay.options.peerHasFresherPlan(time.Duration(keyAgeFraction * float64(p.relay.bounds.Load().MaxRevocationDelay))) {
		after = otherRouterDelay
	}
	p.refuse(reason, after)
}

// serversAge returns the time since the list of servers was last known to be
// current, or a negative value without a list.
func (r *relay) serversAge() time.Duration {
	asOf, ok := r.options.serversAsOf()
	if !ok {
		return -time.Millisecond
	}
	return r.options.clock() - asOf
}

// planAge returns the time since the plan was last known to be the newest, and
// false without a plan.
func (r *relay) planAge() (time.Duration, bool) {
	asOf, ok := r.options.planAsOf()
	if !ok {
		return 0, false
	}
	return r.options.clock() - asOf, true
}
