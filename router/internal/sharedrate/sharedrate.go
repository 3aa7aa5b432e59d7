// Package sharedrate keeps rates that all routers together must not exceed, such as the
// limit of requests that a backend server in need names in its responses. Routers do not
// split a rate: uneven demand would leave parts of it unused, and many small parts add up
// to more than the whole in a short time. One router, the home of the rate, gives a permit
// for each request; a hash decides which.
//
// A permit ends soon after it was asked for, by a clock that runs on while the VM is
// suspended. A home whose membership view has changed lately, so that others may still
// ask the one before, gives a fraction only; so does one that lacks routers that it
// heard not long ago, which may be on the other side of a partition. Whoever does not
// reach the home has no permit.
//
// A server that says that it is brittle falls over if it rejects too many requests. The home of its places
// gives no more of them than it has slots; a place is a lease that lasts until the request has
// ended. What waits for a place waits there, by its level.
//
// What a server says of itself is a Statement: the limit that it names, and that it leaves. All routers learn from the first one
// to hear it whether a limit is in force; the value matters to the home only. Statements
// carry their age instead of a time, so that clocks need not agree. That a server leaves
// holds to the end of its lifetime, whatever is said later.
package sharedrate

import (
	"time"
)

// Key names a rate. For servers it identifies one lifetime of a server.
type Key uint64

// Statement is what was last said of a rate, or of the server that it is the rate of.
type Statement struct {
	// Limited says that a limit is in force, and PerSecond is its value.
	Limited   bool
	PerSecond float64

	// Leaving says that the server stops to accept requests for good.
	Leaving bool

	// At is the time on the router's clock from which on the limit holds. Of two statements
	// the one with the later time is the newer one.
	At time.Duration
}

// Level is the precedence of a request among those that want a permit for the same rate,
// from 0 to 1; 0 is the first.
type Level float64

// Permit allows to send one request.
type Permit struct {
	// expires is the time on the clock until when the request may be sent.
	expires time.Duration
}

// Denial says why there is no permit.
type Denial struct {
	// Wait is how long it is useless to ask again for a request of Level or a later one.
	Wait  time.Duration
	Level Level

	// Unreachable says that the home did not answer. Unasked says that it was not asked now, as
	// it did not answer lately.
	Unreachable bool
	Unasked     bool
}

const (
	// permitTime is how long after it was asked for a permit can be used.
	permitTime = 200 * time.Millisecond

	// answerTimeout is how long a request waits for the home, and silenceTime how long a
	// home that did not answer is not asked.
	answerTimeout = 30 * time.Millisecond
	silenceTime   = 200 * time.Millisecond

	// maxWait bounds the wait of a denial, as the limit may change meanwhile.
	maxWait = 500 * time.Millisecond

	// statementTTL is how long a statement is remembered that nobody repeats. The server
	// names its limit again in its next response.
	statementTTL = 5 * time.Minute

	// maxStatements bounds the statements that are remembered.
	maxStatements = 1 << 14
)
