// Package record keeps calls that are not idempotent from running more than
// once. A record in the table names the one attempt that may run a key; it is
// written by a conditional write before the first byte goes out, and only the
// router that owns the attempt may dispatch it. The package can be embedded in
// any router. It imports package table, the error library and the protobuf
// library, and speaks no protocol: other routers, backend servers and the
// object store are reached through the interfaces in config.go.
package record

import (
	"crypto/sha256"
	"time"

	"github.com/juju/errors"
)

const (
	// ErrInvalidState says that an attempt was dispatched or settled before.
	ErrInvalidState = errors.ConstError("attempt is spent")

	// ErrDispatchTooLate says that too much time passed between the begin of an attempt
	// and its dispatch. The attempt is settled as not run.
	ErrDispatchTooLate = errors.ConstError("attempt dispatched too late")

	// ErrUnknownAttempt says that a router does not know an attempt, or is another
	// incarnation than the one that was asked for.
	ErrUnknownAttempt = errors.ConstError("attempt is not known here")
)

// Fingerprint is the SHA-256 hash of the method, the path and the body of a
// request.
type Fingerprint [sha256.Size]byte

// OutagePolicy says what a call gets while the table can't be reached.
type OutagePolicy uint8

const (
	// OutageRefuse refuses the call, which did not run.
	OutageRefuse OutagePolicy = iota

	// OutageAttempt dispatches an attempt whose record is written afterwards.
	// Until then only the memory of routers guards against a second run.
	OutageAttempt
)

// Call is a request that may run at most once.
type Call struct {
	// Partner owns the team and must not change for it: begins of one partner
	// are batched together, near its routers.
	Partner string
	Team    string

	// Key is the idempotency key. A call without a key has no record: it gets
	// a single attempt, and a repetition of the call is another call.
	Key         string
	Fingerprint Fingerprint

	// Target is the name of the backend server that the attempt will be sent
	// to. It may be empty if it is not known yet; such an attempt can't be
	// settled by a Prober.
	Target string
	Outage OutagePolicy
}

// HeaderField is one header field of an answer.
type HeaderField struct {
	Name  string
	Value string
}

// Response is a whole answer of a backend server.
type Response struct {
	Status int
	Header []HeaderField
	Body   []byte
}

// size returns the approximate number of bytes of the answer.
func (a *Response) size() int {
	n := len(a.Body)
	for _, field := range a.Header {
		n += len(field.Name) + len(field.Value)
	}
	return n
}

// Outcome is how an attempt ended.
type Outcome struct {
	State OutcomeState

	// Response is set if State is OutcomeDone, unless Omitted is set.
	Response *Response

	// Omitted says that the answer was too large to be kept.
	Omitted bool
}

// OutcomeState tells the ways in which an attempt can end.
type OutcomeState uint8

const (
	// OutcomeNone says that the attempt has not ended.
	OutcomeNone OutcomeState = iota

	// OutcomeDone says that the attempt ran and its answer was received whole.
	OutcomeDone

	// OutcomeNotRun says that the attempt did not run and never will.
	OutcomeNotRun

	// OutcomeUnknown says that the attempt may have run.
	OutcomeUnknown
)

// Kind tells decisions apart.
type Kind uint8

const (
	// Run lets this router dispatch Decision.Attempt, once.
	Run Kind = iota + 1

	// Replay carries the whole answer of the run of this key.
	Replay

	// Join says that the key is being run. Decision.Join waits for its end.
	Join

	// Unknown says that the key may have run. It does not run again unless
	// the backend server itself says that it did not run.
	Unknown

	// Mismatch says that the key was used for another request before. This
	// request did not run.
	Mismatch

	// Unavailable says that the call did not run, and that this router will
	// not run it, because it could not be recorded.
	Unavailable

	// Expired says that the key is too old for its answer to be known. It may
	// have run, and does not run again.
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

// Decision is what to do with a call.
type Decision struct {
	Kind Kind

	// Attempt is set if Kind is Run.
	Attempt *Attempt

	// Response is set if Kind is Replay. It must not be changed.
	Response *Response

	// Join is set if Kind is Join.
	Join *RunningAttempt

	// Ran qualifies Unknown and Expired: the key did run to its end, but its
	// answer is no longer kept.
	Ran bool

	// Running qualifies Unknown: the backend server still runs the attempt.
	Running bool
}

// stored is a record as it is kept in the table. Its row decides which attempt
// may run a key: a row is replaced only by a write that checks its version.
type stored struct {
	fingerprint Fingerprint
	attempt     string
	vm          string
	incarnation string
	target      string

	// page is the key of the row that the owner writes the outcome to.
	page string
	at   time.Time

	// settled is set by a router that learned the outcome from the backend
	// server.
	settled outcome
}

// outcome is an outcome as it is stored, with a large answer by reference.
type outcome struct {
	Outcome
	object string
}
