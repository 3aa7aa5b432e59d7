package relay

import (
	"context"
	"net/http"
	"time"
)

// RequestInfo is what the header of a request says.
type RequestInfo struct {
	// AttemptID names the caller's attempt. Each has its own.
	AttemptID string

	// Timeout is how long the caller waits for the answer. Zero means that
	// the caller did not say.
	Timeout time.Duration

	// APIKey shows which team the caller belongs to.
	APIKey string

	// PromptTokens and Output are the tokens of the prompt and the largest number
	// of tokens of the answer.
	PromptTokens    int
	MaxOutputTokens int

	// ExpectedOutputTokens is the caller's estimate of the length of the answer in
	// tokens, or zero.
	ExpectedOutputTokens int

	// Parts are the parts of the prompt, in order. Requests share the first
	// ones; the last one belongs to the request alone.
	Parts []PromptPart
}

// PromptPart is a part of a prompt.
type PromptPart struct {
	ID     uint64
	Tokens int
}

// ForwardInfo is what the router adds to a request for one backend server.
type ForwardInfo struct {
	// InstanceID is the only lifetime of the server that may run the request.
	InstanceID string

	// Timeout is how long the server may work on it.
	Timeout time.Duration

	// Team is the caller's team, or empty.
	Team string

	// Rank is the request's place in the order of importance, of Ranks in
	// all; 0 matters most.
	Rank      int
	RankCount int

	// LastEventID is the last event that the caller has, for a stream that goes on.
	LastEventID string

	// KVCopy is the copy of the run's memory that the server starts from, if the
	// run was moved there.
	KVCopy KVCopy
}

// KVCopy is the memory of a run at the moment that it was moved.
type KVCopy struct {
	// Source is the address of the server that the run was moved from, Handle
	// the name that this server gave the copy.
	Source string
	Handle string
}

// MigrationRequest asks a server to hand a run to another one. The run stops and its
// stream breaks off.
type MigrationRequest struct {
	AttemptID   string
	Source      string
	Destination string
}

// Migrator moves runs between backend servers.
type Migrator interface {
	// Migrate returns when the copy is complete. An error that carries a handle
	// in the copy means that the run stopped and its memory is at the source.
	Migrate(ctx context.Context, move MigrationRequest) (KVCopy, error)
}

// ResponseInfo is what the header of a backend server's answer says.
type ResponseInfo struct {
	// AttemptID is the attempt that the answer belongs to, or empty.
	AttemptID string

	// NotExecuted says that the server did not run the request and never will.
	NotExecuted bool

	// Signed says that a backend server vouches for the answer.
	Signed bool
}

// Codec maps headers to plain data and back. The router knows no name of a
// header but those that HTTP itself defines.
type Codec interface {
	// ParseRequest reads the header of a request.
	ParseRequest(header http.Header) (RequestInfo, error)

	// ForwardHeader makes the header for a backend server out of the caller's. It
	// changes neither. What only the router may say is taken out.
	ForwardHeader(header http.Header, delivery ForwardInfo) http.Header

	// ParseResponse reads the status and header of an answer.
	ParseResponse(status int, header http.Header) ResponseInfo
}
