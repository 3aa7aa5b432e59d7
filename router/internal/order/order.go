// Package order sends orders to model engines: to load or unload a model, or to
// take a role. Only the holder of a lease sends orders. Each order carries the
// lease's fencing token, states the desired result and is idempotent; the
// state in effect is read back. The package imports package backend; it knows
// leases only through the interface Lease.
package order

import (
	"context"
	"time"

	"github.com/juju/errors"

	"snipetally.example/router/internal/backend"
)

// Kind is the kind of an order.
type Kind uint8

const (
	// Load makes a model or adapter available.
	Load Kind = iota

	// Unload removes a model or adapter.
	Unload

	// Role sets the role of the engine.
	Role
)

// String returns the name of the kind in the engine protocol.
func (k Kind) String() string {
	return [...]string{"load", "unload", "role"}[k]
}

const (
	// ErrFenced means that the engine has seen a higher fencing token.
	ErrFenced = errors.ConstError("engine has seen a higher fencing token")

	// ErrNotHeld means that the lease does not last long enough to send an
	// order. Nothing was sent.
	ErrNotHeld = errors.ConstError("lease expires too soon to send an order")

	// ErrUnsettled means that an order of the previous lease holder may still
	// be in flight to an engine that does not check fencing tokens. Nothing
	// was sent.
	ErrUnsettled = errors.ConstError("orders of the previous lease holder may still be in flight")

	// ErrUncertain means that the engine's response was lost, reported a server
	// error or could not be read, so that the outcome of a call is not known.
	ErrUncertain = errors.ConstError("engine response lost")

	// ErrRefused means that the engine refused the order for a reason other
	// than the fencing token.
	ErrRefused = errors.ConstError("engine refused the order")
)

// Order is one order to an engine. Name is the name of the model, adapter or
// role.
type Order struct {
	Fence uint64
	Kind  Kind
	Name  string
}

// EngineState is the state of an engine as read back. Fence is the highest
// fencing token that the engine has seen.
type EngineState struct {
	Fence  uint64
	Models []string
	Role   string
}

// DesiredState is the state that a server should be in. An empty Role leaves
// the role as it is.
type DesiredState struct {
	Server backend.Server
	Models []string
	Role   string
}

// Engines sends orders to engines and reads their state. Send returns errors
// that wrap ErrFenced, ErrRefused or ErrUncertain.
type Engines interface {
	Send(ctx context.Context, server backend.Server, order Order) error
	ReadState(ctx context.Context, server backend.Server) (EngineState, error)
}

// Lease is the part of a lease that Reconciler needs. *lease.Lease implements
// it.
type Lease interface {
	Fence() uint64

	// HeldFor reports whether the lease lasts for longer than the margin.
	HeldFor(margin time.Duration) bool

	// ConfirmHeld checks in the table that no other holder has acquired the
	// lease.
	ConfirmHeld(ctx context.Context) error

	// PredecessorsSettled reports whether nothing sent by an earlier holder can
	// still arrive.
	PredecessorsSettled() bool
}
