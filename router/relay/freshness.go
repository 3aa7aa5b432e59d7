package relay

import "time"

const (
	// keyPart is the part of the revocation bound after which a router that
	// can't reach the plan takes no keys. The rest covers the time between the
	// check and the moment that a caller's request was sent.
	keyPart = 0.92

	// readyPart is the part of the bound after which the router asks to be
	// left alone, so that callers reach routers that can take their keys.
	readyPart = 0.75
)

// outdated reports whether the plan was last known to be the newest longer ago
// than a part of the revocation bound. Without a bound it never is.
func (r *relay) outdated(part float64) bool {
	bound := r.options.bounds.Revocation
	if bound == 0 {
		return false
	}
	asOf, ok := r.options.asOf()
	return !ok || r.options.clock()-asOf > time.Duration(part*float64(bound))
}

// age returns for how long the plan has not been known to be the newest.
func (r *relay) age() time.Duration {
	asOf, ok := r.options.asOf()
	if !ok {
		return -1
	}
	return r.options.clock() - asOf
}
