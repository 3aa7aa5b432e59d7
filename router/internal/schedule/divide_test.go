package schedule_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"snipetally.example/router/internal/fleet"
	"snipetally.example/router/internal/schedule"
	"snipetally.example/router/internal/share"
)

// dividedCores returns cores of the given number of routers that have received
// the same demand from each other, over servers with 16 slots.
func dividedCores(routers, servers int, demand share.Demand) []*schedule.Core {
	now := time.Unix(1000, 0)
	s := fleet.New(1, testPlan(servers, 16))
	names := make([]string, routers)
	for i := range names {
		names[i] = fmt.Sprintf("router%03d", i)
	}
	cores := make([]*schedule.Core, routers)
	for i := range cores {
		cores[i] = schedule.NewCore(schedule.Options{Router: names[i], Seed: 1, Overcommit: -1})
		cores[i].Apply(now, s)
		cores[i].SetRouters(names)
		for _, name := range names {
			pools := map[share.PoolName]share.Demand{schedule.PoolName("", []string{"model"}, false): demand}
			cores[i].ReceiveDemand(now, share.DemandReport{Router: name, Pools: pools})
		}
		cores[i].DivideSlots(now)
	}
	return cores
}

func TestRoutersInAllCellsGetSlots(t *testing.T) {
	g := gomega.NewWithT(t)
	const routers, servers = 100, 200
	cores := dividedCores(routers, servers, share.Demand{})
	given := make(map[string]int)
	for _, core := range cores {
		total := 0
		for _, s := range core.State().Servers {
			total += s.Own
			given[s.Name] += s.Own
		}
		g.Expect(total).To(gomega.BeNumerically(">=", 16*servers/routers/2))
	}
	for _, n := range given {
		g.Expect(n).To(gomega.BeNumerically("<=", 16))
	}
}

func TestRouterWithSmallShareStillServes(t *testing.T) {
	g := gomega.NewWithT(t)
	now := time.Unix(1000, 0)
	const servers = 7
	cores := dividedCores(60, servers, share.Demand{0: 100})
	s := fleet.New(1, testPlan(servers, 16))
	for _, core := range cores {
		core.DivideSlots(now)
		ticket := core.Submit(now, request(s, "protected"))
		core.Decide(now)
		g.Expect(ticket.Status).To(gomega.Equal(schedule.Granted))
	}
}

func TestServerChangesKeepCountOfRunningRequests(t *testing.T) {
	g := gomega.NewWithT(t)
	now := time.Unix(1000, 0)
	core := schedule.NewCore(schedule.Options{Seed: 1, Overcommit: -1})
	s := fleet.New(1, testPlan(1, 4))
	core.Apply(now, s)
	grant := func(name string) *schedule.Ticket {
		ticket := core.Submit(now, request(s, name))
		core.Decide(now)
		return ticket
	}
	running := []*schedule.Ticket{grant("chat"), grant("chat"), grant("chat")}
	s = fleet.New(2, testPlan(2, 4))
	core.Apply(now, s)
	s = fleet.New(3, testPlan(1, 4))
	core.Apply(now, s)
	for _, ticket := range running {
		g.Expect(ticket.Status).To(gomega.Equal(schedule.Granted))
		core.Close(now, ticket, schedule.Result{Tokens: 1})
	}
	g.Expect(grant("front").Status).To(gomega.Equal(schedule.Granted))
	core.DivideSlots(now)
	g.Expect(grant("chat").Status).To(gomega.Equal(schedule.Granted))
}

func TestThrottleAllowsAllSlotsOnlyAfterSaturation(t *testing.T) {
	g := gomega.NewWithT(t)
	const slots = 16
	now := time.Unix(1000, 0)
	s := fleet.New(1, testPlan(1, slots))
	core := schedule.NewCore(schedule.Options{Seed: 1, Overcommit: -1, ReserveFactor: -1})
	core.Apply(now, s)
	ownSlotsAfter := func(running int) int {
		for range 50 {
			now = now.Add(time.Second)
			core.Report(now, s.Plan.Servers[0].Name, schedule.Load{At: now, Running: running})
			core.DivideSlots(now)
		}
		return core.State().Servers[0].Own
	}
	g.Expect(ownSlotsAfter(0)).To(gomega.BeNumerically("<", slots))
	g.Expect(ownSlotsAfter(0)).To(gomega.BeNumerically(">=", slots/2))
	g.Expect(ownSlotsAfter(slots)).To(gomega.Equal(slots))
	g.Expect(ownSlotsAfter(0)).To(gomega.Equal(slots))
}
