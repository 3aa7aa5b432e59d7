package schedule_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"pgregory.net/rapid"

	"snipetally.example/router/internal/fleet"
	"snipetally.example/router/internal/schedule"
)

const (
	maxRequests = 12
	maxBytes    = 4000
)

// coreChecker makes random calls to a core and checks its invariants after each
// of them.
type coreChecker struct {
	g       *gomega.WithT
	core    *schedule.Core
	now     time.Time
	plan    fleet.Plan
	current *fleet.Snapshot
	waiting map[*schedule.Ticket]bool
	granted map[*schedule.Ticket]bool
	ended   map[*schedule.Ticket]bool
	slots   int
}

func TestInvariantsHoldUnderRandomCalls(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		servers := rapid.IntRange(1, 3).Draw(rt, "servers")
		slots := rapid.IntRange(1, 3).Draw(rt, "slots")
		c := &coreChecker{
			g:       gomega.NewWithT(rt),
			now:     time.Unix(1000, 0),
			plan:    testPlan(servers, slots),
			waiting: make(map[*schedule.Ticket]bool),
			granted: make(map[*schedule.Ticket]bool),
			ended:   make(map[*schedule.Ticket]bool),
			slots:   servers * slots,
		}
		c.core = schedule.NewCore(schedule.Options{Seed: 1, MaxRequests: maxRequests, MaxBytes: maxBytes, Overcommit: -1})
		c.current = fleet.New(1, c.plan)
		c.core.Apply(c.now, c.current)
		for range rapid.IntRange(1, 120).Draw(rt, "steps") {
			c.step(rt)
			c.check()
		}
		c.drain()
	})
}

// step makes one random call.
func (c *coreChecker) step(rt *rapid.T) {
	switch rapid.SampledFrom([]string{"submit", "submit", "submit", "close", "cancel", "advance time", "switch preset"}).Draw(rt, "call") {
	case "submit":
		c.submit(rt)
	case "close":
		if ticket := drawTicket(rt, c.granted); ticket != nil {
			failed := rapid.Bool().Draw(rt, "failed")
			c.core.Close(c.now, ticket, schedule.Result{Tokens: rapid.IntRange(1, 500).Draw(rt, "tokens"), Failed: failed})
			delete(c.granted, ticket)
			c.recordEnd(ticket)
		}
	case "cancel":
		if ticket := drawTicket(rt, c.waiting); ticket != nil {
			c.g.Expect(c.core.Cancel(ticket)).To(gomega.BeTrue())
		}
	case "advance time":
		c.now = c.now.Add(time.Duration(rapid.IntRange(1, 20_000).Draw(rt, "milliseconds")) * time.Millisecond)
	case "switch preset":
		c.plan.ActivePreset = rapid.SampledFrom([]string{"day", "night"}).Draw(rt, "preset")
		before := len(c.waiting)
		c.current = fleet.New(c.current.Revision+1, c.plan)
		c.core.Apply(c.now, c.current)
		c.g.Expect(c.core.State().Waiting).To(gomega.Equal(before))
	}
	c.decide()
}

// submit submits a random request. A protected one may be refused only if
// nothing is left to be shed.
func (c *coreChecker) submit(rt *rapid.T) {
	name := rapid.SampledFrom([]string{"protected", "front", "chat", "tags"}).Draw(rt, "class")
	r := request(c.current, name)
	r.Team = c.current.Teams[rapid.SampledFrom([]string{"one", "two"}).Draw(rt, "team")]
	r.Size = rapid.IntRange(1, 1000).Draw(rt, "size")
	r.Arrived = c.now
	ticket := c.core.Submit(c.now, r)
	if ticket.Status == schedule.Refused {
		c.recordEnd(ticket)
		c.decide()
		if r.Class.Protected {
			c.g.Expect(c.sheddable()).To(gomega.Equal(0), "a protected request was refused while others could be shed")
		}
		return
	}
	c.waiting[ticket] = true
}

// sheddable counts the waiting tickets that are not protected, less the last
// one of each class.
func (c *coreChecker) sheddable() int {
	counts := make(map[string]int)
	for ticket := range c.waiting {
		if !ticket.Request.Class.Protected {
			counts[ticket.Request.Class.Name]++
		}
	}
	n := 0
	for _, count := range counts {
		n += count - 1
	}
	return n
}

