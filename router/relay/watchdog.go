package relay

import (
	"context"
	"time"

	"snipetally.example/router/internal/placement"
)

// watchdog detects an attempt that makes no progress. It reports the stall to
// the balancer, and cancels the attempt if the request may be sent to another
// server.
type watchdog struct {
	timer *time.Timer

	// gapLimit is the longest pause between events.
	gapLimit time.Duration
}

// watch starts a watchdog for an attempt.
func (x *exchange) watch(reservation *placement.Reservation, cancel context.CancelCauseFunc) *watchdog {
	firstLimit := max(stallFactor*reservation.ExpectedLatency(), stallTargetFactor*x.class.TargetLatency)
	if x.headWritten {
		firstLimit = max(firstLimit, x.gapLimit())
	}
	retryable := x.class.Retryable() && x.executions+1 < max(x.class.MaxAttempts, 1)
	return &watchdog{
		timer: time.AfterFunc(firstLimit, func() {
			reservation.RecordStall(time.Now())
			if retryable {
				cancel(errStalled)
			}
		}),
		gapLimit: x.gapLimit(),
	}
}

// gapLimit returns the longest pause between events before a stream counts as
// stalled.
func (x *exchange) gapLimit() time.Duration {
	return max(gapFactor*x.class.TargetGap, gapFloor)
}

// progress restarts the timer after events have arrived.
func (w *watchdog) progress() { w.timer.Reset(w.gapLimit) }

// stop ends the detection.
func (w *watchdog) stop() { w.timer.Stop() }
