// Package class describes request classes: what their requests are promised
// and how much they matter. It holds plain data and imports nothing of the
// router.
package class

import "time"

// Tier ranks classes by importance. Zero is the most important tier.
type Tier uint8

// Tiers is the number of tiers that a deployment may use.
const Tiers = 6

// OutagePolicy says what a call that may run at most once gets while the table
// service, which holds the at-most-once records, can't be reached.
type OutagePolicy uint8

const (
	// OutageRefuse refuses the call. The caller is told that it did not run.
	OutageRefuse OutagePolicy = iota

	// OutageAttempt makes a single attempt without a record. The router does
	// not protect against the caller's own retry of such a call.
	OutageAttempt
)

// Class is a request class after the preset in force was applied to it.
type Class struct {
	Name string
	Tier Tier

	// Partner owns the class. Only its operators may change the class. An
	// empty Partner means that the class is shared.
	Partner string

	// Protected requests are never shed or preempted to make room for a
	// lower tier.
	Protected bool

	// AtMostOnce marks requests that are not idempotent.
	AtMostOnce bool
	Outage     OutagePolicy

	// FirstTokenTarget is the target for the time to the first token. For plain
	// services it is the target for the response headers.
	FirstTokenTarget time.Duration

	// BetweenTokensTarget is the target for the mean time between two tokens.
	BetweenTokensTarget time.Duration

	// QueueTimeout bounds the time that a request may wait in a queue.
	QueueTimeout time.Duration

	// Weight is the share of the class among the classes of its tier.
	Weight float64

	// Floor is the fraction of the capacity, from 0 to 1, that the class is
	// served with at least while it has requests waiting.
	Floor float64

	// MaxQueued is the largest number of requests of the class that one router
	// lets wait.
	MaxQueued int
}

// Outranks reports whether c matters more than other.
func (c *Class) Outranks(other *Class) bool {
	return c.Tier < other.Tier
}
