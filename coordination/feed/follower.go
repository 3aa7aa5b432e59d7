package feed

import (
	"context"
	"fmt"
	"maps"
	"sync"
	"time"

	"github.com/juju/errors"
)

const (
	// readTimeout bounds a call that waits for no change. A table that is
	// slowed sixtyfold still answers in time.
	readTimeout = 600 * time.Millisecond

	// watchSlack is added to the wait of a watch, for its way there and back.
	watchSlack = 600 * time.Millisecond

	// firstPause and longestPause bound the pause after a failed call. Short
	// pauses find the table back soon, long ones spare it while it is away.
	firstPause   = 100 * time.Millisecond
	longestPause = 500 * time.Millisecond
)

// Config describes a follower.
type Config[T any] struct {
	Source Source[T]
	Clock  Clock

	// WatchWait is how long a watch waits for a change.
	WatchWait time.Duration

	// WatchPause is the shortest time between two watches. Changes within it come
	// with one answer.
	WatchPause time.Duration

	// LapseGrace is how long after the end of an outage a row that vanished
	// during it is kept. Its writer may just have been unable to renew it.
	LapseGrace time.Duration

	// RemovalGrace is how long a row is kept that vanishes in that time, but after
	// the first answer. It has most likely been removed in earnest.
	RemovalGrace time.Duration

	// Apply gets a copy of all rows whenever they changed. Calls come one
	// after the other.
	Apply func(rows map[string]T)

	// OnEvent gets what happened to the follower. It must not block.
	OnEvent func(Event)

	// OnCall gets each call that ended: whether it read the whole table or
	// watched it, and its error or nil. It must not block, and may be nil.
	OnCall func(call Call, err error)
}

// Call is a kind of call to a table.
type Call uint8

const (
	// ReadCall reads the whole table.
	ReadCall Call = iota

	// WatchCall waits for changes.
	WatchCall
)

// String returns the word for meters and logs.
func (c Call) String() string {
	if c == ReadCall {
		return "read"
	}
	return "watch"
}

// Event tells what happened to a follower.
type Event struct {
	// Err is the reason of a failed call, of a row that can't be used, or nil.
	Err error

	// Key names the row that can't be used, if the event is about one.
	Key string

	// Lost and Regained tell the first failed call and the first good one
	// after it.
	Lost     bool
	Regained bool

	// Outage is how long the table was out of reach when it is regained.
	Outage time.Duration
}

// Follower keeps a copy of a table. AsOf and Away may be called by any
// goroutine.
type Follower[T any] struct {
	config Config[T]

	// The fields up to mu belong to Run. vanished holds the times at which
	// rows are given up; caughtUp says that an answer came since the outage.
	rows     map[string]T
	revision int64
	synced   bool
	lostAt   time.Duration
	away     bool
	settled  time.Duration
	vanished map[string]time.Duration
	caughtUp bool

	// mu guards the fields below. lostSince is when the first of the failed
	// calls since the last good one failed, or zero.
	mu        sync.Mutex
	anchor    anchor
	known     bool
	asOf      time.Duration
	lostSince time.Duration
}

// NewFollower returns a follower that knows nothing yet.
func NewFollower[T any](config Config[T]) *Follower[T] {
	return &Follower[T]{config: config, rows: make(map[string]T), vanished: make(map[string]time.Duration)}
}

// AsOf returns the time on the follower's clock up to which its copy is known
// to be current, and false before the first answer.
func (f *Follower[T]) AsOf() (time.Duration, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.asOf, f.known
}

// OutageDuration returns for how long calls have been failing, or zero.
func (f *Follower[T]) OutageDuration() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.lostSince == 0 {
		return 0
	}
	return f.config.Clock() - f.lostSince
}

// setLost notes since when calls fail; zero ends it.
func (f *Follower[T]) setLost(since time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.lostSince = since
}

// Run follows the table until the context ends.
func (f *Follower[T]) Run(ctx context.Context) error {
	pause := firstPause
	for ctx.Err() == nil {
		err := f.step(ctx)
		switch {
		case err == nil:
			pause = firstPause
			sleep(ctx, min(f.config.WatchPause, f.untilGivenUp()))
		case errors.Is(err, ErrCompacted):
			f.synced = false
		case ctx.Err() == nil:
			f.lost(err)
			sleep(ctx, pause)
			pause = min(2*pause, longestPause)
		}
	}
	return fmt.Errorf("follow table: %w", ctx.Err())
}

