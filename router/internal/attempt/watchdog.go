package attempt

import (
	"context"
	"sync"
	"time"
)

// watchdog ends a context when no progress is made in time. Its timer is not
// moved for each piece of progress, since those come often: when it fires it
// looks whether the time has been put off.
type watchdog struct {
	fire func()

	// mu guards the fields below.
	mu    sync.Mutex
	timer *time.Timer
	due   time.Time
	armed bool

	// next is when the timer fires. It is zero if the timer is stopped.
	next time.Time
}

// watch returns a context that ends with ErrSilent as its cause unless the
// watchdog is disarmed or put off within d. The cancel function must be called.
func watch(ctx context.Context, d time.Duration) (context.Context, *watchdog, context.CancelFunc) {
	ctx, cancel := context.WithCancelCause(ctx)
	w := &watchdog{fire: func() { cancel(ErrNoProgress) }}
	w.arm(time.Now().Add(d))
	return ctx, w, func() {
		w.stop()
		cancel(context.Canceled)
	}
}

// arm sets the time by which progress must be made.
func (w *watchdog) arm(due time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.due, w.armed = due, true
	if w.next.IsZero() || due.Before(w.next) {
		w.schedule()
	}
}

// disarm lets any time pass. An end that has begun already stays.
func (w *watchdog) disarm() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.armed = false
}

// stop ends the watchdog.
func (w *watchdog) stop() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.armed = false
	w.timer.Stop()
}

// schedule makes the timer fire when the time is over. The caller holds w.mu.
func (w *watchdog) schedule() {
	w.next = w.due
	if w.timer == nil {
		w.timer = time.AfterFunc(time.Until(w.due), w.check)
		return
	}
	w.timer.Reset(time.Until(w.due))
}

// check ends the context if the time is over.
func (w *watchdog) check() {
	w.mu.Lock()
	defer w.mu.Unlock()
	switch {
	case !w.armed:
		w.next = time.Time{}
	case time.Now().Before(w.due):
		w.schedule()
	default:
		w.next = time.Time{}
		w.fire()
	}
}
