package feed

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/juju/errors"
)

const (
	// callTimeout bounds a call that doesn't wait for changes. A table that is
	// slowed down by a factor of sixty still responds in time.
	callTimeout = 600 * time.Millisecond

	// watchMargin is added to the wait of a watch to allow for the round trip.
	watchMargin = 600 * time.Millisecond

	// Short calls that are not answered are repeated, without waiting for their
	// end, every fastRetryInterval for fastRetryTime and then every
	// slowRetryInterval. The short intervals bound how old the copy gets when the
	// connections are silent for a moment; the long ones spare the table load
	// during an outage.
	fastRetryInterval = 250 * time.Millisecond
	slowRetryInterval = 600 * time.Millisecond
	fastRetryTime     = 1500 * time.Millisecond

	// minShortPause is the pause between the end of a call and the next short
	// call.
	minShortPause = 100 * time.Millisecond

	// missedDelay is the time in which the watch in progress should deliver a
	// change that another follower already has.
	missedDelay = 100 * time.Millisecond
)

// Follower keeps a copy of a table. Run must be called once; the other methods
// may be called from any goroutine.
//
// Run owns the copy and makes all calls to the table. There are two kinds: a
// watch is open most of the time, so that changes arrive at once; short calls
// read the table, ask whether it is back after a failure, and check the copy when
// nothing has proved it to be current for too long.
type Follower[T any] struct {
	config Config[T]

	// results receives the ends of calls, and wake a signal that the copy is
	// outdated.
	results chan result[T]
	wake    chan struct{}

	// The fields up to mu are only used by Run. watch is the watch in progress, or
	// nil, and short are the short calls in progress. No watch is sent before
	// nextWatch, and no short call before nextShort. askingSince is when the first
	// of the short calls was sent that were not answered yet, if asking is set. unprovedLimit is the time without a proof after which the
	// copy is checked. spreadWatch says that the next watch waits for a random
	// part of the usual time, and compacted that no watch has succeeded since
	// the feed was last found compacted.
	copy          tableCopy[T]
	watch         *call
	short         []*call
	nextWatch     time.Duration
	nextShort     time.Duration
	asking        bool
	askingSince   time.Duration
	unprovedLimit time.Duration
	spreadWatch   bool
	compacted     bool

	// failingSince is when the current outage began, if failing is set.
	failing      bool
	failingSince time.Duration

	// mu guards the fields below. outageStart is when the first failed call
	// since the last successful one failed, or zero.
	mu          sync.Mutex
	evidence    evidence
	outageStart time.Duration
}

// call is a call in progress.
type call struct {
	kind   Call
	sent   time.Duration
	cancel context.CancelFunc
}

// result is the end of a call.
type result[T any] struct {
	call     *call
	response Response[T]
	err      error
}

// NewFollower returns a follower with an empty copy.
func NewFollower[T any](config Config[T]) *Follower[T] {
	f := &Follower[T]{
		config:      config,
		copy:        newTableCopy[T](config.RemovalGrace),
		results:     make(chan result[T]),
		wake:        make(chan struct{}, 1),
		spreadWatch: true,
	}
	f.drawUnprovedLimit()
	return f
}

// AsOf returns the time on the follower's clock up to which its copy is proved to
// be current. It returns false before the first response.
func (f *Follower[T]) AsOf() (time.Duration, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
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
	if !outdated {
		return
	}
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
		if f.copy.removeExpired(f.config.Clock()) {
			f.config.Apply(f.copy.snapshot())
		}
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

// maxAwait bounds the wait for something due, so that a clock that jumps delays
// nothing for long.
const maxAwait = time.Minute

// nextDue returns the time on the clock when the next call or removal is due.
func (f *Follower[T]) nextDue() time.Duration {
	due := min(f.config.Clock()+maxAwait, f.shortDue())
	if f.watch == nil && f.watching() {
		due = min(due, f.nextWatch)
	}
	if removal, ok := f.copy.nextRemoval(); ok {
		due = min(due, removal)
	}
	return due
}

// watching reports whether the table is watched. While it can't be reached or
// has to be read again, it is not.
func (f *Follower[T]) watching() bool { return f.copy.loaded && !f.failing }

// shortDue returns when the next short call is due. In the pause between two
// watches the copy is not checked, as the next watch reports the changes made
// meanwhile.
func (f *Follower[T]) shortDue() time.Duration {
	if f.asking || !f.watching() {
		return f.nextShort
	}
	return max(f.checkDue(), f.nextShort, f.nextWatch+missedDelay)
}

// checkDue returns when the copy has to be checked unless a proof arrives
// before.
func (f *Follower[T]) checkDue() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	due := f.config.Clock() + maxAwait
	if f.config.MaxUnproved > 0 {
		due = f.evidence.asOf + f.unprovedLimit
	}
	if f.evidence.missed > 0 {
		due = min(due, f.evidence.missedAt+missedDelay)
	}
	return due
}

