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
	boundRequests = 12
	boundBytes    = 4000
)

// history calls a core at random and checks its invariants after each call.
type history struct {
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
		h := &history{
			g:       gomega.NewWithT(rt),
			now:     time.Unix(1000, 0),
			plan:    testPlan(servers, slots),
			waiting: make(map[*schedule.Ticket]bool),
			granted: make(map[*schedule.Ticket]bool),
			ended:   make(map[*schedule.Ticket]bool),
			slots:   servers * slots,
		}
		h.core = schedule.NewCore(schedule.Options{Seed: 1, MaxRequests: boundRequests, MaxBytes: boundBytes, Overcommit: -1})
		h.current = fleet.New(1, h.plan)
		h.core.Apply(h.now, h.current)
		for range rapid.IntRange(1, 120).Draw(rt, "steps") {
			h.step(rt)
			h.check()
		}
		h.drain()
	})
}

// step makes one random call.
func (h *history) step(rt *rapid.T) {
	switch rapid.SampledFrom([]string{"arrive", "arrive", "arrive", "close", "cancel", "pass", "switch"}).Draw(rt, "call") {
	case "arrive":
		h.submit(rt)
	case "close":
		if ticket := drawTicket(rt, h.granted); ticket != nil {
			failed := rapid.Bool().Draw(rt, "failed")
			h.core.Close(h.now, ticket, schedule.Result{Tokens: rapid.IntRange(1, 500).Draw(rt, "tokens"), Failed: failed})
			delete(h.granted, ticket)
			h.recordEnd(ticket)
		}
	case "cancel":
		if ticket := drawTicket(rt, h.waiting); ticket != nil {
			h.g.Expect(h.core.Cancel(ticket)).To(gomega.BeTrue())
		}
	case "pass":
		h.now = h.now.Add(time.Duration(rapid.IntRange(1, 20_000).Draw(rt, "milliseconds")) * time.Millisecond)
	case "switch":
		h.plan.ActivePreset = rapid.SampledFrom([]string{"day", "night"}).Draw(rt, "preset")
		before := len(h.waiting)
		h.current = fleet.New(h.current.Revision+1, h.plan)
		h.core.Apply(h.now, h.current)
		h.g.Expect(h.core.State().Waiting).To(gomega.Equal(before))
	}
	h.decide()
}

// submit submits a random request. A protected one may be refused only if its
// class has reached its bounds or nothing is left to be shed.
func (h *history) submit(rt *rapid.T) {
	name := rapid.SampledFrom([]string{"protected", "front", "chat", "tags"}).Draw(rt, "class")
	r := request(h.current, name)
	r.Team = h.current.Teams[rapid.SampledFrom([]string{"one", "two"}).Draw(rt, "team")]
	r.Size = rapid.IntRange(1, 1000).Draw(rt, "size")
	r.Arrived = h.now
	ticket := h.core.Submit(h.now, r)
	if ticket.Status == schedule.Refused {
		h.recordEnd(ticket)
		h.decide()
		if r.Class.Protected {
			h.g.Expect(h.sheddable()).To(gomega.Equal(0), "a protected request was refused while others could be shed")
		}
		return
	}
	h.waiting[ticket] = true
}

// sheddable counts the waiting tickets that are not protected, less the last
// one of each class.
func (h *history) sheddable() int {
	counts := make(map[string]int)
	for ticket := range h.waiting {
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
func (h *history) decide() {
	for _, ticket := range h.core.Decide(h.now) {
		h.g.Expect(h.waiting[ticket]).To(gomega.BeTrue(), "a ticket was decided twice")
		delete(h.waiting, ticket)
		if ticket.Status == schedule.Granted {
			h.granted[ticket] = true
			continue
		}
		h.g.Expect(ticket.Status).To(gomega.Equal(schedule.Refused))
		if ticket.Request.Class.Protected {
			h.g.Expect(ticket.Refusal.Reason).NotTo(gomega.Equal(schedule.Overload), "a protected request was shed")
		}
		h.recordEnd(ticket)
	}
}

// recordEnd records that a ticket ended, and fails if it already had.
func (h *history) recordEnd(ticket *schedule.Ticket) {
	h.g.Expect(h.ended[ticket]).To(gomega.BeFalse())
	h.ended[ticket] = true
}

// check compares the core's state with the expected one.
func (h *history) check() {
	state := h.core.State()
	h.g.Expect(state.Waiting).To(gomega.Equal(len(h.waiting)))
	h.g.Expect(state.Waiting).To(gomega.BeNumerically("<=", boundRequests))
	h.g.Expect(state.Bytes).To(gomega.BeNumerically("<=", boundBytes))
	running := 0
	for _, s := range state.Servers {
		running += s.Running
	}
	h.g.Expect(running).To(gomega.Equal(len(h.granted)))
	h.g.Expect(running).To(gomega.BeNumerically("<=", h.slots))
}

// drain closes all granted tickets and advances the time until none are left,
// and checks that the core is then empty.
func (h *history) drain() {
	for len(h.granted)+len(h.waiting) > 0 {
		for ticket := range h.granted {
			h.core.Close(h.now, ticket, schedule.Result{Tokens: 1})
			delete(h.granted, ticket)
			h.recordEnd(ticket)
		}
		h.now = h.now.Add(time.Second)
		h.decide()
	}
	h.check()
	h.g.Expect(h.core.State().Bytes).To(gomega.Equal(0))
}

// drawTicket draws a ticket of a set, or returns nil if the set is empty.
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
// with 10,000 requests waiting and 16 running on each server.
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
