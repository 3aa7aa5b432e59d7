package daemon

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"

	"snipetally.example/coordination/table"
)

// killSwitch signals to Run that Kill was called. Kill disconnects the table before
// it closes done.
type killSwitch struct {
	once sync.Once
	done chan struct{}
}

// Kill stops the router abruptly, like the loss of its VM: nothing is drained, no
// more records are written, the other routers are not notified, and the
// connections of callers break. Run returns soon afterwards. Kill is meant for
// tests that need many crashes in one process. Unlike after the loss of a VM,
// engines notice that their requests have no reader left.
func (r *Router) Kill() {
	r.killSwitch.once.Do(func() {
		r.platform.disconnected.Store(true)
		close(r.killSwitch.done)
		for _, e := range r.endpoints.all() {
			_ = e.server.Close()
		}
		_ = r.endpoints.datagrams.Close()
	})
}

// wasKilled reports whether Kill was called.
func (r *Router) wasKilled() bool {
	select {
	case <-r.killSwitch.done:
		return true
	default:
		return false
	}
}

// waitForAborted waits, for at most closeTimeout, until the requests of a killed
// router have noticed that their callers are gone, so that none uses a component
// after it is closed.
func (r *Router) waitForAborted() {
	ctx, cancel := context.WithTimeout(context.Background(), closeTimeout)
	defer cancel()
	r.inflight.Close()
	_ = r.inflight.Wait(ctx)
}

// disconnectableTable is a table that can be disconnected permanently. Calls sent
// before the disconnect may still take effect.
type disconnectableTable struct {
	inner        table.Table
	disconnected *atomic.Bool
}

// Read implements table.Table.
func (t disconnectableTable) Read(ctx context.Context, keys ...string) ([]table.Row, error) {
	if t.disconnected.Load() {
		return nil, fmt.Errorf("read rows: %w", table.ErrUnavailable)
	}
	return t.inner.Read(ctx, keys...) //nolint:wrapcheck // Plain forwarding.
}

// List implements table.Table.
func (t disconnectableTable) List(ctx context.Context, r table.Range) ([]table.Row, error) {
	if t.disconnected.Load() {
		return nil, fmt.Errorf("list rows: %w", table.ErrUnavailable)
	}
	return t.inner.List(ctx, r) //nolint:wrapcheck // Plain forwarding.
}

// Commit implements table.Table.
func (t disconnectableTable) Commit(ctx context.Context, tx table.Transaction) error {
	if t.disconnected.Load() {
		return fmt.Errorf("commit: %w", table.ErrUnavailable)
	}
	return t.inner.Commit(ctx, tx) //nolint:wrapcheck // Plain forwarding.
}
