package relay

import "time"

const (
	// keyPart is the part of the revocation bound after which a router that
	// can't reach the plan takes no keys. The rest covers the time between the
	// check and the moment that a caller's request was sent.
	keyPart = 0.92

	// cutOffTime is for how long the plan may be out of reach before the router
	// sends callers away, so that they reach routers that can take their keys.
	cutOffTime = 500 * time.Millisecond
)

// outdated reports whether the plan was last known to be the newest longer ago
// than a part of the revocation bound. Without a bound it never is.
func (r *relay) outdated(part float64) bool {
	bound := r.bounds.Load().MaxRevocationDelay
	if bound == 0 {
		return false
	}
	asOf, ok := r.options.asOf()
	return !ok || r.options.clock()-asOf > time.Duration(part*float64(bound))
}

// cutOff reports whether the router is losing touch with the plan though keys
// depend on it.
func (r *relay) cutOff() bool {
	return r.bounds.Load().MaxRevocationDelay > 0 && r.options.away() > cutOffTime
}

// refuseOutdated refuses a request since the router has no plan, or one too old
// to tell whether the request may run. If another router knows a newer one, the
// caller may go there at once.
func (x *exchange) refuseOutdated(reason string) {
	x.relay.meters.stale.Inc(1)
	after := later
	if x.relay.options.others(time.Duration(keyPart * float64(x.relay.bounds.Load().MaxRevocationDelay))) {
		after = atOnce
	}
	x.refuse(reason, after)
}

// age returns for how long the plan has not been known to be the newest.
func (r *relay) age() time.Duration {
	asOf, ok := r.options.asOf()
	if !ok {
		return -1
	}
	return r.options.clock() - asOf
}
