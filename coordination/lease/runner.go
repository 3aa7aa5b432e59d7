package lease

import (
	"cmp"
	"context"
	"fmt"
	"time"

	"github.com/juju/errors"
	"golang.org/x/sync/errgroup"

	"snipetally.example/coordination/pause"
)

// Runner runs work while it holds a lease. T is the type of the result of the
// work.
type Runner[T any] struct {
	Manager *Manager
	Name    string

	// StopMargin is how long before the end of the lease the context of the
	// work ends. If it is zero, the manager's margin is used.
	StopMargin time.Duration

	// Work is called with a context that ends before the lease does, with a
	// cause that wraps ErrLost. It must return soon after that.
	Work func(ctx context.Context, l *Lease) (T, error)
}

// Run acquires the lease, runs the work once while it renews the lease, and
// then releases the lease. A lease that was lost is not released. The error is
// that of the work, or wraps ErrLost if the lease was lost meanwhile.
func (r Runner[T]) Run(ctx context.Context) (T, error) {
	var result T
	l, err := r.Manager.Acquire(ctx, r.Name)
	if err != nil {
		return result, fmt.Errorf("run under lease: %w", err)
	}
	r.StopMargin = cmp.Or(r.StopMargin, r.Manager.config.Margin)
	workCtx, cancel := context.WithCancelCause(ctx)
	var group errgroup.Group
	group.Go(func() error {
		defer cancel(nil)
		var err error
		result, err = r.Work(workCtx, l)
		if err != nil {
			return fmt.Errorf("work under lease %q: %w", r.Name, err)
		}
		return nil
	})
	group.Go(func() error {
		r.renew(workCtx, cancel, l)
		return nil
	})
	err = group.Wait()
	if cause := context.Cause(workCtx); errors.Is(cause, ErrLost) {
		if err == nil {
			return result, cause
		}
		return result, fmt.Errorf("%w: %w", cause, err)
	}
	releaseCtx, cancelRelease := context.WithTimeout(context.WithoutCancel(ctx), r.Manager.config.CallTimeout)
	defer cancelRelease()
	// If the release fails, the successor only waits until the lease expires.
	_ = l.Release(releaseCtx)
	return result, err
}

// renew renews the lease until ctx ends, and cancels ctx in time if the lease
// is lost. The timer runs independently of the calls to the table, so that a
// hanging call does not delay the cancellation.
func (r Runner[T]) renew(ctx context.Context, cancel context.CancelCauseFunc, l *Lease) {
	cancelLost := func() { cancel(fmt.Errorf("lease %q: %w", r.Name, ErrLost)) }
	endTimer := time.AfterFunc(l.Remaining()-r.StopMargin, cancelLost)
	defer endTimer.Stop()
	period := r.Manager.config.Duration / 4
	for pause.For(ctx, period) {
		err := l.Renew(ctx)
		if errors.Is(err, ErrLost) || !l.HeldFor(r.StopMargin) {
			cancelLost()
			return
		}
		if err == nil {
			endTimer.Reset(l.Remaining() - r.StopMargin)
		}
	}
}
