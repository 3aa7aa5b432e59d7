package schedule

import "time"

// LatencyEstimate describes what the gate has learned about the latency of a
// server, for requests like the one that was granted. Zero fields are unknown.
type LatencyEstimate struct {
	// FirstToken is the time from dispatch to the first token, and
	// FirstTokenDeviation its mean absolute deviation.
	FirstToken          time.Duration
	FirstTokenDeviation time.Duration

	// BetweenTokens is the time between two consecutive tokens.
	BetweenTokens time.Duration
}

// Latency returns the current estimates for the grant's server.
func (g *Grant) Latency() LatencyEstimate {
	g.gate.mu.Lock()
	defer g.gate.mu.Unlock()
	t := g.ticket
	first := t.server.startDelay
	if !t.set.service {
		first += float64(t.Request.PromptTokens) / prefillRate
	}
	return LatencyEstimate{
		FirstToken:          seconds(first),
		FirstTokenDeviation: seconds(t.set.deviation),
		BetweenTokens:       seconds(t.server.decayedTokenLatency(time.Now(), t.set.tokenLatency)),
	}
}

// seconds converts a number of seconds to a duration.
func seconds(s float64) time.Duration {
	return time.Duration(s * float64(time.Second))
}
