// Package class describes request classes: the latency targets of their
// requests and their importance. It holds plain data and imports no other
// package of the router.
package class

import "time"

// Tier ranks classes by importance. Tier 0 is the most important one.
type Tier uint8

// Tiers is the number of tiers that a deployment may use.
const Tiers = 6

// OutagePolicy is how a call that may run at most once is handled while the
// table service, which holds the at-most-once records, is unreachable.
type OutagePolicy uint8

const (
	// OutageRefuse rejects the call and tells the caller that it did not run.
	OutageRefuse OutagePolicy = iota

	// OutageAttempt makes a single attempt without a record. The router does
	// not detect a retry of such a call by the caller.
	OutageAttempt
)

// Class describes a request class.
type Class struct {
	Name string
	Tier Tier

	// Partner is the name of the partner that owns the class. Only its operators
	// may change the class. The class is shared if Partner is empty.
	Partner string

	// Protected means that requests of the class are never shed or preempted to
	// make room for a lower tier.
	Protected bool

	// AtMostOnce means that requests of the class are not idempotent and may run
	// at most once.
	AtMostOnce bool

	// Outage is the policy for calls that may run at most once.
	Outage OutagePolicy

	// FirstTokenTarget is the target for the time to the first token. For plain
	// services it is the target for the time to the response headers.
	FirstTokenTarget time.Duration

	// BetweenTokensTarget is the target for the mean time between two
	// successive tokens.
	BetweenTokensTarget time.Duration

	// QueueTimeout bounds the time that a request may wait in a queue, counted
	// from its arrival.
	QueueTimeout time.Duration

	// Weight is the relative share of the class among the classes of its tier.
	Weight float64

	// Floor is the minimum fraction of the capacity, from 0 to 1, that serves
	// the class while it has requests waiting.
	Floor float64

	// MaxQueued is the maximum number of requests of the class that may wait at
	// one router.
	MaxQueued int
}
