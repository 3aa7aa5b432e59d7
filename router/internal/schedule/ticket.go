package schedule

import (
	"time"

	"snipetally.example/router/internal/backend"
	"snipetally.example/router/internal/class"
	"snipetally.example/router/internal/queue"
)

// Status is where a ticket stands. It changes from Waiting to Granted, Refused
// or nothing else, and from Granted to Closed.
type Status uint8

const (
	// Waiting tickets are in a queue.
	Waiting Status = iota

	// Granted tickets have a place on a server.
	Granted

	// Refused tickets were not and will not be dispatched.
	Refused

	// Closed tickets gave their place back.
	Closed
)

// Ticket is a request in the hands of a Core. Its fields are set by the Core.
type Ticket struct {
	Request Request
	Status  Status

	// Refusal is set once the ticket is refused.
	Refusal *Refusal

	// Server, Priority and Waited are set once the ticket is granted.
	Server   *backend.Server
	Priority int
	Waited   time.Duration

	item     queue.Item[*Ticket]
	line     *line
	server   *server
	set      *set
	timer    int
	until    time.Time
	expected float64
	limited  float64

	// prefill is the part of the prompt that the server still has to take in,
	// as far as is known.
	prefill float64

	dispatched time.Time
	first      time.Time
	tokens     int
	sampleAt   time.Time
	sampled    int
	borrowed   bool
	level      class.Tier
	pressing   bool

	// signal wakes the goroutine that waits for the ticket, if there is one.
	signal chan struct{}
}

// item is a ticket's place in a queue.
type item = queue.Item[*Ticket]

// lineKey names a line: a model or service, and the partner whose teams wait
// in it.
type lineKey struct {
	target  string
	service bool
	partner string
}

// line is a queue with the sets of servers that it may use: the partner's own
// and those that are lent to it.
type line struct {
	key   lineKey
	queue *queue.Queue[*Ticket]
	own   []*set
	lent  []loan
}

// loan is a lender's set and the fraction of it that is lent.
type loan struct {
	set   *set
	share float64
}
