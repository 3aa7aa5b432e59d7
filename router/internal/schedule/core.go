package schedule

import (
	"math/rand/v2"
	"slices"
	"time"

	"snipetally.example/router/internal/fleet"
	"snipetally.example/router/internal/length"
	"snipetally.example/router/internal/limit"
	"snipetally.example/router/internal/prefix"
	"snipetally.example/router/internal/queue"
	"snipetally.example/router/internal/share"
)

const (
	lengthLimit = 8192

	// PrefixLimit is the number of prompt prefixes of which holders are
	// remembered.
	PrefixLimit = 65_536
)

// Core decides without goroutines, locks or timers: each call passes the time.
// It is not safe for concurrent use; a Gate wraps it.
type Core struct {
	options  Options
	random   *rand.Rand
	snapshot *fleet.Snapshot

	servers map[string]*server
	order   []*server
	sets    map[setKey]*set
	pools   []*pool
	lines   map[lineKey]*line
	active  []*line
	timers  queue.Heap[*Ticket]

	// blocked holds the servers that may not be tried again yet.
	blocked []*server

	// changed holds the tickets whose status changed since the last Decide.
	changed []*Ticket
	waiting int
	bytes   int

	lengths  *length.Estimator
	prefixes *prefix.Index
	book     *share.Allocator
	limiter  *limit.Limiter
	counts   Counts
}

// setKey names a set.
type setKey struct {
	target  string
	service bool
	owner   string
}

// NewCore returns a core without servers.
func NewCore(options Options) *Core {
	options = options.withDefaults()
	seed := options.Seed
	if seed == 0 {
		seed = rand.Uint64()
	}
	return &Core{
		options: options,
		random:  rand.New(rand.NewPCG(seed, seed)),
		servers: make(map[string]*server),
		sets:    make(map[setKey]*set),
		lines:   make(map[lineKey]*line),
		timers: queue.NewHeap(
			func(a, b *Ticket) bool { return a.until.Before(b.until) },
			func(t *Ticket, position int) { t.timer = position },
		),
		lengths:  length.NewEstimator(lengthLimit),
		prefixes: prefix.NewIndex(PrefixLimit),
		book:     share.NewAllocator(options.Router, options.Period),
		limiter:  limit.NewLimiter(options.Router),
	}
}

// NextWake returns the next time at which Decide has something to do by itself.
func (c *Core) NextWake() (time.Time, bool) {
	var at time.Time
	if t, ok := c.timers.Top(); ok {
		at = t.until
	}
	if c.waiting > 0 {
		for _, s := range c.blocked {
			if at.IsZero() || s.blocked.Before(at) {
				at = s.blocked
			}
		}
	}
	return at, !at.IsZero()
}

// unblock lets servers that failed be tried again once their time is over.
func (c *Core) unblock(now time.Time) {
	c.blocked = slices.DeleteFunc(c.blocked, func(s *server) bool {
		if now.Before(s.blocked) {
			return false
		}
		c.room(now, s)
		return true
	})
}

// Decide refuses what may not wait any longer, dispatches what has a place, and
// returns the tickets whose status changed since the last call. The result is
// valid until the next call of any method.
func (c *Core) Decide(now time.Time) []*Ticket {
	c.unblock(now)
	c.expire(now)
	c.dispatch(now)
	changed := c.changed
	c.changed = nil
	return changed
}

// expire refuses the tickets whose time has run out.
func (c *Core) expire(now time.Time) {
	for {
		t, ok := c.timers.Top()
		if !ok || t.until.After(now) {
			return
		}
		switch {
		case !now.Before(t.Request.Deadline):
			c.refuse(t, &Refusal{Reason: Expired, RetryAfter: c.comeBack(t)})
		case c.doomed(now, t):
			c.refuse(t, &Refusal{Reason: Overload, RetryAfter: c.comeBack(t)})
		default:
			c.arm(now, t)
		}
	}
}

// doomed reports whether a waiting ticket is to be shed because it can no
// longer meet its target while others can. A protected ticket never is, and
// neither is the last one of its class, which the floor of the class serves.
func (c *Core) doomed(now time.Time, t *Ticket) bool {
	if t.item.Class.Protected || !now.After(t.item.Target) {
		return false
	}
	return t.line.queue.ClassLen(t.item.Class.Name) > 1
}

