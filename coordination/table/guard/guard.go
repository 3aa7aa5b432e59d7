package guard

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/juju/errors"
	"golang.org/x/time/rate"

	"snipetally.example/coordination/table"
)

const (
	// ErrOpen says that the breaker refused the call. It comes with
	// table.ErrUnavailable.
	ErrOpen = errors.ConstError("breaker open")

	// ErrRateLimited says that the budget of calls was spent. It comes with
	// table.ErrUnavailable.
	ErrRateLimited = errors.ConstError("budget of table calls spent")
)

// Guard is a table.Table that wraps another. It never calls the inner table
// twice for one call and never turns an uncertain outcome into a certain one:
// an error of the inner Commit that says nothing certain wraps
// table.ErrUncertain.
type Guard struct {
	inner    table.Table
	settings Settings
	limiters [table.NumKinds]*rate.Limiter
	breaker  breaker

	// mu guards the fields below.
	mu       sync.Mutex
	calls    [table.NumKinds]Calls
	answered time.Time
	failed   time.Time
}

var _ table.Table = (*Guard)(nil)

// New returns a guard around inner.
func New(inner table.Table, settings Settings) *Guard {
	settings = settings.withDefaults()
	g := &Guard{inner: inner, settings: settings, breaker: breaker{settings: settings}}
	for kind, r := range settings.RateLimits {
		if r.PerSecond > 0 {
			g.limiters[kind] = rate.NewLimiter(rate.Limit(r.PerSecond), max(1, r.Burst))
		}
	}
	return g
}

// Read implements table.Table. Errors wrap ErrUnavailable or ErrUncertain.
func (g *Guard) Read(ctx context.Context, keys ...string) (rows []table.Row, err error) {
	err = g.call(ctx, table.KindRead, func(ctx context.Context) (err error) {
		rows, err = g.inner.Read(ctx, keys...)
		return err
	})
	return rows, err
}

// List implements table.Table. Errors wrap ErrUnavailable or ErrUncertain.
func (g *Guard) List(ctx context.Context, r table.Range) (rows []table.Row, err error) {
	err = g.call(ctx, table.KindList, func(ctx context.Context) (err error) {
		rows, err = g.inner.List(ctx, r)
		return err
	})
	return rows, err
}

// Commit implements table.Table.
func (g *Guard) Commit(ctx context.Context, t table.Transaction) error {
	return g.call(ctx, table.KindCommit, func(ctx context.Context) error {
		return g.inner.Commit(ctx, t)
	})
}

// Statistics returns the counts and the state of the breaker.
func (g *Guard) Statistics() Statistics {
	state, opened := g.breaker.snapshot()
	g.mu.Lock()
	defer g.mu.Unlock()
	return Statistics{Calls: g.calls, State: state, Opened: opened, Answered: g.answered, Failed: g.failed}
}

// call runs one call within budget, breaker and deadline.
func (g *Guard) call(ctx context.Context, kind table.Kind, run func(context.Context) error) error {
	if err := g.wait(ctx, kind); err != nil {
		g.count(kind, func(c *Calls) { c.Refused++ })
		return fmt.Errorf("%s: %w", kind, err)
	}
	probe, ok := g.breaker.admit()
	if !ok {
		g.count(kind, func(c *Calls) { c.Refused++ })
		return fmt.Errorf("%s: %w: %w", kind, table.ErrUnavailable, ErrOpen)
	}
	o := unknown
	// Deferred, so that a panic in the inner table does not keep the probe.
	defer func() { g.breaker.report(probe, o) }()
	bounded, cancel := context.WithTimeout(ctx, g.settings.Timeout[kind])
	defer cancel()
	err := classify(run(bounded))
	o = judge(ctx, err)
	g.count(kind, func(c *Calls) { c.add(err) })
	g.note(o)
	if err != nil {
		return fmt.Errorf("%s: %w", kind, err)
	}
	return nil
}

// wait waits for the budget. Its errors wrap table.ErrUnavailable, since
// nothing has left.
func (g *Guard) wait(ctx context.Context, kind table.Kind) error {
	if err := ctx.Err(); err != nil {
		return fmt.Errorf("%w: %w", table.ErrUnavailable, err)
	}
	if g.limiters[kind] == nil {
		return nil
	}
	bounded, cancel := context.WithTimeout(ctx, g.settings.RateLimitWait)
	defer cancel()
	if err := g.limiters[kind].Wait(bounded); err != nil {
		return fmt.Errorf("%w: %w: %w", table.ErrUnavailable, ErrRateLimited, err)
	}
	return nil
}

// note keeps when the table answered and failed last.
func (g *Guard) note(o outcome) {
	g.mu.Lock()
	defer g.mu.Unlock()
	switch o {
	case success:
		g.answered = time.Now()
	case failure:
		g.failed = time.Now()
	}
}

// count changes the counts of one kind.
func (g *Guard) count(kind table.Kind, change func(*Calls)) {
	g.mu.Lock()
	defer g.mu.Unlock()
	change(&g.calls[kind])
}

// add counts the outcome of a call that left.
func (c *Calls) add(err error) {
	c.Made++
	switch {
	case err == nil:
		c.Succeeded++
	case errors.Is(err, table.ErrUncertain):
		c.Uncertain++
	case errors.Is(err, table.ErrConflict):
		c.Conflicts++
	default:
		c.Unavailable++
	}
}

// classify makes an error that carries none of the table's errors uncertain.
func classify(err error) error {
	if err == nil || errors.Is(err, table.ErrConflict) || errors.Is(err, table.ErrUnavailable) || errors.Is(err, table.ErrUncertain) {
		return err
	}
	return fmt.Errorf("%w: %w", table.ErrUncertain, err)
}

// judge tells the breaker what an outcome says about the table. A caller that
// cancels says nothing; one whose deadline ends says that the table is slow.
func judge(ctx context.Context, err error) outcome {
	switch {
	case err == nil:
		return success
	case errors.Is(err, table.ErrConflict) && !errors.Is(err, table.ErrUncertain):
		return success
	case errors.Is(ctx.Err(), context.Canceled):
		return unknown
	default:
		return failure
	}
}
