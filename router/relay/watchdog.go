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
func (p *proxiedRequest) watch(reservation *placement.Reservation, cancel context.CancelCauseFunc) *watchdog {
	firstLimit := max(stallFactor*reservation.ExpectedLatency(), stallTargetFactor*p.class.TargetLatency)
	if p.headWritten {
		firstLimit = max(firstLimit, p.gapLimit())
	}
	retryable := p.class.Retryable() && p.executions+1 < max(p.class.MaxAttempts, 1)
	return &watchdog{
		timer: time.AfterFunc(firstLimit, func() {
			reservation.RecordStall(time.Now())
			if retryable {
				cancel(errStalled)
			}
		}),
		gapLimit: p.gapLimit(),
	}
}

// gapLimit returns the longest pause between events before a stream counts as
// stalled.
func (p *proxiedRequest) gapLimit() time.Duration {
	return max(gapFactor*p.class.TargetGap, gapFloor)
}

// progress restarts the timer after events have arrived.
func (w *watchdog) progress() { w.timer.Reset(w.gapLimit) }

// stop ends the detection.
func (w *watchdog) stop() { w.timer.Stop() }
