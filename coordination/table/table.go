// Package table defines the part of the platform's transactional table service
// that is used for all durable state: the interface, its data types and its
// errors. Implementations live in packages of their own. The package imports
// nothing but the standard library and the error library.
package table

import (
	"context"

	"github.com/juju/errors"
)

const (
	// ErrConflict means that a check of a transaction failed. Nothing took effect.
	ErrConflict = errors.ConstError("table check failed")

	// ErrUnavailable means that the table did not accept the call. Nothing took
	// effect.
	ErrUnavailable = errors.ConstError("table unavailable")

	// ErrUncertain means that the response was lost. A commit may or may not have
	// taken effect, which only reading the rows back can tell.
	ErrUncertain = errors.ConstError("table answer lost")
)

// Row is one stored row. Version rises with each write of the row and is zero
// if the row does not exist.
type Row struct {
	Key     string
	Value   []byte
	Version uint64
}

// Check requires that the row at Key has Version when a transaction commits.
// A zero Version requires that the row does not exist.
type Check struct {
	Key     string
	Version uint64
}

// Write sets the row at Key to Value, or removes it if Remove is set.
type Write struct {
	Key    string
	Value  []byte
	Remove bool
}

// Transaction is an atomic conditional write of several rows. All writes take
// effect if all checks hold; otherwise none does.
type Transaction struct {
	Checks []Check
	Writes []Write
}

// Range selects the rows whose key starts with Prefix and sorts after After, at
// most Limit of them. If Limit is zero, the table chooses the limit.
type Range struct {
	Prefix string
	After  string
	Limit  int
}

// Table is the platform's transactional table service. Implementations are
// safe for concurrent use and honor the deadline of the context.
type Table interface {
	// Read returns one row per key, in the order of keys. A row that does not
	// exist has a zero Version.
	Read(ctx context.Context, keys ...string) ([]Row, error)

	// List returns the rows in the range, sorted by key.
	List(ctx context.Context, r Range) ([]Row, error)

	// Commit applies the transaction. The error wraps ErrConflict,
	// ErrUnavailable or ErrUncertain.
	Commit(ctx context.Context, t Transaction) error
}