// arm sets the time at which a waiting ticket is looked at again.
func (c *Core) arm(now time.Time, t *Ticket) {
	const again = 100 * time.Millisecond
	until := t.Request.Deadline
	if !t.item.Class.Protected {
		next := t.item.Target.Add(time.Nanosecond)
		if !next.After(now) {
			next = now.Add(again)
		}
		if next.Before(until) {
			until = next
		}
	}
	t.until = until
	if t.timer < 0 {
		c.timers.Push(t)
		return
	}
	c.timers.Fix(t.timer)
}

// refuse ends a ticket that is not dispatched.
func (c *Core) refuse(t *Ticket, refusal *Refusal) {
	if t.Status != Waiting {
		return
	}
	c.unqueue(t)
	if t.limited > 0 {
		c.limiter.Done(t.Request.Team, -t.limited)
	}
	t.Status = Refused
	t.Refusal = refusal
	c.counts.Refused[refusal.Reason]++
	c.changed = append(c.changed, t)
}

// unqueue takes a ticket out of its line.
func (c *Core) unqueue(t *Ticket) {
	if t.timer >= 0 {
		c.timers.Remove(t.timer)
	}
	if t.line == nil || !t.line.queue.Remove(&t.item) {
		return
	}
	c.waiting--
	c.bytes -= t.Request.Size
}

// Cancel ends a waiting ticket whose caller went away. It reports false if the
// ticket no longer waits: then it was granted or refused before.
func (c *Core) Cancel(t *Ticket) bool {
	if t.Status != Waiting {
		return false
	}
	c.refuse(t, &Refusal{Reason: Canceled})
	return true
}

// RecordFirstToken books the first token of a granted ticket, and how many tokens of the
// prompt the engine found in its cache.
func (c *Core) RecordFirstToken(now time.Time, t *Ticket, cached int) {
	if t.Status != Granted || !t.first.IsZero() {
		return
	}
	t.prefilled()
	t.first = now
	t.sampleAt = now
	t.tokens = 1
	t.sampled = 1
	c.learnStart(now, t, cached)
	c.learnPrefix(now, t, cached)
}

// prefilled books that the server has nothing left to take in.
func (t *Ticket) prefilled() {
	t.server.prefill -= t.prefill
	t.prefill = 0
}

// RecordTokens books that a granted ticket has generated so many tokens in all.
func (c *Core) RecordTokens(now time.Time, t *Ticket, total int) {
	const (
		sample = 16
		step   = 1.5
	)
	if t.Status != Granted {
		return
	}
	t.tokens = total
	if n := total - t.sampled; n >= sample && !t.first.IsZero() {
		c.learnPace(now, t, n)
	}
	if cost := t.cost(total); cost > t.item.Cost {
		t.line.queue.CorrectCost(&t.item, step*cost)
	}
}

// cost returns the service of a ticket that generated so many tokens.
func (t *Ticket) cost(tokens int) float64 {
	return float64(t.Request.PromptTokens)*promptWeight + float64(tokens) + 1
}

// Close gives back the place of a granted ticket.
func (c *Core) Close(now time.Time, t *Ticket, result Result) {
	if t.Status != Granted {
		return
	}
	t.Status = Closed
	t.line.queue.CorrectCost(&t.item, t.cost(result.Tokens))
	t.line.queue.Done(&t.item)
	if t.limited > 0 {
		c.limiter.Done(t.Request.Team, float64(t.Request.PromptTokens+result.Tokens)-t.limited)
	}
	c.release(now, t)
	if result.Failed {
		c.counts.Failed++
		t.server.failed(now)
		if !slices.Contains(c.blocked, t.server) {
			c.blocked = append(c.blocked, t.server)
		}
		c.room(now, t.server)
		return
	}
	c.counts.Completed++
	t.server.failures = 0
	t.server.blocked = time.Time{}
	if t.Request.Model != "" && !result.Partial {
		c.lengths.Observe(t.key(), result.Tokens)
	}
	if n := result.Tokens - t.sampled; n > 1 && !t.first.IsZero() {
		c.learnPace(now, t, n)
	}
	c.room(now, t.server)
}

// release gives back the slot of a ticket.
func (c *Core) release(now time.Time, t *Ticket) {
	t.prefilled()
	t.server.count(t, -1)
	c.room(now, t.server)
}

// key returns the key under which lengths of the ticket are learned.
func (t *Ticket) key() length.Key {
	return length.Key{Class: t.item.Class.Name, Team: t.item.Team, Model: t.Request.Model}
}
