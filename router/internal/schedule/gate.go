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

// Gate grants backend servers to requests. It wraps a Core for use by many
// goroutines. It starts no goroutine of its own; a timer runs the decisions
// that become due while requests wait.
type Gate struct {
	// mu guards all fields below and the tickets of the core. It is never held
	// while a goroutine waits.
	mu      sync.Mutex
	core    *Core
	timer   *time.Timer
	timerAt time.Time
}

// NewGate returns a gate for a router that shares its servers with no other.
func NewGate() *Gate {
	return NewGateWithOptions(Options{})
}

// NewGateWithOptions returns a gate with the given options.
func NewGateWithOptions(options Options) *Gate {
	return &Gate{core: NewCore(options)}
}

// Grant is the permission to run a request on a backend server. The holder
// reports the progress of the request and must call Close.
type Grant struct {
	Server *backend.Server

	// Priority is the engine's priority for the request; lower is more urgent.
	Priority int

	// Waited is the time that the request spent in the queue.
	Waited time.Duration

	gate   *Gate
	ticket *Ticket

	// unreported counts the tokens that have not been passed to the core yet.
	unreported atomic.Int64
}

// tokenBatch is the number of tokens that are passed to the core at once. It is
// a divisor of the number of tokens over which the core measures a token
// latency.
const tokenBatch = 8

// Result describes how a granted request ended.
type Result struct {
	// Tokens is the number of tokens that were generated.
	Tokens int

	// Failed means that the server did not return a complete answer.
	Failed bool

	// Partial means that the answer ended early through no fault of the server,
	// for example because the caller went away.
	Partial bool
}

// Acquire waits until a backend server is granted. The error is always a
// *Refusal; a request that gets one was not and will not be dispatched.
func (g *Gate) Acquire(ctx context.Context, s *fleet.Snapshot, r Request) (*Grant, error) {
	if ctx.Err() != nil {
		return nil, &Refusal{Reason: contextReason(ctx)}
	}
	t := g.submit(s, r)
	select {
	case <-t.done:
	case <-ctx.Done():
		return nil, g.abandon(ctx, t)
	}
	if t.Status == Refused {
		return nil, t.Refusal
	}
	return &Grant{Server: t.Server, Priority: t.Priority, Waited: t.Waited, gate: g, ticket: t}, nil
}

// submit passes a request to the core. The ticket's done channel is closed once
// it no longer waits; its exported fields do not change from then until the
// ticket is closed.
func (g *Gate) submit(s *fleet.Snapshot, r Request) *Ticket {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	g.applyNewer(now, s)
	if r.Arrived.IsZero() {
		r.Arrived = now
	}
	t := g.core.Submit(now, r)
	t.done = make(chan struct{})
	if t.Status == Refused {
		close(t.done)
	}
	g.decide(now)
	return t
}

// abandon refuses a ticket whose caller went away. If it was granted at the
// same moment, its slot is released unused.
func (g *Gate) abandon(ctx context.Context, t *Ticket) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	if !g.core.Cancel(t) && t.Status == Granted {
		g.core.Close(now, t, Result{Partial: true})
	}
	g.decide(now)
	return &Refusal{Reason: contextReason(ctx)}
}

// contextReason returns the refusal reason for a context that has ended.
func contextReason(ctx context.Context) Reason {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return Expired
	}
	return Canceled
}

// applyNewer applies a snapshot if it is newer than the current one. The caller
// holds mu.
func (g *Gate) applyNewer(now time.Time, s *fleet.Snapshot) {
	if s == nil || !s.NewerThan(g.core.snapshot) {
		return
	}
	g.core.Apply(now, s)
}

// decide runs the core's decisions, wakes the goroutines whose tickets changed,
// and sets the timer. The caller holds mu.
func (g *Gate) decide(now time.Time) {
	for _, t := range g.core.Decide(now) {
		if t.done != nil {
			close(t.done)
		}
	}
	until, ok := g.core.NextWake()
	if !ok || g.timer != nil && !g.timerAt.After(until) && g.timerAt.After(now) {
		return
	}
	g.timerAt = until
	if g.timer == nil {
		g.timer = time.AfterFunc(until.Sub(now), g.onTimer)
		return
	}
	g.timer.Reset(until.Sub(now))
}

// onTimer runs the decisions that are due when the timer fires.
func (g *Gate) onTimer() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.decide(time.Now())
}

// FirstToken reports that the first token arrived and how many tokens of the
// prompt the engine found in its cache.
func (g *Grant) FirstToken(cached int) {
	g.gate.mu.Lock()
	defer g.gate.mu.Unlock()
	g.gate.core.RecordFirstToken(time.Now(), g.ticket, cached)
}

// Token reports that n more tokens arrived since the last call. It never
// blocks, so that a stream does not stall while the gate applies a new
// snapshot: tokens are passed to the core in batches, and the final number with
// Close.
func (g *Grant) Token(n int) {
	if g.unreported.Add(int64(n)) < tokenBatch || !g.gate.mu.TryLock() {
		return
	}
	defer g.gate.mu.Unlock()
	total := g.ticket.tokens + int(g.unreported.Swap(0))
	g.gate.core.RecordTokens(time.Now(), g.ticket, total)
}

// Close releases the slot. Calls after the first have no effect.
func (g *Grant) Close(result Result) {
	g.gate.mu.Lock()
	defer g.gate.mu.Unlock()
	now := time.Now()
	g.gate.core.Close(now, g.ticket, result)
	g.gate.decide(now)
}

// Apply switches the gate to a new snapshot, for waiting requests too. A
// snapshot that is not newer than the current one is ignored. The gate keeps
// the snapshot until the next one.
func (g *Gate) Apply(s *fleet.Snapshot) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	g.applyNewer(now, s)
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

	// Pace is the engine's own measurement of its token latency.
	Pace time.Duration
}

// Report records a load report of the server.
func (g *Gate) Report(server string, load Load) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	g.core.Report(now, server, load)
	g.decide(now)
}
