package relay

import (
	"context"
	"net/http"
	"time"
)

// Call is what the header of a request says.
type Call struct {
	// Attempt names the caller's attempt. Each has its own.
	Attempt string

	// Patience is how long the caller waits for the answer. Zero means that
	// the caller did not say.
	Patience time.Duration

	// Key shows which team the caller belongs to.
	Key string

	// Prompt and Output are the tokens of the prompt and the largest number
	// of tokens of the answer.
	Prompt int
	Output int

	// Expected is the caller's estimate of the length of the answer in
	// tokens, or zero.
	Expected int

	// Parts are the parts of the prompt, in order. Requests share the first
	// ones; the last one belongs to the request alone.
	Parts []Part
}

// Part is a part of a prompt.
type Part struct {
	ID     uint64
	Tokens int
}

// Delivery is what the router adds to a request for one backend server.
type Delivery struct {
	// Lifetime is the only lifetime of the server that may run the request.
	Lifetime string

	// Patience is how long the server may work on it.
	Patience time.Duration

	// Team is the caller's team, or empty.
	Team string

	// Rank is the request's place in the order of importance, of Ranks in
	// all; 0 matters most.
	Rank  int
	Ranks int

	// After is the last event that the caller has, for a stream that goes on.
	After string

	// Copy is the copy of the run's memory that the server starts from, if the
	// run was moved there.
	Copy Copy
}

// Copy is the memory of a run at the moment that it was moved.
type Copy struct {
	// Source is the address of the server that the run was moved from, Handle
	// the name that this server gave the copy.
	Source string
	Handle string
}

// Move asks a server to hand a run to another one. The run stops and its
// stream breaks off.
type Move struct {
	Attempt     string
	Source      string
	Destination string
}

// Mover moves runs between backend servers.
type Mover interface {
	// Move returns when the copy is complete. An error that carries a handle
	// in the copy means that the run stopped and its memory is at the source.
	Move(ctx context.Context, move Move) (Copy, error)
}

// Note is what the header of a backend server's answer says.
type Note struct {
	// Attempt is the attempt that the answer belongs to, or empty.
	Attempt string

	// Unexecuted says that the server did not run the request and never will.
	Unexecuted bool

	// Signed says that a backend server vouches for the answer.
	Signed bool
}

// Codec maps headers to plain data and back. The router knows no name of a
// header but those that HTTP itself defines.
type Codec interface {
	// Call reads the header of a request.
	Call(header http.Header) (Call, error)

	// Deliver makes the header for a backend server out of the caller's. It
	// changes neither. What only the router may say is taken out.
	Deliver(header http.Header, delivery Delivery) http.Header

	// Note reads the status and header of an answer.
	Note(status int, header http.Header) Note
}
