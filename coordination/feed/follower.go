package feed

import (
	"context"
	"fmt"
	"sync"
	"time"
)

// Follower keeps a copy of a table. Run must be called once; the other methods
// may be called from any goroutine.
//
// Run owns the copy and makes all calls to the table. There are two kinds: a
// watch is open most of the time, so that changes arrive at once; short calls
// read the table, ask whether it is back after a failure, and check the copy when
// nothing has proved it to be current for too long. A call is given up when its
// response makes no progress, not after a time for the whole of it.
type Follower[T any] struct {
	config Config[T]

	// results receives the ends of calls, and wake a signal that the copy is
	// outdated or that a response begins to arrive.
	results chan result[T]
	wake    chan struct{}

	// The fields up to mu are only used by Run.
	copy tableCopy[T]

	// era is the newest era that Run has noticed, at eraNoticedAt. All watches and checks
	// in progress are of this era. The copy is of an earlier one until it was read again,
	// and is not loaded meanwhile.
	era          int64
	eraNoticedAt time.Duration

	// watch is the watch in progress, or nil, and short are the short calls in
	// progress. No watch is sent before nextWatch, and no short call before
	// nextShort.
	watch     *call
	short     []*call
	nextWatch time.Duration
	nextShort time.Duration

	// indirect is the call through another process in progress, or nil, and
	// nextIndirect the earliest time of the next one.
	indirect     *call
	nextIndirect time.Duration

	// asking says that no short call was answered since askingSince, when the
	// first of them was sent.
	asking      bool
	askingSince time.Duration

	// answerTime is how long the response to the latest short call that was
	// answered took to begin.
	answerTime time.Duration

	// unprovedLimit is the time without a proof after which the copy is checked.
	unprovedLimit time.Duration

	// spreadWatch says that the next watch waits for a random part of the usual
	// time, and compacted that no watch has succeeded since the table was last
	// read again.
	spreadWatch bool
	compacted   bool

	// appliedAt is when a response was last applied to the copy.
	appliedAt time.Duration

	// failingSince is when the current outage began, if failing is set.
	failing      bool
	failingSince time.Duration

	// mu guards the fields below. outageStart is when the first failed call
	// since the last successful one failed, or zero.
	mu          sync.Mutex
	evidence    evidence
	outageStart time.Duration

	// keptAsOf is the time up to which the copy was proved to be current when the grace period began
	// in which disappeared rows are kept, or zero if there is none.
	keptAsOf time.Duration
}

// NewFollower returns a follower with an empty copy.
func NewFollower[T any](config Config[T]) *Follower[T] {
	if config.Eras == nil {
		config.Eras = &Eras{}
	}
	f := &Follower[T]{
		config:      config,
		copy:        newTableCopy[T](config.RemovalGrace),
		results:     make(chan result[T]),
		wake:        make(chan struct{}, 1),
		spreadWatch: true,
	}
	f.drawUnprovedLimit()
	config.Eras.notify(f.signal)
	return f
}

// AsOf returns the time on the follower's clock up to which its copy is proved to
// be current. It returns false before the first response.
func (f *Follower[T]) AsOf() (time.Duration, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.evidence.asOf, f.evidence.loaded
}

// RemovalsAsOf returns the time up to which no row is proved to have disappeared that the copy had
// when it was last applied. It is before AsOf while disappeared rows may be kept.
func (f *Follower[T]) RemovalsAsOf() (time.Duration, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.keptAsOf > 0 {
		return f.keptAsOf, true
	}
	return f.evidence.asOf, f.evidence.loaded
}

// OutageDuration returns for how long the current outage has lasted, or zero if
// there is none.
func (f *Follower[T]) OutageDuration() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.outageStart == 0 {
		return 0
	}
	return f.config.Clock() - f.outageStart
}

// MissingFor returns for how long others have reported a change that the copy
// lacks, or zero if none is known.
func (f *Follower[T]) MissingFor() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.evidence.missed == 0 {
		return 0
	}
	return f.config.Clock() - f.evidence.missedAt
}

// Proof returns the newest proof that the follower has, or the zero proof.
func (f *Follower[T]) Proof() Proof {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.evidence.proof
}

// Learn gives the follower a proof from elsewhere: from a follower of the same
// table, or from a call to another table of the same store, whose response
// covers all tables up to its revision. It does not block.
func (f *Follower[T]) Learn(p Proof) {
	f.mu.Lock()
	outdated := f.evidence.use(p, f.config.Clock())
	f.mu.Unlock()
	if outdated {
		f.signal()
	}
}

// signal wakes up Run.
func (f *Follower[T]) signal() {
	select {
	case f.wake <- struct{}{}:
	default: // Run has not yet seen the signal before.
	}
}

// Run follows the table until the context ends, and returns the context's
// error.
func (f *Follower[T]) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	for ctx.Err() == nil {
		f.startCalls(ctx)
		f.await(ctx)
		now := f.config.Clock()
		f.noticeEra(now)
		f.keepOneTransfer(now)
		f.noticeOutage(now)
		if f.copy.removeExpired(now) {
			f.config.Apply(f.copy.snapshot(), f.copy.era)
		}
		f.endGrace(now)
	}
	return fmt.Errorf("follow table: %w", ctx.Err())
}

// await waits for the end of a call, for a signal, or until something is due.
func (f *Follower[T]) await(ctx context.Context) {
	timer := time.NewTimer(f.nextDue() - f.config.Clock())
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	case <-f.wake:
	case r := <-f.results:
		f.handle(r)
	}
}

// age returns the time since the copy was last known to be current, or zero
// before the first response.
func (f *Follower[T]) age(now time.Duration) time.Duration {
	asOf, ok := f.AsOf()
	if !ok {
		return 0
	}
	return now - asOf
}

// setOutageStart sets the start of the outage. Zero ends it.
func (f *Follower[T]) setOutageStart(since time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.outageStart = since
}
