package relay

import (
	"context"
	"time"

	"snipetally.example/router/internal/placement"
)

// watchdog ends an attempt that makes no progress. It does nothing for requests
// that can't be repeated.
type watchdog struct {
	timer *time.Timer
	gap   time.Duration
}

// watch starts a watchdog for an attempt. It is nil-safe: requests that can't
// go to another server are not watched.
func (x *exchange) watch(ticket *placement.Ticket, cancel context.CancelCauseFunc) *watchdog {
	if !x.class.Repeatable() || x.runs+1 >= max(x.class.Attempts, 1) {
		return &watchdog{}
	}
	first := max(stallFactor*ticket.Expected(), stallTargets*x.class.Target)
	if x.begun {
		first = max(first, x.gapLimit())
	}
	return &watchdog{
		timer: time.AfterFunc(first, func() { cancel(errStalled) }),
		gap:   x.gapLimit(),
	}
}

// gapLimit returns the longest pause between events that is waited out.
func (x *exchange) gapLimit() time.Duration {
	return max(gapFactor*x.class.Gap, gapFloor)
}

// progress notes an event.
func (w *watchdog) progress() {
	if w.timer != nil {
		w.timer.Reset(w.gap)
	}
}

// stop ends the watch.
func (w *watchdog) stop() {
	if w.timer != nil {
		w.timer.Stop()
	}
}
