package schedule

import (
	"time"

	"snipetally.example/router/internal/contract"
	"snipetally.example/router/internal/queue"
)

const (
	shortestBack = time.Second
	longestBack  = 30 * time.Second
)

// Submit takes in a request. The ticket is refused at once if its team is over
// its limits, if there is no room in the queue, or if it would miss its target
// while others can meet theirs. The caller then calls Decide.
func (c *Core) Submit(now time.Time, r Request) *Ticket {
	t := &Ticket{Request: r, timer: -1}
	t.line = c.line(&t.Request)
	if reason, after, ok := c.admit(now, t); !ok {
		t.Status = Refused
		t.Refusal = &Refusal{Reason: reason, RetryAfter: after}
		c.counts.Refused[reason]++
		return t
	}
	t.line.queue.Push(&t.item)
	c.waiting++
	c.bytes += r.Size
	c.arm(now, t)
	return t
}

// admit prepares a ticket and decides whether it may wait.
func (c *Core) admit(now time.Time, t *Ticket) (Reason, time.Duration, bool) {
	r := &t.Request
	if r.Deadline.IsZero() {
		r.Deadline = now.Add(max(r.Class.Deadline, r.Class.FirstToken, time.Second))
	}
	if !now.Before(r.Deadline) {
		return Expired, shortestBack, false
	}
	if !t.line.served() {
		return NoServer, shortestBack, false
	}
	c.foretell(t)
	wait := c.predict(t)
	late := now.Add(wait).Sub(t.item.Target)
	if c.hopeless(t, late) {
		return Overload, clamp(late), false
	}
	tokens := float64(r.PromptTokens) + t.expected
	if after, ok := c.limiter.Allow(now, r.Team, tokens); !ok {
		return Limited, clamp(after), false
	}
	if !c.makeRoom(t) {
		c.giveBack(t, tokens)
		return Overload, clamp(wait), false
	}
	if limited(r.Team) {
		t.limited = tokens
	}
	return 0, 0, true
}

// limited reports whether a team has limits.
func limited(team *contract.Team) bool {
	return team != nil && team.Limits != (contract.Limits{})
}

// giveBack returns what a ticket took from its team's limits and did not use.
func (c *Core) giveBack(t *Ticket, tokens float64) {
	if limited(t.Request.Team) {
		c.limiter.Done(t.Request.Team, -tokens)
	}
}

// hopeless reports whether a new ticket is to be refused because it would be
// late by so much. A protected ticket never is, and neither is the only one of
// its class, which the floor of the class serves.
func (c *Core) hopeless(t *Ticket, late time.Duration) bool {
	if t.item.Class.Protected || late <= 0 {
		return false
	}
	return t.line.queue.ClassLen(t.item.Class.Name) > 0
}

// foretell fills in the ticket's place in the order: its expected length, its
// cost and the time by which it must be dispatched.
func (c *Core) foretell(t *Ticket) {
	r := &t.Request
	t.item = queue.Item[*Ticket]{Class: r.Class, Size: r.Size, Value: t, Weight: 1}
	if r.Team != nil {
		t.item.Team = r.Team.Name
		if r.Team.Weight > 0 {
			t.item.Weight = r.Team.Weight
		}
	}
	t.expected = 1
	if r.Model != "" {
		t.expected = c.lengths.Mean(t.key(), 0)
		if c.options.OracleLength != nil {
			t.expected = c.options.OracleLength(r)
		}
		if r.MaxTokens > 0 {
			t.expected = min(t.expected, float64(r.MaxTokens))
		}
	}
	t.item.Cost = t.cost(int(t.expected))
	t.item.Target = r.Deadline
	if r.Class.FirstToken > 0 {
		t.item.Target = r.Arrived.Add(r.Class.FirstToken - t.lead())
	}
}

// lead is the time that the ticket needs from its dispatch to its first token.
func (t *Ticket) lead() time.Duration {
	if len(t.line.own) == 0 {
		return 0
	}
	s := t.line.own[0]
	seconds := s.start + s.deviation
	if !s.service {
		seconds += float64(t.Request.PromptTokens) / prefillRate
	}
	return min(time.Duration(seconds*float64(time.Second)), t.Request.Class.FirstToken/2)
}

// predict estimates the time that the ticket will wait.
func (c *Core) predict(t *Ticket) time.Duration {
	ahead := t.line.queue.ServiceAhead(t.item.Class, t.item.Team, t.item.Weight)
	rate := 0.0
	for _, s := range t.line.own {
		rate += s.rate(t.item.Cost)
	}
	if rate <= 0 {
		return 0
	}
	return time.Duration(ahead / rate * float64(time.Second))
}

// makeRoom drops sheddable tickets until the new one fits, and reports whether
// it does.
func (c *Core) makeRoom(t *Ticket) bool {
	class := t.item.Class
	if class.Queue > 0 && t.line.queue.ClassLen(class.Name) >= class.Queue {
		if !c.shed(t) {
			return false
		}
	}
	for c.waiting >= c.options.MaxRequests || c.bytes+t.Request.Size > c.options.MaxBytes {
		if !c.shed(t) {
			return false
		}
	}
	return true
}

// shed drops one ticket that the queue names as sheddable in favor of t.
func (c *Core) shed(t *Ticket) bool {
	victim, ok := t.line.queue.Victim(t.item.Class, t.item.Team)
	for _, other := range c.active {
		if ok {
			break
		}
		if other != t.line {
			victim, ok = other.queue.Victim(t.item.Class, "")
		}
	}
	if !ok {
		return false
	}
	dropped := victim.Item().Value
	c.refuse(dropped, &Refusal{Reason: Overload, RetryAfter: c.comeBack(dropped)})
	return true
}

// comeBack returns when the caller of a refused ticket may come back.
func (c *Core) comeBack(t *Ticket) time.Duration {
	return clamp(c.predict(t))
}

// clamp bounds the time after which a caller may come back.
func clamp(after time.Duration) time.Duration {
	return min(max(after, shortestBack), longestBack)
}

// served reports whether any server may run the line's requests.
func (l *line) served() bool {
	for _, s := range l.own {
		if len(s.servers) > 0 {
			return true
		}
	}
	return len(l.lent) > 0
}