// startCalls starts the calls that are due.
func (f *Follower[T]) startCalls(ctx context.Context) {
	now := f.config.Clock()
	if now >= f.shortDue() {
		f.startShort(ctx, now)
	}
	if f.watch == nil && f.watching() && now >= f.nextWatch {
		f.watch = f.startWatch(ctx, now)
	}
}

// startShort starts a read, or a check if the copy only has to catch up.
func (f *Follower[T]) startShort(ctx context.Context, now time.Duration) {
	if !f.asking {
		f.asking, f.askingSince = true, now
		f.drawUnprovedLimit()
	}
	f.nextShort = now + slowRetryInterval
	if now-f.askingSince < fastRetryTime {
		f.nextShort = now + fastRetryInterval
	}
	kind, request := ReadCall, f.config.Source.Read
	if f.copy.loaded {
		after := f.copy.revision
		kind, request = CheckCall, func(ctx context.Context) (Response[T], error) {
			return f.config.Source.Watch(ctx, after, 0)
		}
	}
	f.short = append(f.short, f.start(ctx, now, kind, callTimeout, request))
}

// startWatch starts a watch. The first one after a change, which all followers
// see at the same time, waits for a random part of the usual time. The responses
// to different followers, which are proofs for all, are then spread over time.
func (f *Follower[T]) startWatch(ctx context.Context, now time.Duration) *call {
	wait := f.config.WatchWait
	if f.spreadWatch {
		wait = time.Duration(rand.Int64N(int64(wait) + 1))
	}
	f.spreadWatch = false
	after := f.copy.revision
	return f.start(ctx, now, WatchCall, wait+watchMargin, func(ctx context.Context) (Response[T], error) {
		return f.config.Source.Watch(ctx, after, wait)
	})
}

// start makes a call in a goroutine that ends with the call.
func (f *Follower[T]) start(
	ctx context.Context, now time.Duration, kind Call, timeout time.Duration,
	request func(context.Context) (Response[T], error),
) *call {
	callCtx, cancel := context.WithTimeout(ctx, timeout)
	c := &call{kind: kind, sent: now, cancel: cancel}
	go func() {
		defer cancel()
		response, err := request(callCtx)
		select {
		case f.results <- result[T]{call: c, response: response, err: err}:
		case <-ctx.Done():
		}
	}()
	return c
}

// dropWatch cancels the watch in progress, if there is one.
func (f *Follower[T]) dropWatch() {
	if f.watch != nil {
		f.watch.cancel()
		f.watch = nil
	}
}

// dropShort cancels the short calls in progress.
func (f *Follower[T]) dropShort() {
	for _, c := range f.short {
		c.cancel()
	}
	f.short, f.asking = nil, false
}

// handle processes the end of a call, unless the call was dropped.
func (f *Follower[T]) handle(r result[T]) {
	if !f.forget(r.call) {
		r.err = ErrDropped
	}
	if f.config.OnCall != nil {
		f.config.OnCall(r.call.kind, r.err)
	}
	switch {
	case errors.Is(r.err, ErrDropped):
	case r.err == nil:
		f.succeeded(r)
	case errors.Is(r.err, ErrCompacted):
		f.reread()
	default:
		f.failed(r.call, fmt.Errorf("call table: %w", r.err))
	}
}

