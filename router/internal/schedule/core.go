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
	// maxLengthHistograms is the maximum number of histograms of output lengths.
	maxLengthHistograms = 8192

	// PrefixLimit is the maximum number of prompt prefixes for which the
	// servers that cache them are remembered.
	PrefixLimit = 65_536
)

// Core makes the scheduling decisions without goroutines, locks or timers: each
// call passes the current time. It is not safe for concurrent use; Gate adds
// the locking.
type Core struct {
	options  Options
	random   *rand.Rand
	snapshot *fleet.Snapshot

	servers        map[string]*server
	orderedServers []*server
	sets           map[serverSetKey]*serverSet
	pools          []*pool
	lines          map[lineKey]*line
	activeLines    []*line
	timers         queue.Heap[*Ticket]

	// blocked holds the servers that failed and may not be retried yet.
	blocked []*server

	// changed holds the tickets whose status changed since the last Decide.
	changed []*Ticket

	// waiting counts the waiting tickets, and bytes the bytes they occupy.
	waiting int
	bytes   int

	lengths   *length.Estimator
	prefixes  *prefix.Index
	allocator *share.Allocator
	limiter   *limit.Limiter
	counts    Counts
}

// serverSetKey identifies a serverSet.
type serverSetKey struct {
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
		sets:    make(map[serverSetKey]*serverSet),
		lines:   make(map[lineKey]*line),
		timers: queue.NewHeap(
			func(a, b *Ticket) bool { return a.wakeAt.Before(b.wakeAt) },
			func(t *Ticket, position int) { t.timerIndex = position },
		),
		lengths:   length.NewEstimator(maxLengthHistograms),
		prefixes:  prefix.NewIndex(PrefixLimit),
		allocator: share.NewAllocator(options.Router, options.Period),
		limiter:   limit.NewLimiter(options.Router),
	}
}

// NextWake returns the next time at which Decide must be called even if nothing
// else happens. It reports false if there is none.
func (c *Core) NextWake() (time.Time, bool) {
	var next time.Time
	if t, ok := c.timers.Top(); ok {
		next = t.wakeAt
	}
	if c.waiting > 0 {
		for _, s := range c.blocked {
			if next.IsZero() || s.blockedUntil.Before(next) {
				next = s.blockedUntil
			}
		}
	}
	return next, !next.IsZero()
}

// unblock makes failed servers usable again once their block has expired.
func (c *Core) unblock(now time.Time) {
	c.blocked = slices.DeleteFunc(c.blocked, func(s *server) bool {
		if now.Before(s.blockedUntil) {
			return false
		}
		c.updateOpen(now, s)
		return true
	})
}

// Decide refuses tickets that may not wait any longer, dispatches those for
// which there is a server, and returns the tickets whose status changed since
// the last call. The result is valid until the next call of any method.
func (c *Core) Decide(now time.Time) []*Ticket {
	c.unblock(now)
	c.expire(now)
	c.dispatch(now)
	changed := c.changed
	c.changed = nil
	return changed
}

// expire refuses the tickets whose deadline has passed or that are shed as
// late, and rearms the timers of the others that are due.
func (c *Core) expire(now time.Time) {
	for {
		t, ok := c.timers.Top()
		if !ok || t.wakeAt.After(now) {
			return
		}
		switch {
		case !now.Before(t.Request.Deadline):
			c.refuse(t, &Refusal{Reason: Expired, RetryAfter: c.retryAfter(t)})
		case c.shedAsLate(now, t):
			c.refuse(t, &Refusal{Reason: Overload, RetryAfter: c.retryAfter(t)})
		default:
			c.setTimer(now, t)
		}
	}
}

// shedAsLate reports whether a waiting ticket must be shed because it can no
// longer meet its target while others can. Protected tickets are never shed for
// this, nor is the last ticket of its class, which the floor of the class
// serves.
func (c *Core) shedAsLate(now time.Time, t *Ticket) bool {
	if t.item.Class.Protected || !now.After(t.item.Target) {
		return false
	}
	return t.line.queue.ClassLen(t.item.Class.Name) > 1
}

// setTimer sets the time at which a waiting ticket is checked again: right
// after its target, at intervals of recheck after that, and at its deadline.
// Protected tickets are checked at their deadline only.
func (c *Core) setTimer(now time.Time, t *Ticket) {
	const recheck = 100 * time.Millisecond
	wakeAt := t.Request.Deadline
	if !t.item.Class.Protected {
		next := t.item.Target.Add(time.Nanosecond)
		if !next.After(now) {
			next = now.Add(recheck)
		}
		if next.Before(wakeAt) {
			wakeAt = next
		}
	}
	t.wakeAt = wakeAt
	if t.timerIndex < 0 {
		c.timers.Push(t)
		return
	}
	c.timers.Fix(t.timerIndex)
}

