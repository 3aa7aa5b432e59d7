// Package attempt makes one run of a request on one backend server and tells
// precisely what became of it: whether it ran, and whether the answer that the
// caller was given is whole and its own. It also holds the policy for trying
// again elsewhere, which is pure. The package imports package link, package
// class, the standard library and the error library. It knows neither callers'
// HTTP nor scheduling.
package attempt

import (
	"crypto/rand"

	"github.com/juju/errors"
)

// Run says whether a request ran on a backend server.
type Run uint8

const (
	// RunUnknown says that it can't be known whether the request ran.
	RunUnknown Run = iota

	// RunNo says that the request did not run and will not run. It is said
	// only if no byte of it can have reached the server, or if the server
	// said so.
	RunNo

	// RunYes says that the request ran, wholly or in part.
	RunYes
)

// String returns the word that callers are told.
func (r Run) String() string {
	switch r {
	case RunNo:
		return "no"
	case RunYes:
		return "yes"
	}
	return "unknown"
}

// Reason says how an attempt ended.
type Reason uint8

const (
	// Completed attempts gave a whole answer.
	Completed Reason = iota

	// Refused attempts were answered with an error before they ran.
	Refused

	// Failed attempts were answered with an error, and may have run.
	Failed

	// Unreachable servers took no connection.
	Unreachable

	// Broken connections ended before the answer did.
	Broken

	// Silent connections stayed open without a sign of life, and the server
	// did not answer on another one either.
	Silent

	// Stalled attempts made no progress on a server that answers.
	Stalled

	// Mismatched answers were those of another attempt, out of order, or of
	// another length than declared.
	Mismatched

	// Gone attempts were no longer known to the server, or ended there.
	Gone

	// Canceled attempts were given up because the caller went away or the
	// context ended.
	Canceled
)

// reasonNames are the words for logs, in the order of the constants.
var reasonNames = [...]string{
	"completed", "refused", "failed", "unreachable", "broken",
	"silent", "stalled", "mismatched", "gone", "canceled",
}

// String returns the word for logs.
func (r Reason) String() string {
	if int(r) < len(reasonNames) {
		return reasonNames[r]
	}
	return "invalid"
}

const (
	// ErrNoProgress says that nothing came within the progress deadline.
	ErrNoProgress = errors.ConstError("no progress within the deadline")

	// ErrMismatch says that an answer does not belong to its attempt, or that
	// its events do not follow one another.
	ErrMismatch = errors.ConstError("answer does not match its attempt")

	// ErrNoFinishReason says that an answer ended without its finish mark.
	ErrNoFinishReason = errors.ConstError("answer without finish mark")

	// ErrCallerGone says that the caller did not take the answer.
	ErrCallerGone = errors.ConstError("caller went away")
)

// Usage is the token count that an engine reported.
type Usage struct {
	Prompt int
	Cached int
	Output int
}

// Outcome is the end of an attempt.
type Outcome struct {
	Run    Run
	Reason Reason

	// Complete says that the caller was given the whole answer of this attempt
	// with its end mark.
	Complete bool

	// ResponseStarted says that the caller was given a part of the answer. Nothing else
	// may then be given to it.
	ResponseStarted bool

	// Status and Refusal are the HTTP status and the body of an answer that
	// refuses the request. Refusal is cut at a bound.
	Status    int
	ErrorBody []byte

	// Events is the number of events that the caller was given, Tokens the
	// number of those that carried output.
	Events int
	Tokens int
	Usage  Usage

	// Resumes is how often the answer was taken up again on another
	// connection.
	Resumes int

	// Err is the cause of an answer that is not whole.
	Err error
}

// NewID returns an attempt id that no other attempt has.
func NewID() string {
	return rand.Text()
}
