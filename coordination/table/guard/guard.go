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
	// ErrOpen means that the open circuit breaker rejected the call. Errors that
	// wrap it also wrap table.ErrUnavailable.
	ErrOpen = errors.ConstError("breaker open")

	// ErrRateLimited means that the rate limit did not admit the call in time.
	// Errors that wrap it also wrap table.ErrUnavailable.
	ErrRateLimited = errors.ConstError("budget of table calls spent")
)

// Guard is a table.Table that wraps another with rate limits, a circuit breaker
// and deadlines. It calls the inner table at most once per call and never
// reports an uncertain outcome as a certain one: an error of the inner table
// that wraps none of the errors of package table is wrapped in
// table.ErrUncertain.
type Guard struct {
	inner    table.Table
	config   Config
	limiters [table.NumKinds]*rate.Limiter
	breaker  breaker

	// mu guards the fields below.
	mu    sync.Mutex
	calls [table.NumKinds]Calls

	// answered and failed are the times of the last successful and the last
	// failed call, as the breaker counts them.
	answered time.Time
	failed   time.Time
}

var _ table.Table = (*Guard)(nil)

// New returns a Guard that wraps inner.
func New(inner table.Table, config Config) *Guard {
	config = config.withDefaults()
	g := &Guard{inner: inner, config: config, breaker: breaker{config: config}}
	for kind, limit := range config.RateLimits {
		if limit.PerSecond > 0 {
			g.limiters[kind] = rate.NewLimiter(rate.Limit(limit.PerSecond), max(1, limit.Burst))
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
func (g *Guard) Commit(ctx context.Context, tx table.Transaction) error {
	return g.call(ctx, table.KindCommit, func(ctx context.Context) error {
		return g.inner.Commit(ctx, tx)
	})
}

// Statistics returns the call counts and the state of the breaker.
func (g *Guard) Statistics() Statistics {
	state, opened := g.breaker.snapshot()
	g.mu.Lock()
	defer g.mu.Unlock()
	return Statistics{Calls: g.calls, State: state, Opened: opened, Answered: g.answered, Failed: g.failed}
}

// call runs one call if the rate limit and the breaker admit it, with a
// deadline.
func (g *Guard) call(ctx context.Context, kind table.Kind, run func(context.Context) error) error {
	if err := g.waitForRate(ctx, kind); err != nil {
		g.count(kind, func(c *Calls) { c.Refused++ })
		return fmt.Errorf("%s: %w", kind, err)
	}
	probe, ok := g.breaker.admit()
	if !ok {
		g.count(kind, func(c *Calls) { c.Refused++ })
		return fmt.Errorf("%s: %w: %w", kind, table.ErrUnavailable, ErrOpen)
	}
	o := inconclusive
	// Deferred, so that the breaker does not wait for a probe that panicked.
	defer func() { g.breaker.report(probe, o) }()
	bounded, cancel := context.WithTimeout(ctx, g.config.Timeout[kind])
	defer cancel()
	err := classify(run(bounded))
	o = outcomeOf(ctx, err)
	g.count(kind, func(c *Calls) { c.add(err) })
	g.recordTime(o)
	if err != nil {
		return fmt.Errorf("%s: %w", kind, err)
	}
	return nil
}

// waitForRate waits for the rate limit of the kind. Its errors wrap
// table.ErrUnavailable, since nothing was sent.
func (g *Guard) waitForRate(ctx context.Context, kind table.Kind) error {
	if err := ctx.Err(); err != nil {
		return fmt.Errorf("%w: %w", table.ErrUnavailable, err)
	}
	if g.limiters[kind] == nil {
		return nil
	}
	bounded, cancel := context.WithTimeout(ctx, g.config.RateLimitWait)
	defer cancel()
	if err := g.limiters[kind].Wait(bounded); err != nil {
		return fmt.Errorf("%w: %w: %w", table.ErrUnavailable, ErrRateLimited, err)
	}
	return nil
}

// recordTime records the time of a success or failure.
func (g *Guard) recordTime(o outcome) {
	g.mu.Lock()
	defer g.mu.Unlock()
	switch o {
	case success:
		g.answered = time.Now()
	case failure:
		g.failed = time.Now()
	}
}

// count updates the counts of one kind.
func (g *Guard) count(kind table.Kind, change func(*Calls)) {
	g.mu.Lock()
	defer g.mu.Unlock()
	change(&g.calls[kind])
}

// add counts the outcome of a call to the inner table.
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

// classify wraps an error in table.ErrUncertain unless it wraps one of the
// errors of package table.
func classify(err error) error {
	if err == nil || errors.Is(err, table.ErrConflict) || errors.Is(err, table.ErrUnavailable) || errors.Is(err, table.ErrUncertain) {
		return err
	}
	return fmt.Errorf("%w: %w", table.ErrUncertain, err)
}

// outcomeOf returns the outcome that the breaker counts for a call that
// returned err. A canceled call is inconclusive; an exceeded deadline of the
// caller counts as a failure, since the table was slow.
func outcomeOf(ctx context.Context, err error) outcome {
	switch {
	case err == nil:
		return success
	case errors.Is(err, table.ErrConflict) && !errors.Is(err, table.ErrUncertain):
		return success
	case errors.Is(ctx.Err(), context.Canceled):
		return inconclusive
	default:
		return failure
	}
}
