package relay

import (
	"context"
	"net/http"
	"time"

	"github.com/juju/errors"
)

// RequestInfo is the metadata in the header of a caller's request.
type RequestInfo struct {
	// AttemptID identifies the caller's attempt, which is this request. A
	// caller that repeats a request uses another ID, while all attempts of the
	// router at backend servers share it.
	AttemptID string

	// Timeout is how long the caller waits for the response, or zero if the
	// caller did not say.
	Timeout time.Duration

	// APIKey identifies the team that the caller belongs to.
	APIKey string

	// PromptTokens is the length of the prompt, and MaxOutputTokens the limit
	// on the length of the response, in tokens.
	PromptTokens    int
	MaxOutputTokens int

	// ExpectedOutputTokens is the caller's estimate of the length of the
	// response in tokens, or zero.
	ExpectedOutputTokens int

	// Model is the name of the model that the request asks for, or empty.
	Model string

	// Parts are the parts of the prompt, in order. Requests may share leading
	// parts; the last part is specific to the request.
	Parts []PromptPart
}

// PromptPart is a part of a prompt that requests may share as a prefix.
type PromptPart struct {
	ID     uint64
	Tokens int
}

// ForwardInfo is the metadata that the router adds to a request for a backend
// server.
type ForwardInfo struct {
	// InstanceID identifies the server instance that may run the request. After
	// a restart the server has another ID.
	InstanceID string

	// Timeout is how long the server may work on the request.
	Timeout time.Duration

	// Team is the name of the caller's team, or empty.
	Team string

	// Rank is the priority rank of the request among RankCount ranks; 0 is the
	// most important.
	Rank      int
	RankCount int

	// LastEventID is the ID of the last event that the caller has, for a stream
	// that is resumed.
	LastEventID string

	// KVCopy is the copy of the KV cache that the server starts from, if the
	// run was migrated there.
	KVCopy KVCopy
}

// KVCopy identifies a copy of the KV cache of a run, taken when the run was
// migrated.
type KVCopy struct {
	// Source is the address of the server that the run was migrated from, and
	// Handle the name that this server gave the copy.
	Source string
	Handle string
}

// MigrationRequest asks for the migration of a request's run from one backend
// server to another. The run stops at the source and its stream is cut off.
// AttemptID identifies the request, and Source and Destination are addresses of
// servers.
type MigrationRequest struct {
	AttemptID   string
	Source      string
	Destination string
}

// ErrNoRun means that an engine was asked to stop a run and has none of the request.
const ErrNoRun = errors.ConstError("no such run")

// Migrator migrates runs, which are executions of requests, between backend
// servers.
type Migrator interface {
	// Copy copies the KV cache of a run while the run goes on. A following call of
	// Migrate with the same destination copies only what is new.
	Copy(ctx context.Context, request MigrationRequest) error

	// Migrate stops a run, and returns when the copy is complete. It returns ErrNoRun if the run had
	// ended by itself. If it fails and the returned
	// copy has a handle, the run has stopped and its KV cache is still at the
	// source.
	Migrate(ctx context.Context, request MigrationRequest) (KVCopy, error)
}

// ResponseInfo is the metadata in the header of a backend server's response.
type ResponseInfo struct {
	// AttemptID identifies the caller's attempt that the response belongs to,
	// or is empty.
	AttemptID string

	// NotExecuted says that the server did not run the request and never will.
	NotExecuted bool

	// Signed says that the response carries a backend server's signature.
	Signed bool

	// Leaving says that the server stops to accept requests for good, whatever its entry says.
	Leaving bool

	// Limit is the rate of requests that the server asks for, if it names one.
	Limit ServerLimit

	// Brittle says whether the server falls over under too many requests that it rejects.
	Brittle ServerBrittleness
}

// ServerBrittleness is what a backend server says of how many requests it can reject. It holds
// for as long as the server's responses say so.
type ServerBrittleness struct {
	// Named says that the server is brittle. Tolerated is the number of requests that it
	// can reject in a second for lack of room, zero or more.
	Named     bool
	Tolerated int

	// Malformed is the start of a value that is no number, or empty.
	Malformed string
}

// ServerLimit is the largest rate at which a backend server wants to get requests
// from all routers together. It holds for as long as the server's responses name it.
type ServerLimit struct {
	// Named says that the response names a limit. PerSecond is its value, finite and
	// not negative.
	Named     bool
	PerSecond float64

	// Malformed is the start of a value that is no limit, or empty.
	Malformed string
}

// Codec converts between headers and the metadata types of this package. The
// router itself knows only the headers that HTTP defines.
type Codec interface {
	// ParseRequest reads the header of a request.
	ParseRequest(header http.Header) (RequestInfo, error)

	// ForwardHeader returns the header to send to a backend server, made from
	// the caller's header without modifying it. Fields that only the router may
	// set are removed.
	ForwardHeader(header http.Header, info ForwardInfo) http.Header

	// ParseResponse reads the status and header of a response.
	ParseResponse(status int, header http.Header) ResponseInfo
}
