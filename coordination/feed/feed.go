// Package feed follows a table through its change feed. A Follower keeps a copy
// of the table's rows and knows up to which time the copy was current, also
// while the table can't be reached. It decides when to call the table, when to
// reread all of it, and how long to keep a row that disappeared during an
// outage.
//
// A watch that reports no change proves nothing until it ends: its connection
// may deliver nothing any more. The copy is therefore proved to be current within
// a bounded time by other means, which are proofs from other calls to the table's
// store and from other followers, and else a call that does not wait.
package feed

import (
	"context"
	"time"

	"github.com/juju/errors"
)

// ErrCompacted means that the feed no longer has the changes after the
// requested revision. The follower then rereads the whole table.
const ErrCompacted = errors.ConstError("feed compacted")

// ErrDropped means that a follower canceled a call because it no longer needed
// the result.
const ErrDropped = errors.ConstError("call dropped")

// Change is one row that was written or removed.
type Change[T any] struct {
	Key     string
	Value   T
	Removed bool

	// Revision is the revision of the change.
	Revision int64

	// Err says why the row can't be used. Such a row has no value.
	Err error
}

// Response is the table's response to a read or a watch.
type Response[T any] struct {
	// Changes are all rows, or those that changed, in the order of their
	// revisions.
	Changes []Change[T]

	// Revision is the newest revision that the response covers, of this table
	// or another one of its store.
	Revision int64

	// Clock is the table's own monotonic clock at the time of the response.
	Clock time.Duration

	// Era is the era of the store in which the response was made. Revision and Clock
	// can be compared with others of the same era only.
	Era int64
}

// Received is told of each part of a response that arrives, with its size.
type Received func(bytes int)

// Source reads one table. It tells received of the response as it arrives. It admits the
// era of each response to the Eras of the follower first.
type Source[T any] interface {
	// Read returns all rows as of one point in time, all of one era.
	Read(ctx context.Context, received Received) (Response[T], error)

	// Watch returns the rows that changed after a revision. If there are none,
	// it waits for changes and returns an empty response once wait has passed.
	// It returns ErrCompacted if the changes are no longer available.
	Watch(ctx context.Context, after int64, wait time.Duration, received Received) (Response[T], error)
}

// Clock returns the time since a fixed point. It advances while the VM is
// suspended and is unaffected by changes to the wall clock.
type Clock func() time.Duration
