// Package schedule decides which request runs next and on which backend server.
// A Gate queues requests, refuses those that cannot meet their target while
// others can, and grants backend servers. It imports the packages of plain
// data, and packages fleet, length, limit, prefix, queue and share.
package schedule

import (
	"fmt"
	"time"

	"github.com/juju/errors"

	"snipetally.example/router/internal/class"
	"snipetally.example/router/internal/contract"
)

// Request describes a caller's request to the gate. Exactly one of Model and
// Service is set.
type Request struct {
	ID      string
	Class   *class.Class
	Team    *contract.Team
	Model   string
	Service string

	// Prefixes are hashes of the prompt's prefixes, shortest first. Each prefix
	// is one block longer than the one before.
	Prefixes []uint64

	// PromptTokens is the estimated length of the prompt in tokens.
	PromptTokens int

	// MaxTokens is the maximum number of output tokens that the caller asked
	// for, or zero if it set none.
	MaxTokens int

	// Size is the number of bytes that the request occupies while it waits.
	Size int

	// Arrived is the time at which the request arrived, and Deadline the time
	// until which it may wait. A gate replaces zero values by defaults.
	Arrived  time.Time
	Deadline time.Time

	// Avoid lists the servers on which earlier attempts of the request failed.
	Avoid []string
}

// Reason is the cause of a refusal.
type Reason uint8

const (
	// Overload means that the request would miss its target or that a queue is
	// full.
	Overload Reason = iota

	// Limited means that the team exhausted its limits.
	Limited

	// NoServer means that no backend server can run the request.
	NoServer

	// Expired means that the request's deadline passed while it waited.
	Expired

	// Canceled means that the caller went away while the request waited.
	Canceled
)

// ErrRefused is wrapped by every Refusal. A refused request was not run.
const ErrRefused = errors.ConstError("request refused")

// Refusal is the error for a request that was not granted a server.
type Refusal struct {
	Reason Reason

	// RetryAfter is the time after which the caller may retry.
	RetryAfter time.Duration
}

// Error implements error.
func (r *Refusal) Error() string {
	return fmt.Sprintf("request refused, reason %d, retry after %v", r.Reason, r.RetryAfter)
}

// Unwrap returns ErrRefused.
func (r *Refusal) Unwrap() error {
	return ErrRefused
}
