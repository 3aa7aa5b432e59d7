package schedule

import (
	"slices"
	"time"

	"snipetally.example/router/internal/backend"
	"snipetally.example/router/internal/class"
	"snipetally.example/router/internal/queue"
)

// aside is the largest number of requests that are passed over in one round
// because no server that has room fits them.
const aside = 4

// ownPace is the time for which an own measure of a server's pace is preferred
// to what the engine reports.
const ownPace = time.Second

// dispatch grants places until no waiting request has one. Lines take turns by
// the tier of their next request.
func (c *Core) dispatch(now time.Time) {
	c.active = slices.DeleteFunc(c.active, func(l *line) bool { return l.queue.Len() == 0 })
	stuck := 0
	for stuck < len(c.active) {
		l := c.nextLine(stuck)
		if c.serve(now, l) {
			continue
		}
		stuck++
	}
}

// nextLine returns the line with the most important next request among those
// after the first stuck ones, and puts it at that position.
func (c *Core) nextLine(stuck int) *line {
	best := stuck
	for i := stuck + 1; i < len(c.active); i++ {
		if c.active[i].tier() < c.active[best].tier() {
			best = i
		}
	}
	c.active[stuck], c.active[best] = c.active[best], c.active[stuck]
	return c.active[stuck]
}

// tier returns the most important tier that waits in the line.
func (l *line) tier() class.Tier {
	for t := range class.Tier(class.Tiers) {
		if l.queue.TierLen(t) > 0 {
			return t
		}
	}
	return class.Tiers
}

// serve dispatches the next request of a line that some server fits. It reports
// false if there is none.
func (c *Core) serve(now time.Time, l *line) bool {
	var passed []*queue.Item[*Ticket]
	granted := false
	for len(passed) < aside {
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
		if !chosen.unfit {
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

// grant gives a ticket its place.
func (c *Core) grant(now time.Time, t *Ticket, chosen choice) {
	c.waiting--
	c.bytes -= t.Request.Size
	if t.timer >= 0 {
		c.timers.Remove(t.timer)
	}
	t.Status = Granted
	t.server = chosen.server
	t.set = chosen.set
	t.Server = chosen.server.Server
	t.borrowed = chosen.borrowed
	t.Priority = t.urgency(now)
	t.Waited = now.Sub(t.Request.Arrived)
	t.dispatched = now
	t.prefill = float64(t.Request.PromptTokens) * (1 - chosen.cached)
	t.server.prefill += t.prefill
	t.set.ran(now, t.item.Class.BetweenTokens)
	t.level = t.item.Class.Tier
	t.pressing = !t.borrowed && c.presses(t.item.Class)
	t.server.count(t, 1)
	c.counts.Granted++
	for _, p := range lastOf(t.Request.Prefixes, prefixProbes) {
		c.prefixes.Add(now, p, t.server.Name, 0.5)
	}
	c.room(now, t.server)
	c.changed = append(c.changed, t)
}

// presses reports whether slots are kept free for a class: an urgent one whose
// requests can't wait until running answers end.
func (c *Core) presses(k *class.Class) bool {
	const patient = time.Second
	return int(k.Tier) < c.options.ReserveTier && (k.Protected || k.FirstToken < patient)
}

// urgency returns the engine's priority for a ticket. Protected requests come
// first. The order between tiers was settled by the queue; in an engine, which
// takes in prompts one after another, a long prompt with time left must not hold
// up a short one without. So time left comes before the tier, and what is
// borrowed comes last.
func (t *Ticket) urgency(now time.Time) int {
	const (
		soon  = 500 * time.Millisecond
		later = 2 * time.Second
	)
	tier := int(t.item.Class.Tier)
	left := t.Request.Arrived.Add(t.item.Class.FirstToken).Sub(now)
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

// room works out whether this router has a free slot on the server.
func (c *Core) room(now time.Time, s *server) {
	if !s.usable(now) {
		s.show(false)
		return
	}
	if c.options.Mode == ModeIndependent {
		s.show(c.load(now, s) < float64(s.slots()))
		return
	}
	s.show(s.running < s.own)
}

// load estimates the requests of all routers on the server.
func (c *Core) load(now time.Time, s *server) float64 {
	if c.options.OracleLoad != nil {
		n, _ := c.options.OracleLoad(s.Name)
		return float64(n)
	}
	return s.outstanding(now)
}

// Report takes in a load report of a server. It tells its pace where no own
// answer did lately.
func (c *Core) Report(now time.Time, name string, report Load) {
	s, ok := c.servers[name]
	if !ok || !report.At.After(s.report.At) {
		return
	}
	s.report = report
	s.atReport = s.running
	if report.Pace > 0 && len(s.sets) > 0 && now.Sub(s.paceAt) > ownPace {
		s.measure(now, report.Pace.Seconds(), s.sets[0].pace)
	}
	c.room(now, s)
}

// line returns the line of a request and makes it if need be.
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
		c.connect(l)
		c.lines[key] = l
	}
	if !slices.Contains(c.active, l) {
		c.active = append(c.active, l)
	}
	return l
}

// lastOf returns the last n elements.
func lastOf[T any](list []T, n int) []T {
	return list[max(0, len(list)-n):]
}

// leaving reports whether the server receives no new work.
func leaving(s *backend.Server) bool {
	return s.State == backend.Leaving
}