// forget removes a call from those in progress and reports whether it was one of
// them.
func (f *Follower[T]) forget(c *call) bool {
	if c == f.watch {
		f.watch = nil
		return true
	}
	before := len(f.short)
	f.short = slices.DeleteFunc(f.short, func(other *call) bool { return other == c })
	return len(f.short) < before
}

// reread drops all calls and reads the whole table, at once unless it was read
// for the same reason just before.
func (f *Follower[T]) reread() {
	now := f.config.Clock()
	f.dropWatch()
	f.dropShort()
	f.nextShort = now
	if f.compacted {
		f.nextShort = now + minShortPause
	}
	f.copy.loaded, f.compacted = false, true
	f.config.OnEvent(Event{Compacted: true, Age: f.age(now)})
}

// failed records a failed call. Until a short call succeeds, the table counts as
// unreachable and is not watched.
func (f *Follower[T]) failed(c *call, err error) {
	now := f.config.Clock()
	if f.failing {
		return
	}
	f.dropWatch()
	f.failing, f.failingSince = true, now
	if !f.asking {
		f.nextShort = now + minShortPause
	}
	f.setOutageStart(now)
	f.config.OnEvent(Event{Lost: true, Err: err, Open: now - c.sent, Age: f.age(now)})
}

// succeeded applies a response.
func (f *Follower[T]) succeeded(r result[T]) {
	now := f.config.Clock()
	f.dropShort()
	f.nextShort = now + minShortPause
	if f.failing {
		f.endOutage(now)
	}
	if f.apply(r, now) {
		f.spreadWatch = true
		f.replaceSilentWatch(now)
	}
	if r.call.kind != CheckCall {
		f.nextWatch = now + f.config.WatchPause
	}
	if r.call.kind == WatchCall {
		f.compacted = false
	}
	if f.config.OnResponse != nil {
		f.config.OnResponse(r.call.kind, r.response.Revision, r.response.Clock)
	}
}

// apply applies a response to the copy and records what it proves. It reports
// whether the response had changes that the copy lacked.
func (f *Follower[T]) apply(r result[T], now time.Duration) bool {
	full := r.call.kind == ReadCall
	var newest int64
	changed := true
	if full {
		newest = f.copy.load(now, r.response, f.reportUnusable)
	} else {
		newest, changed = f.copy.update(now, r.response, f.reportUnusable)
	}
	if changed {
		f.config.Apply(f.copy.snapshot())
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.evidence.recordResponse(r.call.sent, now, r.response.Clock, r.response.Revision, newest, full)
	if r.call.kind != WatchCall {
		f.evidence.refuteMissed(r.call.sent)
	}
	return full || newest > 0
}

// replaceSilentWatch drops a watch that is still in progress after another call
// brought changes that it should have delivered.
func (f *Follower[T]) replaceSilentWatch(now time.Duration) {
	if f.watch == nil {
		return
	}
	f.config.OnEvent(Event{Silent: true, Open: now - f.watch.sent, Age: f.age(now)})
	f.dropWatch()
	f.nextWatch = now + f.config.WatchPause
}

// endOutage records that the table is reachable again. If the outage was long
// enough for rows to lapse, rows that disappear soon are kept for a while.
func (f *Follower[T]) endOutage(now time.Duration) {
	age := f.age(now)
	f.failing, f.spreadWatch = false, true
	f.setOutageStart(0)
	if age >= f.config.LapseTime {
		f.copy.beginGrace(now, f.config.LapseGrace)
	}
	f.config.OnEvent(Event{Regained: true, Outage: now - f.failingSince, Age: age})
}

// reportUnusable reports a row that can't be used.
func (f *Follower[T]) reportUnusable(c Change[T]) {
	f.config.OnEvent(Event{Key: c.Key, Err: c.Err})
}

// drawUnprovedLimit draws the time without a proof after which the copy is
// checked.
func (f *Follower[T]) drawUnprovedLimit() {
	half := f.config.MaxUnproved / 2
	f.unprovedLimit = half + time.Duration(rand.Int64N(int64(half)+1))
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
