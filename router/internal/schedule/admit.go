package schedule

import (
	"time"

	"snipetally.example/router/internal/contract"
	"snipetally.example/router/internal/queue"
)

const (
	minRetryAfter = time.Second
	maxRetryAfter = 30 * time.Second
)

// Submit admits or refuses a request. The ticket is refused at once if its
// deadline has passed, if no server can run it, if it would miss its target
// while others can meet theirs, if its team is over its limits, or if there is
// no room in the queue. The caller must call Decide afterwards.
func (c *Core) Submit(now time.Time, r Request) *Ticket {
	t := &Ticket{Request: r, timerIndex: -1}
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
	c.setTimer(now, t)
	return t
}

// admit prepares a ticket and reports whether it may wait. If not, it returns
// the reason of the refusal and the time after which the caller may retry.
func (c *Core) admit(now time.Time, t *Ticket) (Reason, time.Duration, bool) {
	r := &t.Request
	if r.Deadline.IsZero() {
		r.Deadline = now.Add(max(r.Class.QueueTimeout, r.Class.FirstTokenTarget, time.Second))
	}
	if !now.Before(r.Deadline) {
		return Expired, minRetryAfter, false
	}
	if !t.line.hasServers() {
		return NoServer, minRetryAfter, false
	}
	c.estimate(t)
	wait := c.predictWait(t)
	late := now.Add(wait).Sub(t.item.Target)
	if c.refuseAsLate(t, late) {
		return Overload, clampRetryAfter(late), false
	}
	tokens := float64(r.PromptTokens) + t.expectedTokens
	if after, ok := c.limiter.Allow(now, r.Team, tokens); !ok {
		return Limited, clampRetryAfter(after), false
	}
	if !c.makeRoom(t) {
		c.refundLimits(t, tokens)
		return Overload, clampRetryAfter(wait), false
	}
	if hasLimits(r.Team) {
		t.limitTokens = tokens
	}
	return 0, 0, true
}

// hasLimits reports whether any limit is set for a team.
func hasLimits(team *contract.Team) bool {
	return team != nil && team.Limits != (contract.Limits{})
}

// refundLimits returns the tokens that a refused ticket took from the limits of
// its team, and no longer counts the ticket as running. The request itself
// stays charged to the request rate.
func (c *Core) refundLimits(t *Ticket, tokens float64) {
	if hasLimits(t.Request.Team) {
		c.limiter.Done(t.Request.Team, -tokens)
	}
}

// refuseAsLate reports whether a new ticket that would miss its target by late
// must be refused. Protected tickets are never refused for this, nor is a
// ticket whose class has no other one waiting, since the floor of the class
// serves it.
func (c *Core) refuseAsLate(t *Ticket, late time.Duration) bool {
	if t.item.Class.Protected || late <= 0 {
		return false
	}
	return t.line.queue.ClassLen(t.item.Class.Name) > 0
}

// estimate sets the ticket's expected length, its cost and the time by which it
// must be dispatched, which determine its position in the queue.
func (c *Core) estimate(t *Ticket) {
	r := &t.Request
	t.item = queue.Item[*Ticket]{Class: r.Class, Size: r.Size, Value: t, Weight: 1}
	if r.Team != nil {
		t.item.Team = r.Team.Name
		if r.Team.Weight > 0 {
			t.item.Weight = r.Team.Weight
		}
	}
	t.expectedTokens = 1
	if r.Model != "" {
		t.expectedTokens = c.lengths.Mean(t.lengthKey(), 0)
		if c.options.OracleLength != nil {
			t.expectedTokens = c.options.OracleLength(r)
		}
		if r.MaxTokens > 0 {
			t.expectedTokens = min(t.expectedTokens, float64(r.MaxTokens))
		}
	}
	t.item.Cost = t.cost(int(t.expectedTokens))
	t.item.Target = r.Deadline
	if r.Class.FirstTokenTarget > 0 {
		t.item.Target = r.Arrived.Add(r.Class.FirstTokenTarget - t.leadTime())
	}
}

// leadTime estimates the time from the dispatch of the ticket to its first
// token.
func (t *Ticket) leadTime() time.Duration {
	if len(t.line.ownSets) == 0 {
		return 0
	}
	s := t.line.ownSets[0]
	seconds := s.startDelay + s.deviation
	if !s.service {
		seconds += float64(t.Request.PromptTokens) / prefillRate
	}
	return min(time.Duration(seconds*float64(time.Second)), t.Request.Class.FirstTokenTarget/2)
}

// predictWait estimates how long the ticket will wait in the queue.
func (c *Core) predictWait(t *Ticket) time.Duration {
	ahead := t.line.queue.ServiceAhead(t.item.Class, t.item.Team, t.item.Weight)
	rate := 0.0
	for _, s := range t.line.ownSets {
		rate += s.rate(t.item.Cost)
	}
	if rate <= 0 {
		return 0
	}
	return time.Duration(ahead / rate * float64(time.Second))
}

// makeRoom sheds a waiting ticket if the class of the new one is full, and more
// until the new one fits into the bounds of all queues together. It reports
// false if no other ticket may be shed.
func (c *Core) makeRoom(t *Ticket) bool {
	class := t.item.Class
	if class.MaxQueued > 0 && t.line.queue.ClassLen(class.Name) >= class.MaxQueued {
		if !c.makeRoomInClass(t) {
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

// makeRoomInClass sheds a waiting ticket of the new one's class, so that its
// queue does not grow. A protected class sheds tickets of others instead, since
// it may be refused only if there are none. It reports false if no ticket may be
// shed.
func (c *Core) makeRoomInClass(t *Ticket) bool {
	if t.item.Class.Protected {
		return c.shed(t)
	}
	victim, ok := t.line.queue.ClassVictim(t.item.Class, t.item.Team)
	if ok {
		c.refuseVictim(victim)
	}
	return ok
}

// shed refuses one waiting ticket that the queues allow to be shed in favor of
// t, and reports whether there was one.
func (c *Core) shed(t *Ticket) bool {
	victim, ok := t.line.queue.Victim(t.item.Class, t.item.Team)
	for _, other := range c.activeLines {
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
	c.refuseVictim(victim)
	return true
}

// refuseVictim refuses a waiting ticket that may be shed.
func (c *Core) refuseVictim(victim queue.Sheddable[*Ticket]) {
	t := victim.Item().Value
	c.refuse(t, &Refusal{Reason: Overload, RetryAfter: c.retryAfter(t)})
}

// retryAfter returns the time after which the caller of a refused ticket may
// retry.
func (c *Core) retryAfter(t *Ticket) time.Duration {
	return clampRetryAfter(c.predictWait(t))
}

// clampRetryAfter limits a retry delay to [minRetryAfter, maxRetryAfter].
func clampRetryAfter(after time.Duration) time.Duration {
	return min(max(after, minRetryAfter), maxRetryAfter)
}

// hasServers reports whether any server can run the line's requests.
func (l *line) hasServers() bool {
	for _, s := range l.ownSets {
		if len(s.servers) > 0 {
			return true
		}
	}
	return len(l.lentSets) > 0
}
