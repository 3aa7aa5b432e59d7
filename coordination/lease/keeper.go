package lease

import (
	"context"
	"fmt"
	"time"

	"github.com/juju/errors"
	"golang.org/x/sync/errgroup"
)

// Runner does work under a lease. T is what the work returns.
type Runner[T any] struct {
	Manager *Manager
	Name    string

	// StopMargin is how long before the end of the lease the context of the work
	// ends. Zero stands for the margin of the manager.
	StopMargin time.Duration

	// Work is called with a context that ends before the lease does, with a
	// cause that wraps ErrLost. It returns soon after that.
	Work func(ctx context.Context, l *Lease) (T, error)
}

// Run acquires the lease, does the work once, renews the lease meanwhile and
// releases it afterwards. A lease that was lost is not released. The error is
// that of the work, or wraps ErrLost if the lease was lost meanwhile.
func (k Runner[T]) Run(ctx context.Context) (T, error) {
	var result T
	l, err := k.Manager.Acquire(ctx, k.Name)
	if err != nil {
		return result, fmt.Errorf("keep lease: %w", err)
	}
	fill(&k.StopMargin, k.Manager.settings.Margin)
	work, cancel := context.WithCancelCause(ctx)
	var group errgroup.Group
	group.Go(func() error {
		defer cancel(nil)
		var err error
		result, err = k.Work(work, l)
		if err != nil {
			return fmt.Errorf("work under lease %q: %w", k.Name, err)
		}
		return nil
	})
	group.Go(func() error {
		k.renew(work, cancel, l)
		return nil
	})
	err = group.Wait()
	if cause := context.Cause(work); errors.Is(cause, ErrLost) {
		if err == nil {
			return result, cause
		}
		return result, fmt.Errorf("%w: %w", cause, err)
	}
	release, stop := context.WithTimeout(context.WithoutCancel(ctx), k.Manager.settings.CallTimeout)
	defer stop()
	// A failed release costs the successor the rest of the lease, no more.
	_ = l.Release(release)
	return result, err
}

// renew renews until ctx ends, and ends it in time if the lease is lost. The
// timer runs beside the calls of the table, so that a hanging one does not
// delay the end.
func (k Runner[T]) renew(ctx context.Context, cancel context.CancelCauseFunc, l *Lease) {
	lost := func() { cancel(fmt.Errorf("lease %q: %w", k.Name, ErrLost)) }
	end := time.AfterFunc(l.Remaining()-k.StopMargin, lost)
	defer end.Stop()
	period := k.Manager.settings.Duration / 4
	for sleep(ctx, period) {
		err := l.Renew(ctx)
		if errors.Is(err, ErrLost) || !l.Held(k.StopMargin) {
			lost()
			return
		}
		if err == nil {
			end.Reset(l.Remaining() - k.StopMargin)
		}
	}
}
