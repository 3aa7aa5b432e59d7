// Package order gives orders to model engines: to load or unload a model and
// to take a role. Orders are given by the holder of a lease, carry its fencing
// number, state what shall be and are idempotent; what took effect is read
// back. The package imports package backend and package lease.
package order

import (
	"context"
	"time"

	"github.com/juju/errors"

	"snipetally.example/router/internal/backend"
)

// Kind is a kind of order.
type Kind uint8

const (
	// Load makes a model or adapter available.
	Load Kind = iota

	// Unload removes one.
	Unload

	// Role sets the role of the engine.
	Role
)

// String returns the kind as the protocol of engines spells it.
func (k Kind) String() string {
	return [...]string{"load", "unload", "role"}[k]
}

const (
	// ErrFenced says that the engine has seen a higher fencing number.
	ErrFenced = errors.ConstError("engine has seen a higher fencing number")

	// ErrNotHeld says that the lease does not last long enough for an order.
	// Nothing was sent.
	ErrNotHeld = errors.ConstError("lease does not last for an order")

	// ErrUnsettled says that an order of the holder before may still be on its
	// way to an engine that does not check fencing numbers. Nothing was sent.
	ErrUnsettled = errors.ConstError("orders of the holder before may be on their way")

	// ErrUncertain says that the answer of an engine was lost.
	ErrUncertain = errors.ConstError("engine answer lost")

	// ErrRefused says that the engine refused the order for another reason.
	ErrRefused = errors.ConstError("engine refused the order")
)

// Order is one order. Name is the name of the model, adapter or role.
type Order struct {
	Fence uint64
	Kind  Kind
	Name  string
}

// EngineState is what is in effect at an engine, as read back. Fence is the highest
// fencing number that it has seen.
type EngineState struct {
	Fence  uint64
	Models []string
	Role   string
}

// DesiredState is what shall be in effect at one server. An empty Role leaves the
// role as it is.
type DesiredState struct {
	Server backend.Server
	Models []string
	Role   string
}

// Engines reaches engines. Order wraps ErrFenced, ErrRefused or ErrUncertain.
type Engines interface {
	Send(ctx context.Context, server backend.Server, order Order) error
	ReadState(ctx context.Context, server backend.Server) (EngineState, error)
}

// Lease is the part of a lease that orders rest on; *lease.Lease has it.
type Lease interface {
	Fence() uint64

	// Held reports whether the lease lasts for longer than the margin.
	Held(margin time.Duration) bool

	// Confirm checks at the table that nobody else has gained the lease.
	Confirm(ctx context.Context) error

	// Settled reports whether nothing sent by an earlier holder can still
	// arrive.
	Settled() bool
}