// decide checks the core's decisions and applies them to the expected state.
func (c *coreChecker) decide() {
	for _, ticket := range c.core.Decide(c.now) {
		c.g.Expect(c.waiting[ticket]).To(gomega.BeTrue(), "a ticket was decided twice")
		delete(c.waiting, ticket)
		if ticket.Status == schedule.Granted {
			c.granted[ticket] = true
			continue
		}
		c.g.Expect(ticket.Status).To(gomega.Equal(schedule.Refused))
		if ticket.Request.Class.Protected {
			c.g.Expect(ticket.Refusal.Reason).NotTo(gomega.Equal(schedule.Overload), "a protected request was shed")
		}
		c.recordEnd(ticket)
	}
}

// recordEnd records that a ticket ended, and fails if it already had.
func (c *coreChecker) recordEnd(ticket *schedule.Ticket) {
	c.g.Expect(c.ended[ticket]).To(gomega.BeFalse())
	c.ended[ticket] = true
}

// check compares the core's state with the expected one.
func (c *coreChecker) check() {
	state := c.core.State()
	c.g.Expect(state.Waiting).To(gomega.Equal(len(c.waiting)))
	c.g.Expect(state.Waiting).To(gomega.BeNumerically("<=", maxRequests))
	c.g.Expect(state.Bytes).To(gomega.BeNumerically("<=", maxBytes))
	running := 0
	for _, s := range state.Servers {
		running += s.Running
	}
	c.g.Expect(running).To(gomega.Equal(len(c.granted)))
	c.g.Expect(running).To(gomega.BeNumerically("<=", c.slots))
}

// drain closes all granted tickets and advances the time until none are left,
// and checks that the core is then empty.
func (c *coreChecker) drain() {
	for len(c.granted)+len(c.waiting) > 0 {
		for ticket := range c.granted {
			c.core.Close(c.now, ticket, schedule.Result{Tokens: 1})
			delete(c.granted, ticket)
			c.recordEnd(ticket)
		}
		c.now = c.now.Add(time.Second)
		c.decide()
	}
	c.check()
	c.g.Expect(c.core.State().Bytes).To(gomega.Equal(0))
}

// drawTicket draws a ticket from a set, or returns nil if the set is empty.
func drawTicket(rt *rapid.T, set map[*schedule.Ticket]bool) *schedule.Ticket {
	var list []*schedule.Ticket
	for ticket := range set {
		list = append(list, ticket)
	}
	if len(list) == 0 {
		return nil
	}
	return list[rapid.IntRange(0, len(list)-1).Draw(rt, "which")]
}

// BenchmarkDecision measures a complete decision (arrival, dispatch and end)
// with 16 requests running on each server: with 10,000 requests waiting for
// different numbers of servers, and for different numbers of requests waiting
// for 1000 servers.
func BenchmarkDecision(b *testing.B) {
	for _, servers := range []int{10, 100, 1000, 12_000} {
		b.Run(fmt.Sprintf("servers=%d", servers), func(b *testing.B) {
			benchmarkDecision(b, servers, 10_000)
		})
	}
	for _, waiting := range []int{10, 1000, 100_000} {
		b.Run(fmt.Sprintf("waiting=%d", waiting), func(b *testing.B) {
			benchmarkDecision(b, 1000, waiting)
		})
	}
}

// benchmarkDecision measures decisions with all slots in use and the given
// number of requests waiting.
func benchmarkDecision(b *testing.B, servers, waiting int) {
	plan := testPlan(servers, 16)
	for i := range plan.Classes {
		plan.Classes[i].MaxQueued = 2 * waiting
		plan.Classes[i].FirstTokenTarget = 24 * time.Hour
		plan.Classes[i].QueueTimeout = 24 * time.Hour
	}
	s := fleet.New(1, plan)
	now := time.Unix(1000, 0)
	core := schedule.NewCore(schedule.Options{Seed: 1, MaxRequests: 2 * waiting, MaxBytes: 1 << 40, Overcommit: -1})
	core.Apply(now, s)
	names := []string{"front", "chat", "tags"}
	var running []*schedule.Ticket
	submit := func(i int) {
		r := request(s, names[i%len(names)])
		r.Arrived = now
		r.Prefixes = []uint64{uint64(i % 50), uint64(i)}
		if i%2 == 0 {
			r.Team = s.Teams["two"]
		}
		core.Submit(now, r)
		running = append(running, core.Decide(now)...)
	}
	for i := range waiting + 16*servers {
		submit(i)
	}
	if got := core.State().Waiting; got < waiting*9/10 {
		b.Fatalf("%d requests are waiting", got)
	}
	b.ResetTimer()
	i := 0
	for b.Loop() {
		i++
		now = now.Add(time.Microsecond)
		ticket := running[0]
		running = running[1:]
		core.RecordFirstToken(now, ticket, 0)
		core.Close(now, ticket, schedule.Result{Tokens: 100})
		submit(i)
	}
}

