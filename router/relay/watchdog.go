package relay

import (
	"context"
	"io"
	"sync"
	"time"

	"snipetally.example/router/internal/placement"
)

const (
	// stallFactor and stallTargetFactor bound how long a request waits for the
	// start of its response before its server counts as silent. They multiply
	// the expected time and the latency target of the request's class; the
	// longer of the two applies.
	stallFactor       = 8
	stallTargetFactor = 2

	// gapFactor and gapFloor bound the pause between events of a stream: a
	// multiple of the class's target gap, but at least the floor.
	gapFactor = 4
	gapFloor  = 800 * time.Millisecond

	// maxHealthyPause is the longest time for which a healthy server may stand
	// still. A stream at a silent server is not moved earlier if the server is
	// reachable: the server may still work on it, and the prompt has to be
	// processed again at another one.
	maxHealthyPause = 1500 * time.Millisecond

	// catchUpTime is how long a router waits after a limit has passed before it
	// calls a server silent. If the router itself stood still, it reads in that
	// time what has arrived meanwhile.
	catchUpTime = 100 * time.Millisecond

	// silenceCheckInterval is the time between two checks of whether a silent
	// attempt can be replaced.
	silenceCheckInterval = 250 * time.Millisecond
)

// watchdog watches an attempt for silence of its server. Silence is no failure,
// as a healthy server may stand still for a moment and go on. The watchdog
// reports it to the balancer at once, so that other requests avoid the server,
// but it ends the attempt only when it has secured a place for another one. Without
// that the attempt goes on until its server fails or the time is over.
type watchdog struct {
	request     *proxiedRequest
	server      string
	reservation *placement.Reservation

	// ctx is the context of the attempt, and cancel ends it.
	ctx    context.Context //nolint:containedctx // The watchdog's timer runs within the attempt.
	cancel context.CancelCauseFunc

	// replaceable says that the request may be sent to another server after this
	// attempt. tried are the servers of its attempts so far.
	replaceable bool
	tried       []string

	// mu guards the fields below. The locks of the balancer, the stream registry and
	// the log may be taken while it is held, but not it while one of them is.
	mu    sync.Mutex
	timer *time.Timer

	// waiting says that the router waits for the server. It does not while it
	// writes to the caller, who may read slowly. begun says that the response has
	// begun to arrive.
	waiting bool
	begun   bool

	// progressAt is when the server last made progress or the router began to wait
	// for it, whichever is later, and limit how long it may take from then.
	progressAt time.Time
	limit      time.Duration

	// overdue says that the limit has passed and the router is catching up;
	// reported, that the silence has been reported.
	overdue  bool
	reported bool

	// ended says that the attempt is over or has been given up. replacement is
	// the place for the next attempt in the latter case.
	ended       bool
	replacement *place
}

// watch starts a watchdog for an attempt at a server.
func (p *proxiedRequest) watch(ctx context.Context, server string, reservation *placement.Reservation, cancel context.CancelCauseFunc) *watchdog {
	w := &watchdog{
		request:     p,
		server:      server,
		reservation: reservation,
		ctx:         ctx,
		cancel:      cancel,
		replaceable: p.class.Retryable() && p.executions+1 < max(p.class.MaxAttempts, 1),
		tried:       append([]string(nil), p.tried...),
		waiting:     true,
		progressAt:  time.Now(),
		limit:       max(stallFactor*reservation.ExpectedLatency(), stallTargetFactor*p.class.TargetLatency),
	}
	if p.headWritten {
		w.limit = max(w.limit, p.gapLimit())
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.timer = time.AfterFunc(w.limit, w.check)
	return w
}

// gapLimit returns the longest pause between events before the server of a stream
// counts as silent.
func (p *proxiedRequest) gapLimit() time.Duration {
	return max(gapFactor*p.class.TargetGap, gapFloor)
}

// await records that the router waits for the server.
func (w *watchdog) await() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.waiting = true
	if !w.begun {
		return
	}
	w.progressAt = time.Now()
	if w.overdue && !w.ended {
		w.overdue, w.reported = false, false
		w.timer.Reset(w.limit)
	}
}

// received records that n bytes of the response have arrived.
func (w *watchdog) received(n int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.waiting = false
	if n > 0 && !w.begun {
		w.begun = true
		w.limit = w.request.gapLimit()
		w.timer.Reset(w.limit) // The limit for the start may be far longer.
	}
}

// watchedReader reads a response under a watchdog, or without one if another router made the
// attempt.
type watchedReader struct {
	response io.Reader
	watch    *watchdog
}

// Read implements io.Reader.
func (r watchedReader) Read(b []byte) (int, error) {
	if r.watch == nil {
		return r.response.Read(b) //nolint:wrapcheck // The caller sees what the response returns.
	}
	r.watch.await()
	n, err := r.response.Read(b)
	if n > 0 {
		r.watch.request.relay.contacts.Heard(time.Now())
	}
	r.watch.received(n)
	return n, err //nolint:wrapcheck // The caller sees what the response returns.
}

// finish ends the watch. It returns the place for the next attempt if this one was
// given up, which the caller has to use or to release.
func (w *watchdog) finish() *place {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.ended = true
	w.timer.Stop()
	return w.replacement
}

// check runs when the timer fires. It calls the server silent if the limit has
// passed, and replaces the attempt if that is due and possible.
func (w *watchdog) check() {
	if !w.replacementDue() {
		return
	}
	next := w.request.secureReplacement(w.ctx, w.tried)
	if !w.handOver(next) {
		w.request.releasePlace(next)
	}
}

// replacementDue reports whether the attempt is to be replaced now. It sets the
// timer for the next check.
func (w *watchdog) replacementDue() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := time.Now()
	silent := now.Sub(w.progressAt)
	switch {
	case w.ended:
		return false
	case !w.waiting:
		w.timer.Reset(w.limit)
		return false
	case silent < w.limit:
		w.timer.Reset(w.limit - silent)
		return false
	case !w.overdue:
		w.overdue = true
		w.timer.Reset(catchUpTime)
		return false
	case !w.reported:
		w.reported = true
		w.reservation.RecordStall(now)
		w.request.logSilence(w.server, silent, silent-w.limit)
	}
	if !w.replaceable {
		return false
	}
	remaining := w.replaceAfter(now) - silent
	if remaining > 0 {
		w.timer.Reset(min(remaining, silenceCheckInterval))
		return false
	}
	w.timer.Reset(silenceCheckInterval)
	return !w.request.relay.streams.migrating(w.request)
}

// replaceAfter returns how long the server may be silent before the attempt is
// replaced. A request that is not a stream may run at two servers at once, and one
// at an unreachable server has nothing to wait for.
func (w *watchdog) replaceAfter(now time.Time) time.Duration {
	if w.request.class.Kind != Stream || w.request.relay.balancer.Unreachable(now, w.server) {
		return w.limit
	}
	return max(w.limit, maxHealthyPause)
}

// handOver gives up the attempt for one at another place, which may be nil. It
// returns false if the attempt goes on or is over.
func (w *watchdog) handOver(next *place) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	silent := time.Since(w.progressAt)
	if next == nil || w.ended || !w.waiting || silent < w.limit || !w.request.relay.streams.removeUnlessMigrating(w.request) {
		return false
	}
	w.ended, w.replacement = true, next
	w.request.logReplacement(w.server, next.choice.Server, silent)
	w.cancel(errStalled)
	return true
}
