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

	item           queue.Item[*Ticket]
	line           *line
	server         *server
	set            *serverSet
	timerIndex     int
	wakeAt         time.Time
	expectedTokens float64
	limitTokens    float64

	// prefillTokens is the estimated part of the prompt, in tokens, that the
	// server still has to process.
	prefillTokens float64

	dispatchedAt      time.Time
	firstTokenAt      time.Time
	tokens            int
	paceSampledAt     time.Time
	paceSampledTokens int
	borrowed          bool
	tier              class.Tier
	latencyCritical   bool

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

// line is a queue with the sets of servers that it may use: the partner's own
// ones and those lent to it.
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
