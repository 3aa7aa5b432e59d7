package feed

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"time"
)

const (
	// callTimeout bounds a call that doesn't wait for changes. A table that is
	// slowed down by a factor of sixty still responds in time.
	callTimeout = 600 * time.Millisecond

	// watchMargin is added to the wait of a watch to allow for the round trip.
	watchMargin = 600 * time.Millisecond

	// Checks that are not answered are repeated, without waiting for their end,
	// every fastRetryInterval for fastRetryTime. The short interval bounds how
	// old the copy gets when the connections are silent for a moment. After that
	// time, and reads, which may be long, are repeated every slowRetryInterval,
	// which spares the table load.
	fastRetryInterval = 250 * time.Millisecond
	fastRetryTime     = 1500 * time.Millisecond
	slowRetryInterval = callTimeout

	// minShortPause is the pause between the end of a call and the next short
	// call.
	minShortPause = 100 * time.Millisecond

	// missedDelay is the time in which the watch in progress should deliver a
	// change that another follower already has.
	missedDelay = 100 * time.Millisecond
)

// call is a call in progress.
type call struct {
	kind   Call
	sent   time.Duration
	cancel context.CancelFunc

	// bytes is how much of the response has arrived.
	bytes atomic.Int64
}

// result is the end of a call.
type result[T any] struct {
	call     *call
	response Response[T]
	err      error
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
	if f.copy.loaded && now-f.askingSince < fastRetryTime {
		f.nextShort = now + fastRetryInterval
	}
	kind, request := ReadCall, f.config.Source.Read
	if f.copy.loaded {
		after := f.copy.revision
		kind, request = CheckCall, func(ctx context.Context, received Received) (Response[T], error) {
			return f.config.Source.Watch(ctx, after, 0, received)
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
	return f.start(ctx, now, WatchCall, wait+watchMargin, func(ctx context.Context, received Received) (Response[T], error) {
		return f.config.Source.Watch(ctx, after, wait, received)
	})
}

// start makes a call in a goroutine that ends with the call.
func (f *Follower[T]) start(
	ctx context.Context, now time.Duration, kind Call, timeout time.Duration,
	request func(context.Context, Received) (Response[T], error),
) *call {
	callCtx, cancel := context.WithTimeout(ctx, timeout)
	c := &call{kind: kind, sent: now, cancel: cancel}
	go func() {
		defer cancel()
		response, err := request(callCtx, func(bytes int) { c.bytes.Add(int64(bytes)) })
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
