package schedule

import (
	"slices"
	"strings"
	"time"

	"snipetally.example/router/internal/class"
	"snipetally.example/router/internal/limit"
	"snipetally.example/router/internal/share"
)

// Counts counts decisions since the start.
type Counts struct {
	Granted   uint64
	Completed uint64
	Failed    uint64

	// Refused counts refusals by Reason.
	Refused [Canceled + 1]uint64
}

// LineState describes one queue of waiting requests.
type LineState struct {
	// Target is the model or service, and Partner the partner that owns the
	// teams. Tiers counts the waiting requests by tier.
	Target  string
	Partner string
	Tiers   [class.Tiers]int
	Bytes   int
}

// ServerState describes a server as the router sees it.
type ServerState struct {
	Name string

	// Running counts the router's requests on the server, and Borrowed those
	// among them from other partners. Own is the number of the server's slots
	// that belong to the router.
	Running  int
	Own      int
	Borrowed int

	// Throttle is the fraction of the slots that may be used, from 0 to 1.
	Throttle float64

	// Pace is the measured token latency, or zero if there is none yet.
	Pace time.Duration

	// Blocked is the time until which the server is blocked after failures.
	Blocked time.Time
	Report  Load
}

// State is a copy of a gate's state for the dump of the process's state.
type State struct {
	Revision uint64
	Waiting  int
	Bytes    int
	Lines    []LineState
	Servers  []ServerState
	Counts   Counts

	// Lengths and Prefixes are the numbers of remembered entries.
	Lengths  int
	Prefixes int
}

// State returns a copy of the core's state.
func (c *Core) State() State {
	state := State{
		Waiting:  c.waiting,
		Bytes:    c.bytes,
		Counts:   c.counts,
		Lengths:  c.lengths.Len(),
		Prefixes: c.prefixes.Len(),
	}
	if c.snapshot != nil {
		state.Revision = c.snapshot.Revision
	}
	for key, l := range c.lines {
		line := LineState{Target: key.target, Partner: key.partner, Bytes: l.queue.Bytes()}
		for i := range line.Tiers {
			line.Tiers[i] = l.queue.TierLen(class.Tier(i))
		}
		state.Lines = append(state.Lines, line)
	}
	slices.SortFunc(state.Lines, func(a, b LineState) int {
		return strings.Compare(a.Target+"/"+a.Partner, b.Target+"/"+b.Partner)
	})
	for _, s := range c.orderedServers {
		state.Servers = append(state.Servers, ServerState{
			Name:     s.Name,
			Running:  s.running,
			Own:      s.ownSlots,
			Borrowed: s.borrowed,
			Throttle: s.throttle,
			Pace:     time.Duration(s.tokenLatency * float64(time.Second)),
			Blocked:  s.blockedUntil,
			Report:   s.report,
		})
	}
	return state
}

// State returns a copy of the gate's state.
func (g *Gate) State() State {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.core.State()
}

// Outbox holds the messages that a router sends to others in one period.
type Outbox struct {
	// Demand is sent to each of Peers except the router itself.
	Demand share.DemandReport
	Peers  []string

	// Limits are sent to the router that each of them names.
	Limits []limit.Message
}

// Size estimates the encoded size of all messages in bytes.
func (o *Outbox) Size() int {
	size := o.Demand.Size() * max(len(o.Peers)-1, 0)
	for i := range o.Limits {
		size += o.Limits[i].Size()
	}
	return size
}
