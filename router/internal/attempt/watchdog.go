package attempt

import (
	"context"
	"sync"
	"time"
)

// watchdog ends a context when no progress is made in time. Its timer is not
// reset for each piece of progress, since progress is frequent: when the timer
// fires, it checks whether the deadline has been moved.
type watchdog struct {
	expire func()

	// mu guards the fields below.
	mu       sync.Mutex
	timer    *time.Timer
	deadline time.Time
	armed    bool

	// timerAt is when the timer fires. It is zero if the timer is stopped.
	timerAt time.Time
}

// withWatchdog returns a context that ends with ErrNoProgress as its cause unless
// the watchdog is disarmed or re-armed within d. The cancel function must be
// called.
func withWatchdog(ctx context.Context, d time.Duration) (context.Context, *watchdog, context.CancelFunc) {
	ctx, cancel := context.WithCancelCause(ctx)
	w := &watchdog{expire: func() { cancel(ErrNoProgress) }}
	w.arm(time.Now().Add(d))
	return ctx, w, func() {
		w.stop()
		cancel(context.Canceled)
	}
}

// arm sets the deadline by which progress must be made.
func (w *watchdog) arm(deadline time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.deadline, w.armed = deadline, true
	if w.timerAt.IsZero() || deadline.Before(w.timerAt) {
		w.schedule()
	}
}

// disarm suspends the deadline. A context that has already ended stays ended.
func (w *watchdog) disarm() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.armed = false
}

// stop disarms the watchdog and stops its timer.
func (w *watchdog) stop() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.armed = false
	w.timer.Stop()
}

// schedule sets the timer to the deadline. The caller must hold w.mu.
func (w *watchdog) schedule() {
	w.timerAt = w.deadline
	if w.timer == nil {
		w.timer = time.AfterFunc(time.Until(w.deadline), w.onTimer)
		return
	}
	w.timer.Reset(time.Until(w.deadline))
}

// onTimer ends the context if the deadline has passed, and otherwise reschedules
// the timer if the watchdog is armed.
func (w *watchdog) onTimer() {
	w.mu.Lock()
	defer w.mu.Unlock()
	switch {
	case !w.armed:
		w.timerAt = time.Time{}
	case time.Now().Before(w.deadline):
		w.schedule()
	default:
		w.timerAt = time.Time{}
		w.expire()
	}
}
