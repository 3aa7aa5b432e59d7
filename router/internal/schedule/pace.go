package schedule

import "time"

// Latency is what the gate has learned of a server, for requests like one that it
// was granted to. Zero fields are not known.
type Latency struct {
	// FirstToken is the time from dispatch to the first token, and Deviation how
	// much it varies.
	FirstToken time.Duration
	Deviation  time.Duration

	// BetweenTokens is the time between two tokens.
	BetweenTokens time.Duration
}

// Latency returns what is known of the grant's server.
func (g *Grant) Latency() Latency {
	g.gate.mu.Lock()
	defer g.gate.mu.Unlock()
	t := g.ticket
	first := t.server.start
	if !t.set.service {
		first += float64(t.Request.PromptTokens) / prefillRate
	}
	return Latency{
		FirstToken:    seconds(first),
		Deviation:     seconds(t.set.deviation),
		BetweenTokens: seconds(t.server.paceOf(time.Now(), t.set.pace)),
	}
}

func seconds(s float64) time.Duration {
	return time.Duration(s * float64(time.Second))
}
