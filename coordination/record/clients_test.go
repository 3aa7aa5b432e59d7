package record_test

import (
	"context"
	"fmt"
	"time"

	"github.com/juju/errors"

	"snipetally.example/coordination/record"
	"snipetally.example/coordination/table"
)

// tableClient is the table as seen by one router, with injected faults.
type tableClient struct {
	router *router
}

func (c *tableClient) Read(ctx context.Context, keys ...string) ([]table.Row, error) {
	if c.router.takeTableFault() != noFault {
		return nil, fmt.Errorf("read: %w", table.ErrUnavailable)
	}
	delay(ctx, tableDelay)
	return c.router.cluster.store.Read(ctx, keys...)
}

func (c *tableClient) List(ctx context.Context, r table.Range) ([]table.Row, error) {
	if c.router.takeTableFault() != noFault {
		return nil, fmt.Errorf("list: %w", table.ErrUnavailable)
	}
	delay(ctx, tableDelay)
	return c.router.cluster.store.List(ctx, r)
}

func (c *tableClient) Commit(ctx context.Context, tx table.Transaction) error {
	store := c.router.cluster.store
	fault := c.router.takeTableFault()
	if fault == tableUnavailable {
		delay(ctx, tableDelay)
		return fmt.Errorf("commit: %w", table.ErrUnavailable)
	}
	if fault == commitLost {
		delay(ctx, 80*time.Millisecond)
		return fmt.Errorf("commit: %w", table.ErrUncertain)
	}
	if fault == commitDelayed {
		c.router.cluster.running.Go(func() {
			time.Sleep(150 * time.Millisecond)
			_ = store.Commit(context.Background(), tx)
		})
		return fmt.Errorf("commit: %w", table.ErrUncertain)
	}
	delay(ctx, tableDelay/2)
	err := store.Commit(context.Background(), tx)
	delay(ctx, tableDelay/2)
	if fault == commitResponseLost {
		return fmt.Errorf("commit: %w", table.ErrUncertain)
	}
	return err
}

// delay sleeps for d or until the context ends.
func delay(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}

// peers calls the other routers on behalf of one router.
type peers struct {
	router *router
}

// callPeer runs a call at another router unless that one is gone, and returns
// early when the context ends or the other router crashes.
func callPeer[T any](ctx context.Context, p *peers, vm string, call func(*record.Recorder) (T, error)) (T, error) {
	var zero T
	delay(ctx, peerDelay)
	other := p.router.cluster.routerByVM(vm)
	if other == nil || !other.alive() || !p.router.alive() {
		return zero, errors.New("router cannot be reached")
	}
	type result struct {
		value T
		err   error
	}
	done := make(chan result, 1)
	p.router.cluster.running.Go(func() {
		other.blockWhilePaused()
		value, err := call(other.recorder)
		other.blockWhilePaused()
		done <- result{value, err}
	})
	select {
	case r := <-done:
		delay(ctx, peerDelay)
		return r.value, r.err
	case <-ctx.Done():
		return zero, ctx.Err()
	case <-other.dead:
		return zero, errors.New("router crashed")
	}
}

func (p *peers) Commit(ctx context.Context, vm string, entry record.Entry) (record.CommitResult, error) {
	return callPeer(ctx, p, vm, func(r *record.Recorder) (record.CommitResult, error) {
		return r.Commit(ctx, entry), nil
	})
}

func (p *peers) Await(ctx context.Context, vm, incarnation, attempt string) (record.Outcome, error) {
	return callPeer(ctx, p, vm, func(r *record.Recorder) (record.Outcome, error) {
		return r.Await(ctx, incarnation, attempt)
	})
}

func (p *peers) Claim(ctx context.Context, vm string, claim record.Claim) (record.Claim, error) {
	return callPeer(ctx, p, vm, func(r *record.Recorder) (record.Claim, error) {
		return r.Claim(ctx, claim)
	})
}
