package schedule

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/juju/errors"

	"snipetally.example/router/internal/backend"
	"snipetally.example/router/internal/fleet"
)

// Gate grants places on backend servers to requests. It wraps a Core for use
// by many goroutines. It starts no goroutine of its own; a timer wakes it when
// a waiting request's time runs out.
type Gate struct {
	// mu guards all that follows, and the tickets of the core. It is never
	// held while a goroutine waits.
	mu    sync.Mutex
	core  *Core
	timer *time.Timer
	until time.Time
}

// NewGate returns a gate of a router that shares its servers with none.
func NewGate() *Gate {
	return NewGateWithOptions(Options{})
}

// NewGateWithOptions returns a gate with options.
func NewGateWithOptions(options Options) *Gate {
	return &Gate{core: NewCore(options)}
}

// Grant is a place on a backend server. The holder reports the request's
// progress on it and closes it exactly once.
type Grant struct {
	Server *backend.Server

	// Priority is the engine's priority for the request; lower is more urgent.
	Priority int

	// Waited is the time that the request spent in the queue.
	Waited time.Duration

	gate   *Gate
	ticket *Ticket

	// untold counts the tokens that the core was not told of yet.
	untold atomic.Int64
}

// tokenBatch is the number of tokens of which the core is told at once. It
// divides the number over which the core measures a pace.
const tokenBatch = 8

// Result tells how a granted request ended.
type Result struct {
	// Tokens is the number of tokens that were generated.
	Tokens int

	// Failed means that the server did not give a whole answer.
	Failed bool

	// Partial means that the answer ended early through no fault of the
	// server, such as a caller that went away.
	Partial bool
}

// Acquire waits for a place on a backend server. The error is a *Refusal; a
// request that gets one was not and will not be dispatched.
func (g *Gate) Acquire(ctx context.Context, s *fleet.Snapshot, r Request) (*Grant, error) {
	if ctx.Err() != nil {
		return nil, &Refusal{Reason: gone(ctx)}
	}
	t := g.arrive(s, r)
	select {
	case <-t.signal:
	case <-ctx.Done():
		return nil, g.abandon(ctx, t)
	}
	if t.Status == Refused {
		return nil, t.Refusal
	}
	return &Grant{Server: t.Server, Priority: t.Priority, Waited: t.Waited, gate: g, ticket: t}, nil
}

// arrive hands a request to the core. The ticket's signal is closed once it no
// longer waits; its public fields do not change from then until it is closed.
func (g *Gate) arrive(s *fleet.Snapshot, r Request) *Ticket {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	g.follow(now, s)
	if r.Arrived.IsZero() {
		r.Arrived = now
	}
	t := g.core.Submit(now, r)
	t.signal = make(chan struct{})
	if t.Status == Refused {
		close(t.signal)
	}
	g.decide(now)
	return t
}

// abandon ends a ticket whose caller went away. A place that it was granted at
// the same moment is given back unused.
func (g *Gate) abandon(ctx context.Context, t *Ticket) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	if !g.core.Cancel(t) && t.Status == Granted {
		g.core.Close(now, t, Result{Partial: true})
	}
	g.decide(now)
	return &Refusal{Reason: gone(ctx)}
}

// gone returns the reason of a context that ended.
func gone(ctx context.Context) Reason {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return Expired
	}
	return Canceled
}

// follow applies a snapshot that is newer than the one in force. The caller
// holds mu.
func (g *Gate) follow(now time.Time, s *fleet.Snapshot) {
	if s == nil || !s.After(g.core.snapshot) {
		return
	}
	g.core.Apply(now, s)
}

// decide lets the core decide, wakes the goroutines whose tickets changed, and
// sets the timer. The caller holds mu.
func (g *Gate) decide(now time.Time) {
	for _, t := range g.core.Decide(now) {
		if t.signal != nil {
			close(t.signal)
		}
	}
	until, ok := g.core.NextWake()
	if !ok || g.timer != nil && !g.until.After(until) && g.until.After(now) {
		return
	}
	g.until = until
	if g.timer == nil {
		g.timer = time.AfterFunc(until.Sub(now), g.wake)
		return
	}
	g.timer.Reset(until.Sub(now))
}

// wake is called by the timer.
func (g *Gate) wake() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.decide(time.Now())
}

// FirstToken tells the gate that the first token arrived and how many tokens
// of the prompt the engine found in its cache.
func (g *Grant) FirstToken(cached int) {
	g.gate.mu.Lock()
	defer g.gate.mu.Unlock()
	g.gate.core.RecordFirstToken(time.Now(), g.ticket, cached)
}

// Token tells the gate that more tokens arrived. n counts only those since the
// last call. It never waits, so that a stream does not stand still while the
// gate takes up a new snapshot: the core learns of tokens some at a time, and
// of those before the end by Close.
func (g *Grant) Token(n int) {
	if g.untold.Add(int64(n)) < tokenBatch || !g.gate.mu.TryLock() {
		return
	}
	defer g.gate.mu.Unlock()
	total := g.ticket.tokens + int(g.untold.Swap(0))
	g.gate.core.RecordTokens(time.Now(), g.ticket, total)
}

// Close gives the place back. Calls after the first have no effect.
func (g *Grant) Close(result Result) {
	g.gate.mu.Lock()
	defer g.gate.mu.Unlock()
	now := time.Now()
	g.gate.core.Close(now, g.ticket, result)
	g.gate.decide(now)
}

// Apply makes the gate follow a new snapshot, also for waiting requests. The
// gate keeps the snapshot until the next one.
func (g *Gate) Apply(s *fleet.Snapshot) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	g.follow(now, s)
	g.decide(now)
}

// Load is a load report of an engine.
type Load struct {
	At      time.Time
	Waiting int
	Running int
	Slots   int

	// Cache is the fraction of the engine's cache that is in use.
	Cache float64

	// Pace is the engine's own measure of the time for a token.
	Pace time.Duration
}

// Report takes in a load report of the server.
func (g *Gate) Report(server string, load Load) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	g.core.Report(now, server, load)
	g.decide(now)
}
