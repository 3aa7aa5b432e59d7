package schedule

import (
	"time"

	"snipetally.example/router/internal/backend"
	"snipetally.example/router/internal/class"
	"snipetally.example/router/internal/queue"
)

// Status is the state of a ticket. It changes from Waiting to Granted or
// Refused, and from Granted to Closed.
type Status uint8

const (
	// Waiting tickets are in a queue.
	Waiting Status = iota

	// Granted tickets run on a server.
	Granted

	// Refused tickets were not and will not be dispatched.
	Refused

	// Closed tickets have released their slot.
	Closed
)

// Ticket tracks a request in a Core, which sets its exported fields.
type Ticket struct {
	Request Request
	Status  Status

	// Refusal is set once the ticket is refused.
	Refusal *Refusal

	// Server, Priority and Waited are set once the ticket is granted.
	Server   *backend.Server
	Priority int
	Waited   time.Duration

	item   queue.Item[*Ticket]
	line   *line
	server *server
	set    *serverSet

	// timerIndex is the position in the core's timers, or -1.
	timerIndex int
	wakeAt     time.Time

	// expectedTokens is the expected number of output tokens, and limitTokens
	// the number of tokens charged to the team's limits, or zero if it has no
	// limits.
	expectedTokens float64
	limitTokens    float64

	// prefillTokens is the estimated part of the prompt, in tokens, that the
	// server still has to process.
	prefillTokens float64

	dispatchedAt         time.Time
	firstTokenAt         time.Time
	tokens               int
	latencySampledAt     time.Time
	latencySampledTokens int

	// borrowed, tier and latencyCritical keep the values from the time of the
	// grant, so that the release undoes the same counts.
	borrowed        bool
	tier            class.Tier
	latencyCritical bool

	// done is closed to wake the goroutine that waits for the ticket. It is nil
	// if there is none.
	done chan struct{}
}

// item is a ticket's entry in a queue.
type item = queue.Item[*Ticket]

// lineKey identifies a line: a model or service, and the partner whose teams
// wait in it.
type lineKey struct {
	target  string
	service bool
	partner string
}

// line is a queue with the sets of servers that it may use. ownSets are the
// partner's own sets and those without an owner, or all sets if the line has no
// partner; lentSets are those that other partners lend.
type line struct {
	key      lineKey
	queue    *queue.Queue[*Ticket]
	ownSets  []*serverSet
	lentSets []loan
}

// loan is a lender's set and the fraction of it that is lent.
type loan struct {
	set   *serverSet
	share float64
}