// BenchmarkPeriodic measures the operations over all servers: the periodic
// division of slots, applying a snapshot, and a load report from each server.
func BenchmarkPeriodic(b *testing.B) {
	for _, servers := range []int{30, 1000, 12_000} {
		s := fleet.New(1, testPlan(servers, 16))
		now := time.Unix(1000, 0)
		core := schedule.NewCore(schedule.Options{Seed: 1})
		b.Run(fmt.Sprintf("divide/servers=%d", servers), func(b *testing.B) {
			core.Apply(now, s)
			for b.Loop() {
				core.DivideSlots(now)
			}
		})
		b.Run(fmt.Sprintf("apply/servers=%d", servers), func(b *testing.B) {
			for b.Loop() {
				core.Apply(now, s)
			}
		})
		b.Run(fmt.Sprintf("reports/servers=%d", servers), func(b *testing.B) {
			at := now
			for b.Loop() {
				at = at.Add(time.Second)
				for i := range s.Plan.Servers {
					core.Report(at, s.Plan.Servers[i].Name, schedule.Load{At: at, Running: 3})
				}
			}
		})
	}
}

func TestRequestOverTeamLimitShedsNothing(t *testing.T) {
	g := gomega.NewWithT(t)
	now := time.Unix(1000, 0)
	plan := testPlan(1, 1)
	plan.Teams[1].Limits.MaxRunning = 1
	s := fleet.New(1, plan)
	core := schedule.NewCore(schedule.Options{Seed: 1, MaxRequests: 3, Overcommit: -1})
	core.Apply(now, s)
	submit := func(name, team string) *schedule.Ticket {
		r := request(s, name)
		r.Team = s.Teams[team]
		r.Arrived = now
		ticket := core.Submit(now, r)
		core.Decide(now)
		return ticket
	}
	held := submit("front", "two")
	g.Expect(held.Status).To(gomega.Equal(schedule.Granted))
	for range 3 {
		g.Expect(submit("tags", "one").Status).To(gomega.Equal(schedule.Waiting))
	}
	refused := submit("front", "two")
	g.Expect(refused.Refusal.Reason).To(gomega.Equal(schedule.Limited))
	g.Expect(core.State().Waiting).To(gomega.Equal(3))
}

// queueTest submits requests to a core with one slot, which a request of class
// tags holds.
type queueTest struct {
	*gomega.WithT
	core     *schedule.Core
	snapshot *fleet.Snapshot
	now      time.Time
}

// newQueueTest returns a test in which a class may have a number of requests
// waiting.
func newQueueTest(t *testing.T, className string, maxQueued int) *queueTest {
	plan := testPlan(1, 1)
	for i := range plan.Classes {
		if plan.Classes[i].Name == className {
			plan.Classes[i].MaxQueued = maxQueued
		}
	}
	q := &queueTest{
		WithT:    gomega.NewWithT(t),
		core:     schedule.NewCore(schedule.Options{Seed: 1, Overcommit: -1}),
		snapshot: fleet.New(1, plan),
		now:      time.Unix(1000, 0),
	}
	q.core.Apply(q.now, q.snapshot)
	q.Expect(q.submit("tags", 1)[0].Status).To(gomega.Equal(schedule.Granted))
	return q
}

// submit submits a number of requests of a class.
func (q *queueTest) submit(className string, n int) []*schedule.Ticket {
	var tickets []*schedule.Ticket
	for range n {
		r := request(q.snapshot, className)
		r.Arrived = q.now
		tickets = append(tickets, q.core.Submit(q.now, r))
		q.core.Decide(q.now)
	}
	return tickets
}

// countWaiting returns how many tickets are waiting.
func countWaiting(tickets []*schedule.Ticket) int {
	n := 0
	for _, ticket := range tickets {
		if ticket.Status == schedule.Waiting {
			n++
		}
	}
	return n
}

func TestFullQueueOfAClassShedsNoOtherClass(t *testing.T) {
	q := newQueueTest(t, "front", 2)
	tags := q.submit("tags", 3)
	fronts := q.submit("front", 4)
	q.Expect(countWaiting(fronts)).To(gomega.Equal(2))
	q.Expect(countWaiting(tags)).To(gomega.Equal(3))
}

func TestFullQueueOfAProtectedClassShedsOthers(t *testing.T) {
	q := newQueueTest(t, "protected", 2)
	tags := q.submit("tags", 3)
	protected := q.submit("protected", 4)
	q.Expect(countWaiting(protected)).To(gomega.Equal(4))
	q.Expect(countWaiting(tags)).To(gomega.Equal(1))
}
