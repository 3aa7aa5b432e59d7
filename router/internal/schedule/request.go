// Package schedule decides which request runs next and on which backend
// server. A Gate holds waiting requests, refuses those that can't meet their
// target when others can, and grants a place on a backend server. The package
// imports the packages of plain data and fleet.
package schedule

import (
	"fmt"
	"time"

	"github.com/juju/errors"

	"snipetally.example/router/internal/class"
	"snipetally.example/router/internal/contract"
)

// Request is what the gate knows of a caller's request. Exactly one of Model
// and Service is set.
type Request struct {
	ID      string
	Class   *class.Class
	Team    *contract.Team
	Model   string
	Service string

	// Prefixes are hashes of the prompt's prefixes, the shortest first. Each
	// prefix is one block longer than the one before.
	Prefixes []uint64

	// PromptTokens is the estimated length of the prompt in tokens.
	PromptTokens int

	// MaxTokens is the largest number of tokens that the caller asked for, or
	// zero if it named none.
	MaxTokens int

	// Size is the number of bytes that the request holds while it waits.
	Size int

	Arrived  time.Time
	Deadline time.Time

	// Avoid names servers that an earlier attempt of the request failed on.
	Avoid []string
}

// Reason is the cause of a refusal.
type Reason uint8

const (
	// Overload means that the request would miss its target or that a queue
	// is full.
	Overload Reason = iota

	// Limited means that the team used up its limits.
	Limited

	// NoServer means that no backend server can run the request.
	NoServer

	// Expired means that the request's time ran out while it waited.
	Expired

	// Canceled means that the caller went away while the request waited.
	Canceled
)

// ErrRefused is wrapped by each refusal. A refused request was not run.
const ErrRefused = errors.ConstError("request refused")

// Refusal is the error of a request that was not granted a server.
type Refusal struct {
	Reason Reason

	// RetryAfter is when the caller may come back.
	RetryAfter time.Duration
}

// Error implements error.
func (r *Refusal) Error() string {
	return fmt.Sprintf("request refused, reason %d, retry after %v", r.Reason, r.RetryAfter)
}

// Unwrap makes a refusal match ErrRefused.
func (r *Refusal) Unwrap() error {
	return ErrRefused
}
