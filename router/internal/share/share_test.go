package share_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"pgregory.net/rapid"

	"snipetally.example/coordination/seeds"
	"snipetally.example/router/internal/share"
)

func init() {
	seeds.Fix()
}

// TestEverySlotIsAssignedOnce checks that routers with the same reports divide
// the slots of each server without gap or overlap.
func TestEverySlotIsAssignedOnce(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		g := gomega.NewWithT(rt)
		n := rapid.IntRange(1, 20).Draw(rt, "routers")
		slots := rapid.IntRange(1, 32).Draw(rt, "slots")
		offset := rapid.Float64Range(0, 0.999).Draw(rt, "offset")
		demands := make([]share.Demand, n)
		for i := range demands {
			for level := range demands[i] {
				demands[i][level] = float64(rapid.IntRange(0, 50).Draw(rt, "slots wanted"))
			}
		}
		parts := share.Divide(100, demands)
		low, sum := 0.0, 0
		for i, part := range parts {
			high := low + part/100
			if i == n-1 {
				high = 1
			}
			sum += share.Range{Low: low, High: high}.Slots(slots, offset)
			low = high
		}
		g.Expect(sum).To(gomega.Equal(slots))
	})
}

func TestMoreImportantDemandIsMetFirst(t *testing.T) {
	g := gomega.NewWithT(t)
	parts := share.Divide(10, []share.Demand{{0: 4}, {0: 4, 1: 100}, {1: 100}})
	g.Expect(parts).To(gomega.Equal([]float64{4, 5, 1}))
}

func TestIdleSlotsAreSpreadEvenly(t *testing.T) {
	g := gomega.NewWithT(t)
	g.Expect(share.Divide(10, []share.Demand{{0: 2}, {}})).To(gomega.Equal([]float64{6, 4}))
}

func TestSilentRouterLosesItsShare(t *testing.T) {
	g := gomega.NewWithT(t)
	const period = time.Second
	now := time.Unix(1000, 0)
	allocator := share.NewAllocator("a", period)
	pools := map[share.PoolName]share.Demand{"pool": {0: 50}}
	allocator.Receive(now, share.DemandReport{Router: "a", Pools: pools})
	allocator.Receive(now, share.DemandReport{Router: "b", Pools: pools})
	own, _ := allocator.OwnRange(now, "pool", 1, 16)
	g.Expect(own.High - own.Low).To(gomega.BeNumerically("~", 0.5, 1e-9))
	own, _ = allocator.OwnRange(now.Add((share.StalePeriods+1)*period), "pool", 1, 16)
	g.Expect(own.High - own.Low).To(gomega.BeNumerically("~", 1, 1e-9))
}

// TestCellsCoverAllServers checks that the cells of all routers cover each
// server of a pool, and that each router has at most 40 peers, which bounds its
// traffic.
func TestCellsCoverAllServers(t *testing.T) {
	g := gomega.NewWithT(t)
	const servers = 800
	now := time.Unix(1000, 0)
	for _, n := range []int{1, 9, 100, 400} {
		names := make([]string, n)
		for i := range names {
			names[i] = fmt.Sprintf("router%d", i)
		}
		covered := make([]bool, servers)
		for _, name := range names {
			allocator := share.NewAllocator(name, time.Second)
			allocator.SetRouters(names)
			from, to := allocator.CellServers(now, servers)
			g.Expect(to).To(gomega.BeNumerically(">", from))
			for i := from; i < to; i++ {
				covered[i] = true
			}
			g.Expect(len(allocator.Peers(now, servers))).To(gomega.BeNumerically("<=", 40))
		}
		g.Expect(covered).NotTo(gomega.ContainElement(false))
	}
}

func TestNewRouterTakesEvenShareUntilReportsArrive(t *testing.T) {
	g := gomega.NewWithT(t)
	const period = time.Second
	now := time.Unix(1000, 0)
	allocator := share.NewAllocator("a", period)
	allocator.SetRouters([]string{"a", "b", "c", "d"})
	reportOf := func(router string, slots float64) share.DemandReport {
		return share.DemandReport{Router: router, Pools: map[share.PoolName]share.Demand{"p": {0: slots}}}
	}
	ownFraction := func() float64 {
		own, _ := allocator.OwnRange(now, "p", 4, 64)
		return own.High - own.Low
	}
	allocator.Receive(now, reportOf("a", 100))
	g.Expect(ownFraction()).To(gomega.BeNumerically("~", 0.25, 0.001))
	for _, other := range []string{"b", "c", "d"} {
		allocator.Receive(now, reportOf(other, 300))
	}
	g.Expect(ownFraction()).To(gomega.BeNumerically("~", 0.1, 0.001))
	now = now.Add((share.StalePeriods + 1) * period)
	allocator.Receive(now, reportOf("a", 100))
	g.Expect(ownFraction()).To(gomega.BeNumerically("~", 1, 0.001))
}
