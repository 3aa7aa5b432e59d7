// Package feed follows a table through its feed of changes. A Follower keeps a
// copy of the table's rows and knows up to which moment the copy was current,
// also while the table can't be reached. It decides when to call, when to read
// everything again and how long a row that vanished during an outage is kept.
package feed

import (
	"context"
	"time"

	"github.com/juju/errors"
)

// ErrCompacted says that the feed no longer reaches back to the revision that
// was asked for. The follower then reads the whole table.
const ErrCompacted = errors.ConstError("feed compacted")

// Change is one row that was written or removed.
type Change[T any] struct {
	Key     string
	Value   T
	Removed bool

	// Err says why the row can't be used. Such a row has no value.
	Err error
}

// Response is an answer of the table.
type Response[T any] struct {
	// Changes are all rows, or those that changed, in the order of their
	// revisions.
	Changes []Change[T]

	// Revision is the newest revision that the answer covers.
	Revision int64

	// Clock is the table's own steady clock at the moment of the answer.
	Clock time.Duration
}

// Source reads one table.
type Source[T any] interface {
	// Read returns all rows as of one moment.
	Read(ctx context.Context) (Response[T], error)

	// Watch returns the rows that changed after a revision. Without any, it
	// answers after the wait. It returns ErrCompacted when the changes are no
	// longer known.
	Watch(ctx context.Context, after int64, wait time.Duration) (Response[T], error)
}

// Clock returns the time since some fixed moment. It goes on while the VM is
// suspended, and steps of the time of day don't move it.
type Clock func() time.Duration