// step makes one call and takes its answer.
func (f *Follower[T]) step(ctx context.Context) error {
	if !f.synced {
		return f.call(ctx, ReadCall, readTimeout, func(ctx context.Context) (Response[T], error) {
			return f.config.Source.Read(ctx)
		})
	}
	wait := f.wait()
	return f.call(ctx, WatchCall, wait+watchSlack, func(ctx context.Context) (Response[T], error) {
		return f.config.Source.Watch(ctx, f.revision, wait)
	})
}

// wait returns how long the next watch waits. It is short after a failure, so
// that the first answer tells soon that the table is back, and while rows are
// waiting to be given up.
func (f *Follower[T]) wait() time.Duration {
	if f.away {
		return 0
	}
	return min(f.config.WatchWait, f.untilGivenUp())
}

// untilGivenUp returns the time until the next vanished row is given up.
func (f *Follower[T]) untilGivenUp() time.Duration {
	left := f.config.WatchWait
	now := f.config.Clock()
	for _, due := range f.vanished {
		left = min(left, max(due-now, 0))
	}
	return left
}

// call makes a call, notes how current its answer is, and takes its rows.
func (f *Follower[T]) call(
	ctx context.Context, kind Call, limit time.Duration, do func(context.Context) (Response[T], error),
) error {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	sent := f.config.Clock()
	reading, err := do(ctx)
	if f.config.OnCall != nil {
		f.config.OnCall(kind, err)
	}
	if err != nil {
		return fmt.Errorf("call table: %w", err)
	}
	f.regained()
	f.take(reading)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.asOf = max(f.asOf, f.anchor.observe(sent, f.config.Clock(), reading.Clock))
	f.known = true
	return nil
}

// take applies an answer to the copy.
func (f *Follower[T]) take(reading Response[T]) {
	changed := !f.synced
	if !f.synced {
		f.markMissing(reading.Changes)
	}
	for _, c := range reading.Changes {
		changed = f.change(c) || changed
	}
	changed = f.giveUpVanished() || changed
	f.synced, f.caughtUp = true, true
	f.revision = max(f.revision, reading.Revision)
	if changed {
		f.config.Apply(maps.Clone(f.rows))
	}
}

// change applies one row and reports whether the copy changed.
func (f *Follower[T]) change(c Change[T]) bool {
	if c.Err != nil {
		f.config.OnEvent(Event{Key: c.Key, Err: c.Err})
	}
	if !c.Removed && c.Err == nil {
		f.rows[c.Key] = c.Value
		delete(f.vanished, c.Key)
		return true
	}
	if _, ok := f.rows[c.Key]; !ok {
		return false
	}
	if c.Removed && f.settling() {
		f.vanished[c.Key] = f.givenUpAt()
		return false
	}
	delete(f.rows, c.Key)
	delete(f.vanished, c.Key)
	return true
}

// markMissing takes the rows that a whole reading lacks as removed.
func (f *Follower[T]) markMissing(all []Change[T]) {
	present := make(map[string]struct{}, len(all))
	for _, c := range all {
		present[c.Key] = struct{}{}
	}
	for key := range f.rows {
		if _, ok := present[key]; !ok {
			f.change(Change[T]{Key: key, Removed: true})
		}
	}
}

// settling reports whether an outage ended so recently that vanished rows are
// kept.
func (f *Follower[T]) settling() bool {
	return f.settled > 0 && f.config.Clock() < f.settled
}

// givenUpAt returns when a row that vanishes now is given up.
func (f *Follower[T]) givenUpAt() time.Duration {
	if !f.caughtUp {
		return f.settled
	}
	return min(f.settled, f.config.Clock()+f.config.RemovalGrace)
}

// giveUpVanished removes the rows that did not come back in time.
func (f *Follower[T]) giveUpVanished() bool {
	now := f.config.Clock()
	changed := false
	for key, due := range f.vanished {
		if now >= due {
			delete(f.rows, key)
			delete(f.vanished, key)
			changed = true
		}
	}
	return changed
}

// lost notes a failed call.
func (f *Follower[T]) lost(err error) {
	if f.away {
		return
	}
	f.away, f.lostAt = true, f.config.Clock()
	f.setLost(f.lostAt)
	f.config.OnEvent(Event{Lost: true, Err: err})
}

// regained notes a good call.
func (f *Follower[T]) regained() {
	if !f.away {
		return
	}
	f.away, f.caughtUp = false, false
	f.setLost(0)
	now := f.config.Clock()
	f.settled = now + f.config.LapseGrace
	f.config.OnEvent(Event{Regained: true, Outage: now - f.lostAt})
}

// sleep waits for d or for the end of the context.
func sleep(ctx context.Context, d time.Duration) {
	if d <= 0 {
		return
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
