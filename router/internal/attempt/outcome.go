// Package attempt makes one attempt to run a request on one backend server and
// reports its exact outcome: whether the request ran, and whether the response
// that the caller received is complete and belongs to this attempt. It also holds
// the policy for retries on other servers, whose decisions are pure. The package
// imports packages link, class and pause, the standard library and the error
// library. It handles neither the callers' HTTP nor scheduling.
package attempt

import (
	"crypto/rand"

	"github.com/juju/errors"
)

// Run is whether a request ran on a backend server.
type Run uint8

const (
	// RunUnknown means that it can't be known whether the request ran.
	RunUnknown Run = iota

	// RunNo means that the request did not run and will not run. It is reported
	// only if no byte of the request can have reached the server, or if the
	// server said so.
	RunNo

	// RunYes means that the request ran, completely or in part.
	RunYes
)

// String returns the form that callers receive.
func (r Run) String() string {
	switch r {
	case RunNo:
		return "no"
	case RunYes:
		return "yes"
	}
	return "unknown"
}

// Reason is how an attempt ended.
type Reason uint8

const (
	// Completed means that the attempt gave a complete response.
	Completed Reason = iota

	// Refused means that the server answered with an error without running the
	// request.
	Refused

	// Failed means that the server answered with an error and may have run the
	// request.
	Failed

	// Unreachable means that no byte of the request could be sent to the server.
	Unreachable

	// Broken means that the connection ended before the response did.
	Broken

	// Silent means that the connection stayed open without any data until the
	// progress timeout, and that the attempt could not be resumed on another one.
	Silent

	// Stalled means that the attempt made no progress on a server that answers
	// status queries.
	Stalled

	// Mismatched means that the response was that of another attempt, out of
	// order, without a finish reason or not of the declared length.
	Mismatched

	// Gone means that the server no longer knew the attempt, or that it had
	// ended there.
	Gone

	// Canceled means that the attempt was given up because the caller went away
	// or the context ended.
	Canceled
)

// reasonNames holds the log names of the reasons, in the order of the constants.
var reasonNames = [...]string{
	"completed", "refused", "failed", "unreachable", "broken",
	"silent", "stalled", "mismatched", "gone", "canceled",
}

// String returns the log name of the reason.
func (r Reason) String() string {
	if int(r) < len(reasonNames) {
		return reasonNames[r]
	}
	return "invalid"
}

const (
	// ErrNoProgress means that no progress was made within the progress timeout.
	ErrNoProgress = errors.ConstError("no progress within the timeout")

	// ErrMismatch means that a response does not belong to its attempt, has an
	// unexpected form, or has events that are out of order.
	ErrMismatch = errors.ConstError("response does not match its attempt")

	// ErrNoFinishReason means that a response ended without a finish reason.
	ErrNoFinishReason = errors.ConstError("response without finish reason")

	// ErrCallerGone means that the caller did not take the response.
	ErrCallerGone = errors.ConstError("caller went away")
)

// Usage holds the token counts that an engine reported.
type Usage struct {
	Prompt int
	Cached int
	Output int
}

// Outcome is the result of an attempt.
type Outcome struct {
	Run    Run
	Reason Reason

	// Complete is set if the caller received the complete response of this
	// attempt, with its end marker if it was streaming.
	Complete bool

	// ResponseStarted is set if the caller received a part of the response. No
	// other response may then be sent to it.
	ResponseStarted bool

	// Status is the HTTP status of the response. ErrorBody is the body of an
	// error response of an engine; it is nil if the body could not be read or
	// exceeds 64 KiB.
	Status    int
	ErrorBody []byte

	// Events is the number of events that the caller received. Tokens is the
	// number of stream events that carried output, or the engine's count of
	// output tokens of a non-streaming response.
	Events int
	Tokens int
	Usage  Usage

	// Resumes is how often the response was resumed on another connection.
	Resumes int

	// Err is why the response is not complete.
	Err error
}

// NewID returns a random attempt id that no other attempt has.
func NewID() string {
	return rand.Text()
}
