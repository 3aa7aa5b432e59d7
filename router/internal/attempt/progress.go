package attempt

import (
	"time"

	"snipetally.example/router/internal/class"
	"snipetally.example/router/internal/link"
)

const (
	// firstTimeoutFactor and betweenTimeoutFactor multiply the expected times to
	// give the progress timeouts. The time between tokens varies more, since an
	// engine processes other prompts in between.
	firstTimeoutFactor   = 2
	betweenTimeoutFactor = 8

	// deviationFactor is how many mean deviations are added to an estimate.
	deviationFactor = 4

	minFirstTimeout   = 200 * time.Millisecond
	minBetweenTimeout = 200 * time.Millisecond

	// minControlTimeout is the minimum timeout of a status or cancel call.
	minControlTimeout = 300 * time.Millisecond

	// controlTimeoutFactor multiplies the round-trip estimate with its deviations
	// to give the timeout of a status or cancel call.
	controlTimeoutFactor = 4
)

// LatencyEstimate holds the learned latencies of a server for requests like this
// one: the times to the first token and between tokens, and their mean
// deviations. Zero fields are unknown. Package caller converts a
// schedule.LatencyEstimate to it, so that this package does not import schedule.
type LatencyEstimate struct {
	FirstToken             time.Duration
	FirstTokenDeviation    time.Duration
	BetweenTokens          time.Duration
	BetweenTokensDeviation time.Duration
}

// ProgressTimeouts holds the times after which the state of an attempt without
// progress is checked. First applies until the first part of the response
// arrives, Between after that.
type ProgressTimeouts struct {
	First   time.Duration
	Between time.Duration
}

// TimeoutsFor returns the progress timeouts of a class on a server. They derive
// from the class's targets, or from the estimate where the server is known to be
// slower.
func TimeoutsFor(c *class.Class, e LatencyEstimate) ProgressTimeouts {
	first := max(c.FirstTokenTarget, e.FirstToken+deviationFactor*e.FirstTokenDeviation)
	between := max(c.BetweenTokensTarget, e.BetweenTokens+deviationFactor*e.BetweenTokensDeviation)
	return ProgressTimeouts{
		First:   max(firstTimeoutFactor*first, minFirstTimeout),
		Between: max(betweenTimeoutFactor*between, minBetweenTimeout),
	}
}

// controlTimeout returns the timeout of a status or cancel call on a link.
func controlTimeout(s link.State) time.Duration {
	return max(minControlTimeout, controlTimeoutFactor*(s.Latency+deviationFactor*s.Deviation))
}
