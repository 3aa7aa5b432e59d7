package relay

import (
	"context"
	"time"

	"snipetally.example/router/internal/placement"
)

// watchdog notices an attempt that makes no progress. It tells the board, and
// ends the attempt if another server may take the request.
type watchdog struct {
	timer *time.Timer
	gap   time.Duration
}

// watch starts a watchdog for an attempt.
func (x *exchange) watch(ticket *placement.Reservation, cancel context.CancelCauseFunc) *watchdog {
	first := max(stallFactor*ticket.ExpectedLatency(), stallTargets*x.class.TargetLatency)
	if x.begun {
		first = max(first, x.gapLimit())
	}
	other := x.class.Retryable() && x.runs+1 < max(x.class.MaxAttempts, 1)
	return &watchdog{
		timer: time.AfterFunc(first, func() {
			ticket.RecordStall(time.Now())
			if other {
				cancel(errStalled)
			}
		}),
		gap: x.gapLimit(),
	}
}

// gapLimit returns the longest pause between events that is waited out.
func (x *exchange) gapLimit() time.Duration {
	return max(gapFactor*x.class.TargetGap, gapFloor)
}

// progress notes an event.
func (w *watchdog) progress() { w.timer.Reset(w.gap) }

// stop ends the watch.
func (w *watchdog) stop() { w.timer.Stop() }
