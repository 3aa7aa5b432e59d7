package feed

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"snipetally.example/coordination/progress"
)

const (
	// callTimeout is how long a response may take to begin, for a watch beyond its
	// wait. Older responses prove nothing that is still of use.
	callTimeout = 5 * time.Second

	// stallTimeout is how long a response that has begun to arrive may deliver
	// nothing, and maxTransferTime how long it may take in all.
	stallTimeout    = time.Second
	maxTransferTime = 30 * time.Second

	// minPatience and maxPatience bound the time after which the table counts as
	// unreachable if no short call is answered.
	minPatience = 600 * time.Millisecond
	maxPatience = 3 * time.Second

	// Checks that are not answered are repeated, without waiting for their end,
	// every fastRetryInterval for fastRetryTime. The short interval bounds how
	// old the copy gets when the connections are silent for a moment. After that
	// time, and reads, which may be long, are repeated every slowRetryInterval,
	// which spares the table load.
	fastRetryInterval = 250 * time.Millisecond
	fastRetryTime     = 1500 * time.Millisecond
	slowRetryInterval = minPatience

	// minShortPause is the pause between the end of a call and the next short
	// call.
	minShortPause = 100 * time.Millisecond

	// missedDelay is the time in which the watch in progress should deliver a
	// change that another follower already has.
	missedDelay = 100 * time.Millisecond
)

// call is a call in progress.
type call struct {
	kind Call
	sent time.Duration

	// drop cancels the call because its result is no longer needed.
	drop func()

	// mu guards the fields below, which belong to the response: how much of it
	// has arrived, and when its first and its latest part did.
	mu         sync.Mutex
	bytes      int64
	begunAt    time.Duration
	progressAt time.Duration
}

// record records that a part of the response has arrived, and reports whether it
// is the first.
func (c *call) record(now time.Duration, bytes int) (first bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	first = c.bytes == 0
	if first {
		c.begunAt = now
	}
	c.bytes += int64(bytes)
	c.progressAt = now
	return first
}

// progress returns how much of the response has arrived, and when its first and
// its latest part did.
func (c *call) progress() (bytes int64, begunAt, progressAt time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.bytes, c.begunAt, c.progressAt
}

// result is the end of a call.
type result[T any] struct {
	call     *call
	response Response[T]
	err      error

	// indirect says that the call went through another process.
	indirect bool
}

// startCalls starts the calls that are due.
func (f *Follower[T]) startCalls(ctx context.Context) {
	now := f.config.Clock()
	if now >= f.shortDue() {
		f.startShort(ctx, now)
	}
	if due, ok := f.indirectDue(); ok && now >= due {
		f.startIndirect(ctx, now)
	}
	if f.watch == nil && f.watching() && !f.behind() && now >= f.nextWatch {
		f.watch = f.startWatch(ctx, now)
	}
}

// startShort starts a read, or a check if the copy only has to catch up.
func (f *Follower[T]) startShort(ctx context.Context, now time.Duration) {
	if !f.asking {
		f.asking, f.askingSince = true, now
		f.drawUnprovedLimit()
	}
	interval := slowRetryInterval
	if f.copy.loaded && now-f.askingSince < fastRetryTime {
		interval = fastRetryInterval
	}
	f.nextShort = now + max(interval, f.expectedAnswer())
	kind, request := f.shortRequest(f.config.Source)
	f.short = append(f.short, f.start(ctx, now, kind, callTimeout, request))
}

// shortRequest returns the call to a source that brings the copy up to date.
func (f *Follower[T]) shortRequest(source Source[T]) (Call, func(context.Context, Received) (Response[T], error)) {
	if !f.copy.loaded || f.behind() {
		return ReadCall, source.Read
	}
	after := f.copy.revision
	return CheckCall, func(ctx context.Context, received Received) (Response[T], error) {
		return source.Watch(ctx, after, 0, received)
	}
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
	return f.start(ctx, now, WatchCall, wait+callTimeout, func(ctx context.Context, received Received) (Response[T], error) {
		return f.config.Source.Watch(ctx, after, wait, received)
	})
}

// start makes a call in a goroutine that ends with the call. The call is canceled
// if its response does not begin within a timeout, or stops arriving.
func (f *Follower[T]) start(
	ctx context.Context, now time.Duration, kind Call, timeout time.Duration,
	request func(context.Context, Received) (Response[T], error),
) *call {
	callCtx, watch := progress.Begin(ctx, progress.Timeouts{
		Begin: timeout, Stall: stallTimeout, Total: timeout + maxTransferTime,
	})
	c := &call{kind: kind, sent: now, drop: func() { watch.Cancel(ErrDropped) }}
	received := func(bytes int) {
		watch.Passed(bytes)
		if bytes > 0 && c.record(f.config.Clock(), bytes) {
			f.signal()
		}
	}
	go func() {
		defer watch.Stop()
		response, err := request(callCtx, received)
		err = watch.Explain(err)
		select {
		case f.results <- result[T]{call: c, response: response, err: err}:
		case <-ctx.Done():
		}
	}()
	return c
}

// drawUnprovedLimit draws the time without a proof after which the copy is
// checked.
func (f *Follower[T]) drawUnprovedLimit() {
	half := f.config.MaxUnproved / 2
	f.unprovedLimit = half + time.Duration(rand.Int64N(int64(half)+1))
}

// dropWatch cancels the watch in progress, if there is one.
func (f *Follower[T]) dropWatch() {
	if f.watch != nil {
		f.watch.drop()
		f.watch = nil
	}
}

// dropShort cancels the short calls in progress.
func (f *Follower[T]) dropShort() {
	for _, c := range f.short {
		c.drop()
	}
	f.short, f.asking = nil, false
}
