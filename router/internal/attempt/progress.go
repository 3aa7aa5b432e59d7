package attempt

import (
	"time"

	"snipetally.example/router/internal/class"
	"snipetally.example/router/internal/link"
)

const (
	// firstFactor and betweenFactor are how many times the expected time may
	// pass before an attempt is looked after. The time between tokens varies
	// more, since an engine takes up other prompts in between.
	firstFactor   = 2
	betweenFactor = 8

	// deviations is how many mean deviations the learned pace is widened by.
	deviations = 4

	minFirst   = 200 * time.Millisecond
	minBetween = 200 * time.Millisecond

	// minControl is the least time that a status or cancel call gets.
	minControl = 300 * time.Millisecond

	// controlFactor is how many times the widened round trip it gets at least.
	controlFactor = 4
)

// LatencyEstimate is the learned pace of a server for requests like this one. Zero fields
// are not known.
type LatencyEstimate struct {
	First            time.Duration
	FirstDeviation   time.Duration
	Between          time.Duration
	BetweenDeviation time.Duration
}

// ProgressTimeouts holds the deadlines after which an attempt without progress is
// looked after.
type ProgressTimeouts struct {
	First   time.Duration
	Between time.Duration
}

// TimeoutsFor returns the progress deadlines of a class on a server. They follow
// the class's targets, or the learned pace where the server is known to be
// slower.
func TimeoutsFor(c *class.Class, p LatencyEstimate) ProgressTimeouts {
	first := max(c.FirstToken, p.First+deviations*p.FirstDeviation)
	between := max(c.BetweenTokens, p.Between+deviations*p.BetweenDeviation)
	return ProgressTimeouts{
		First:   max(firstFactor*first, minFirst),
		Between: max(betweenFactor*between, minBetween),
	}
}

// control returns the time that a status or cancel call gets on a link.
func control(s link.State) time.Duration {
	return max(minControl, controlFactor*(s.Latency+deviations*s.Deviation))
}