// refuse refuses a waiting ticket. Tickets in any other state are left alone.
func (c *Core) refuse(t *Ticket, refusal *Refusal) {
	if t.Status != Waiting {
		return
	}
	c.dequeue(t)
	if t.limitTokens > 0 {
		c.limiter.Done(t.Request.Team, -t.limitTokens)
	}
	t.Status = Refused
	t.Refusal = refusal
	c.counts.Refused[refusal.Reason]++
	c.changed = append(c.changed, t)
}

// dequeue removes a ticket from its line and cancels its timer.
func (c *Core) dequeue(t *Ticket) {
	if t.timerIndex >= 0 {
		c.timers.Remove(t.timerIndex)
	}
	if t.line == nil || !t.line.queue.Remove(&t.item) {
		return
	}
	c.waiting--
	c.bytes -= t.Request.Size
}

// Cancel refuses a waiting ticket whose caller went away. It reports false if
// the ticket was already granted or refused.
func (c *Core) Cancel(t *Ticket) bool {
	if t.Status != Waiting {
		return false
	}
	c.refuse(t, &Refusal{Reason: Canceled})
	return true
}

// RecordFirstToken records the first token of a granted ticket, and how many
// tokens of the prompt the engine found in its cache.
func (c *Core) RecordFirstToken(now time.Time, t *Ticket, cached int) {
	if t.Status != Granted || !t.firstTokenAt.IsZero() {
		return
	}
	t.clearPrefill()
	t.firstTokenAt = now
	t.latencySampledAt = now
	t.tokens = 1
	t.latencySampledTokens = 1
	c.learnStart(now, t, cached)
	c.learnPrefix(now, t)
}

// clearPrefill records that the server has processed the whole prompt.
func (t *Ticket) clearPrefill() {
	t.server.prefillTokens -= t.prefillTokens
	t.prefillTokens = 0
}

// RecordTokens records that a granted ticket has generated total tokens so far.
func (c *Core) RecordTokens(now time.Time, t *Ticket, total int) {
	const (
		sampleTokens  = 16
		overrunFactor = 1.5
	)
	if t.Status != Granted {
		return
	}
	t.tokens = total
	if unsampled := total - t.latencySampledTokens; unsampled >= sampleTokens && !t.firstTokenAt.IsZero() {
		c.learnTokenLatency(now, t, unsampled)
	}
	if cost := t.cost(total); cost > t.item.Cost {
		t.line.queue.CorrectCost(&t.item, overrunFactor*cost)
	}
}

// cost returns the fair-queueing cost of a ticket that generates the given
// number of tokens. A prompt token counts as promptWeight generated tokens.
func (t *Ticket) cost(tokens int) float64 {
	return float64(t.Request.PromptTokens)*promptWeight + float64(tokens) + 1
}

// Close ends a granted ticket: it frees the slot and records the result.
func (c *Core) Close(now time.Time, t *Ticket, result Result) {
	if t.Status != Granted {
		return
	}
	t.Status = Closed
	t.line.queue.CorrectCost(&t.item, t.cost(result.Tokens))
	t.line.queue.Done(&t.item)
	if t.limitTokens > 0 {
		c.limiter.Done(t.Request.Team, float64(t.Request.PromptTokens+result.Tokens)-t.limitTokens)
	}
	c.release(now, t)
	if result.Failed {
		c.counts.Failed++
		t.server.recordFailure(now)
		if !slices.Contains(c.blocked, t.server) {
			c.blocked = append(c.blocked, t.server)
		}
		c.updateOpen(now, t.server)
		return
	}
	c.counts.Completed++
	t.server.failures = 0
	t.server.blockedUntil = time.Time{}
	if t.Request.Model != "" && !result.Partial {
		c.lengths.Observe(t.lengthKey(), result.Tokens)
	}
	if n := result.Tokens - t.latencySampledTokens; n > 1 && !t.firstTokenAt.IsZero() {
		c.learnTokenLatency(now, t, n)
	}
	c.updateOpen(now, t.server)
}

// release frees the slot of a ticket.
func (c *Core) release(now time.Time, t *Ticket) {
	t.clearPrefill()
	t.server.addRunning(t, -1)
	c.updateOpen(now, t.server)
}

// lengthKey returns the key under which the output lengths of such requests are
// learned.
func (t *Ticket) lengthKey() length.Key {
	return length.Key{Class: t.item.Class.Name, Team: t.item.Team, Model: t.Request.Model}
}
