package schedule

import (
	"slices"
	"time"

	"snipetally.example/router/internal/backend"
	"snipetally.example/router/internal/class"
	"snipetally.example/router/internal/queue"
)

// maxPassedOver is the maximum number of requests that are skipped in one round
// because no server with room fits them.
const maxPassedOver = 4

// ownMeasurementAge is the age up to which the router's own measurement of a
// server's token latency takes precedence over the engine's report.
const ownMeasurementAge = time.Second

// dispatch grants servers to waiting requests until none can be dispatched. It
// always continues with the line whose next request has the most important
// tier.
func (c *Core) dispatch(now time.Time) {
	c.activeLines = slices.DeleteFunc(c.activeLines, func(l *line) bool { return l.queue.Len() == 0 })
	exhausted := 0
	for exhausted < len(c.activeLines) {
		l := c.nextLine(exhausted)
		if c.dispatchNext(now, l) {
			continue
		}
		exhausted++
	}
}

// nextLine returns the line with the most important waiting tier among the
// active lines from index exhausted on, and swaps it to that index. The lines
// before it cannot dispatch anything in this round.
func (c *Core) nextLine(exhausted int) *line {
	best := exhausted
	for i := exhausted + 1; i < len(c.activeLines); i++ {
		if c.activeLines[i].topTier() < c.activeLines[best].topTier() {
			best = i
		}
	}
	c.activeLines[exhausted], c.activeLines[best] = c.activeLines[best], c.activeLines[exhausted]
	return c.activeLines[exhausted]
}

// topTier returns the most important tier with waiting requests in the line.
func (l *line) topTier() class.Tier {
	for t := range class.Tier(class.Tiers) {
		if l.queue.TierLen(t) > 0 {
			return t
		}
	}
	return class.Tiers
}

// dispatchNext dispatches the next request of a line that fits some server. It
// reports false if there is none.
func (c *Core) dispatchNext(now time.Time, l *line) bool {
	var passed []*queue.Item[*Ticket]
	granted := false
	for len(passed) < maxPassedOver {
		item, floor := l.queue.Peek()
		if item == nil {
			break
		}
		chosen := c.choose(now, l, item.Value, floor)
		if chosen.server != nil {
			l.queue.Take(item)
			c.grant(now, item.Value, chosen)
			granted = true
			break
		}
		if !chosen.noneFits {
			break
		}
		l.queue.Remove(item)
		passed = append(passed, item)
	}
	for _, item := range passed {
		l.queue.Push(item)
	}
	return granted
}

// grant assigns the chosen server to a ticket.
func (c *Core) grant(now time.Time, t *Ticket, chosen choice) {
	c.waiting--
	c.bytes -= t.Request.Size
	if t.timerIndex >= 0 {
		c.timers.Remove(t.timerIndex)
	}
	t.Status = Granted
	t.server = chosen.server
	t.set = chosen.set
	t.Server = chosen.server.Server
	t.borrowed = chosen.borrowed
	t.Priority = t.enginePriority(now)
	t.Waited = now.Sub(t.Request.Arrived)
	t.dispatchedAt = now
	t.prefillTokens = float64(t.Request.PromptTokens) * (1 - chosen.cached)
	t.server.prefillTokens += t.prefillTokens
	t.set.recordTarget(now, t.item.Class.BetweenTokensTarget)
	t.tier = t.item.Class.Tier
	t.latencyCritical = !t.borrowed && c.latencyCritical(t.item.Class)
	t.server.addRunning(t, 1)
	c.counts.Granted++
	for _, p := range lastOf(t.Request.Prefixes, maxPrefixLookups) {
		c.prefixes.Add(now, p, t.server.Name, 0.5)
	}
	c.updateOpen(now, t.server)
	c.changed = append(c.changed, t)
}

// latencyCritical reports whether slots are reserved at full weight for a
// class: an urgent one whose requests cannot wait until running requests end.
func (c *Core) latencyCritical(k *class.Class) bool {
	const maxCriticalTarget = time.Second
	return int(k.Tier) < c.options.ReserveTier && (k.Protected || k.FirstTokenTarget < maxCriticalTarget)
}

// enginePriority returns the engine's priority for a ticket; lower values are
// more urgent. Protected requests come first. The queue has already enforced
// the order between tiers. An engine, however, processes prompts one after
// another, and a long prompt with time left must not delay a short one that has
// none. So the time left takes precedence over the tier, and borrowed requests
// come last.
func (t *Ticket) enginePriority(now time.Time) int {
	const (
		soon  = 500 * time.Millisecond
		later = 2 * time.Second
	)
	tier := int(t.item.Class.Tier)
	left := t.Request.Arrived.Add(t.item.Class.FirstTokenTarget).Sub(now)
	band := 0
	switch {
	case t.item.Class.Protected:
		return tier
	case t.borrowed:
		band = 4
	case left < soon:
		band = 1
	case left < later:
		band = 2
	default:
		band = 3
	}
	return band*class.Tiers + tier
}

// updateOpen recomputes whether this router has a free slot on the server.
func (c *Core) updateOpen(now time.Time, s *server) {
	if !s.usable(now) {
		s.setOpen(false)
		return
	}
	if c.options.Mode == ModeIndependent {
		s.setOpen(c.load(now, s) < float64(s.slots()))
		return
	}
	s.setOpen(s.running < s.ownSlots)
}

// load estimates the number of requests of all routers on the server.
func (c *Core) load(now time.Time, s *server) float64 {
	if c.options.OracleLoad != nil {
		n, _ := c.options.OracleLoad(s.Name)
		return float64(n)
	}
	return s.outstanding(now)
}

// Report records a load report of a server. The reported token latency is used
// only if the router has no recent measurement of its own.
func (c *Core) Report(now time.Time, name string, report Load) {
	s, ok := c.servers[name]
	if !ok || !report.At.After(s.report.At) {
		return
	}
	s.report = report
	s.runningAtReport = s.running
	if report.Pace > 0 && len(s.sets) > 0 && now.Sub(s.tokenLatencyAt) > ownMeasurementAge {
		s.recordTokenLatency(now, report.Pace.Seconds(), s.sets[0].tokenLatency)
	}
	c.updateOpen(now, s)
}

// line returns the line for a request, creating it if necessary, and makes it
// active.
func (c *Core) line(r *Request) *line {
	key := lineKey{target: r.Model}
	if r.Model == "" {
		key = lineKey{target: r.Service, service: true}
	}
	if r.Team != nil {
		key.partner = r.Team.Partner
	}
	l, ok := c.lines[key]
	if !ok {
		l = &line{key: key, queue: queue.New[*Ticket]()}
		c.linkSets(l)
		c.lines[key] = l
	}
	if !slices.Contains(c.activeLines, l) {
		c.activeLines = append(c.activeLines, l)
	}
	return l
}

// lastOf returns the last n elements of list, or all if there are fewer.
func lastOf[T any](list []T, n int) []T {
	return list[max(0, len(list)-n):]
}

// draining reports whether the server is being removed and so receives no new
// requests.
func draining(s *backend.Server) bool {
	return s.State == backend.StateDraining
}
