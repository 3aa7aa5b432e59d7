// Package record ensures that calls that are not idempotent run at most once. A
// record in the table names the one attempt that may run a key. It is written
// by a conditional write before the first byte is sent, except for a call with
// OutageAttempt while the table is unavailable. Only the router that owns the
// attempt may dispatch it. The package can be embedded in any router. It
// imports packages table and pause, the error library and the protobuf library,
// and implements no network protocol: other routers, backend servers and the
// object store are reached through the interfaces in config.go.
package record

import (
	"crypto/sha256"
	"time"

	"github.com/juju/errors"
)

const (
	// ErrInvalidState means that the attempt was dispatched or settled before,
	// or has to be dispatched first.
	ErrInvalidState = errors.ConstError("operation not allowed in the current state of the attempt")

	// ErrDispatchTooLate means that more than DispatchTimeout passed between
	// the start of an attempt and its dispatch. The attempt is settled as not
	// run.
	ErrDispatchTooLate = errors.ConstError("attempt dispatched too late")

	// ErrUnknownAttempt means that a router does not know an attempt, or is
	// another incarnation than the one that was asked for.
	ErrUnknownAttempt = errors.ConstError("attempt is not known here")
)

// Fingerprint is the SHA-256 hash of the method, the path and the body of a
// request.
type Fingerprint [sha256.Size]byte

// OutagePolicy is how a call is handled while the table is unavailable.
type OutagePolicy uint8

const (
	// OutageRefuse refuses the call, which does not run.
	OutageRefuse OutagePolicy = iota

	// OutageAttempt dispatches an attempt whose record is written afterwards.
	// Until then only the memory of routers prevents a second run.
	OutageAttempt
)

// Call is a request that may run at most once.
type Call struct {
	// Partner owns the team. It must not change for a team: the records of one
	// partner are batched together, near its routers.
	Partner string
	Team    string

	// Key is the idempotency key. A call without a key has no record: it gets a
	// single attempt, and a repetition of the call is another call.
	Key         string
	Fingerprint Fingerprint

	// Target is the name of the backend server that the attempt will be sent
	// to. It may be empty if it is not known yet. Such an attempt can't be
	// settled by a Prober.
	Target string
	Outage OutagePolicy
}

// HeaderField is one header field of a response.
type HeaderField struct {
	Name  string
	Value string
}

// Response is a complete response of a backend server.
type Response struct {
	Status int
	Header []HeaderField
	Body   []byte
}

// size returns the approximate size of the response in bytes.
func (r *Response) size() int {
	n := len(r.Body)
	for _, field := range r.Header {
		n += len(field.Name) + len(field.Value)
	}
	return n
}

// Outcome is how an attempt ended.
type Outcome struct {
	State OutcomeState

	// Response is set if State is OutcomeDone, unless Omitted is set.
	Response *Response

	// Omitted means that the response was too large to be kept.
	Omitted bool
}

// OutcomeState is the way in which an attempt ended.
type OutcomeState uint8

const (
	// OutcomeNone means that the attempt has not ended.
	OutcomeNone OutcomeState = iota

	// OutcomeDone means that the attempt ran and its response was received
	// completely.
	OutcomeDone

	// OutcomeNotRun means that the attempt did not run and never will.
	OutcomeNotRun

	// OutcomeUnknown means that the attempt may have run.
	OutcomeUnknown
)

// Kind is the kind of a Decision.
type Kind uint8

const (
	// Run lets this router dispatch Decision.Attempt, once.
	Run Kind = iota + 1

	// Replay carries the complete response of the run of this key.
	Replay

	// Join says that the key is being run. Decision.Join waits for its end.
	Join

	// Unknown means that the key may have run. It does not run again unless the
	// backend server itself reports that it did not run.
	Unknown

	// Mismatch means that the key was used for a different request before. This
	// request did not run.
	Mismatch

	// Unavailable means that the call did not run, and that this router will
	// not run it, because it could not be recorded.
	Unavailable

	// Expired means that the key is too old for its response to be known. It
	// may have run, and does not run again.
	Expired
)

// String returns the name of the kind.
func (k Kind) String() string {
	names := [...]string{"none", "run", "replay", "join", "unknown", "mismatch", "unavailable", "expired"}
	if int(k) < len(names) {
		return names[k]
	}
	return "invalid"
}

// Decision is how to handle a call.
type Decision struct {
	Kind Kind

	// Attempt is set if Kind is Run.
	Attempt *Attempt

	// Response is set if Kind is Replay. It must not be changed.
	Response *Response

	// Join is set if Kind is Join.
	Join *RunningAttempt

	// Ran qualifies Unknown and Expired: the key did run to its end, but its
	// response is no longer kept.
	Ran bool

	// Running qualifies Unknown: the backend server is still running the
	// attempt.
	Running bool
}

// storedRecord is a record as it is stored in the table. It decides which
// attempt may run a key: a row is replaced only by a write that checks its
// version.
type storedRecord struct {
	fingerprint Fingerprint
	attempt     string
	vm          string
	incarnation string
	target      string

	// page is the key of the row to which the owner writes the outcome.
	page      string
	startedAt time.Time

	// settled is set by a router that learned the outcome from the backend
	// server.
	settled storedOutcome
}

// storedOutcome is an outcome as it is stored. The field object is the name of
// the object that holds a large response.
type storedOutcome struct {
	Outcome
	object string
}
