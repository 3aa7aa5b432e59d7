package relay

import (
	"context"
	"sync"
	"time"

	"snipetally.example/router/internal/placement"
)

// watchdog detects an attempt that makes no progress. It reports the stall to
// the balancer, and cancels the attempt if the request may be sent to another
// server.
type watchdog struct {
	// gapLimit is the longest pause between events.
	gapLimit time.Duration

	// mu guards the fields below. progressAt is when the server last made
	// progress, and dueAt when it counts as stalled.
	mu         sync.Mutex
	timer      *time.Timer
	progressAt time.Time
	dueAt      time.Time
}

// watch starts a watchdog for an attempt at a server.
func (p *proxiedRequest) watch(server string, reservation *placement.Reservation, cancel context.CancelCauseFunc) *watchdog {
	firstLimit := max(stallFactor*reservation.ExpectedLatency(), stallTargetFactor*p.class.TargetLatency)
	if p.headWritten {
		firstLimit = max(firstLimit, p.gapLimit())
	}
	retryable := p.class.Retryable() && p.executions+1 < max(p.class.MaxAttempts, 1)
	w := &watchdog{gapLimit: p.gapLimit()}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.expectProgress(time.Now(), firstLimit)
	w.timer = time.AfterFunc(firstLimit, func() {
		reservation.RecordStall(time.Now())
		p.logSilence(server, w, retryable)
		if retryable {
			cancel(errStalled)
		}
	})
	return w
}

// gapLimit returns the longest pause between events before a stream counts as
// stalled.
func (p *proxiedRequest) gapLimit() time.Duration {
	return max(gapFactor*p.class.TargetGap, gapFloor)
}

// expectProgress sets the time by which the server has to make progress. The
// caller holds w.mu.
func (w *watchdog) expectProgress(now time.Time, limit time.Duration) {
	w.progressAt, w.dueAt = now, now.Add(limit)
}

// progress restarts the timer after events have arrived.
func (w *watchdog) progress() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.expectProgress(time.Now(), w.gapLimit)
	w.timer.Reset(w.gapLimit)
}

// silence returns for how long the server has made no progress, and how late the
// timer is.
func (w *watchdog) silence(now time.Time) (silent, overdue time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return now.Sub(w.progressAt), now.Sub(w.dueAt)
}

// stop ends the detection.
func (w *watchdog) stop() { w.timer.Stop() }
