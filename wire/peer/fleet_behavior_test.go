package peer_test

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"

	"snipetally.example/coordination/membership"
	"snipetally.example/coordination/spread"
)

// runFleet runs a test with a fleet of n routers once all of them know each
// other and have the newest revision.
func runFleet(t *testing.T, n, zones, regions int, test func(*gomega.WithT, *fleet)) {
	t.Helper()
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		f := newFleet(n, zones, regions)
		defer f.stop()
		took, ok := waitFor(time.Minute, func() bool { return f.viewsComplete() && f.upToDate() })
		g.Expect(ok).To(gomega.BeTrue(), "all routers know each other")
		t.Logf("%d routers know each other after %v", n, took)
		test(g, f)
	})
}

func TestChangeReachesAllRoutersWithinFiveSeconds(t *testing.T) {
	runFleet(t, 9, 4, 1, func(g *gomega.WithT, f *fleet) {
		for i := range 20 {
			r := f.table.commit("preset", fmt.Sprint(i))
			_, ok := waitFor(5*time.Second, f.upToDate)
			g.Expect(ok).To(gomega.BeTrue())
			ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
			report, err := f.routers[0].replicator.Wait(ctx, r)
			cancel()
			g.Expect(err).NotTo(gomega.HaveOccurred())
			g.Expect(report.Unconfirmed(r)).To(gomega.BeEmpty())
		}
	})
}

func TestCrashIsDetectedAndRestartHasHigherIncarnation(t *testing.T) {
	runFleet(t, 9, 4, 1, func(g *gomega.WithT, f *fleet) {
		crashed := f.routers[3]
		before, _ := f.routers[0].node.View().Find(crashed.name)
		f.kill(crashed, false)
		_, ok := waitFor(20*time.Second, f.viewsComplete)
		g.Expect(ok).To(gomega.BeTrue())
		f.restart(3)
		_, ok = waitFor(20*time.Second, func() bool { return f.viewsComplete() && f.upToDate() })
		g.Expect(ok).To(gomega.BeTrue())
		after, _ := f.routers[0].node.View().Find(crashed.name)
		g.Expect(after.Incarnation).To(gomega.BeNumerically(">", before.Incarnation))
	})
}

func TestSlowRouterIsNotDeclaredDead(t *testing.T) {
	runFleet(t, 9, 4, 1, func(g *gomega.WithT, f *fleet) {
		slow := f.routers[4]
		slow.mu.Lock()
		slow.delay = 900 * time.Millisecond
		slow.mu.Unlock()
		start := time.Now()
		time.Sleep(5 * time.Minute)
		for _, r := range f.routers {
			g.Expect(r.deathsSince(start)).To(gomega.BeEmpty(), r.name)
		}
	})
}

func TestResumedRouterDeclaresNobodyDead(t *testing.T) {
	runFleet(t, 9, 4, 1, func(g *gomega.WithT, f *fleet) {
		paused := f.routers[2]
		start := time.Now()
		paused.pause()
		time.Sleep(40 * time.Second)
		g.Expect(f.routers[0].deathsSince(start)).To(gomega.HaveKey(paused.name))
		r := f.table.commit("preset", "peak")
		paused.resume()
		g.Expect(paused.replicator.Standing()).To(gomega.Equal(spread.Stopped), "before it has read the newest revision")
		_, ok := waitFor(30*time.Second, func() bool { return f.viewsComplete() && f.upToDate() })
		g.Expect(ok).To(gomega.BeTrue())
		g.Expect(paused.deathsSince(start)).To(gomega.BeEmpty())
		g.Expect(paused.replicator.Snapshot().Revision).To(gomega.Equal(r))
		g.Expect(paused.replicator.Standing()).To(gomega.Equal(spread.Fresh))
	})
}

func TestGracefulLeaveIsNotReportedAsDeath(t *testing.T) {
	runFleet(t, 9, 4, 1, func(g *gomega.WithT, f *fleet) {
		start := time.Now()
		leaver := f.routers[5]
		leaver.node.AnnounceLeaving()
		stateOf := func(r *router) membership.State {
			m, _ := r.node.View().Find(leaver.name)
			return m.State
		}
		_, ok := waitFor(10*time.Second, func() bool {
			return !slices.ContainsFunc(f.routers, func(r *router) bool { return stateOf(r) != membership.Leaving })
		})
		g.Expect(ok).To(gomega.BeTrue())
		for i := range 50 {
			home, _ := f.routers[0].node.View().Home(fmt.Sprint(i))
			g.Expect(home.Name).NotTo(gomega.Equal(leaver.name))
		}
		leaver.node.AnnounceLeft(context.Background())
		f.kill(leaver, true)
		_, ok = waitFor(10*time.Second, f.viewsComplete)
		g.Expect(ok).To(gomega.BeTrue())
		for _, r := range f.running() {
			g.Expect(stateOf(r)).To(gomega.Equal(membership.Left))
			g.Expect(r.deathsSince(start)).To(gomega.BeEmpty())
		}
	})
}

func TestRouterStartsDuringTableOutage(t *testing.T) {
	runFleet(t, 9, 4, 1, func(g *gomega.WithT, f *fleet) {
		f.table.setOutage(func(*host) bool { return true })
		time.Sleep(11 * time.Minute)
		for _, r := range f.routers {
			g.Expect(r.replicator.Standing()).To(gomega.Equal(spread.Holding), "no router stops in an outage of the table")
		}
		started := f.add(true)
		g.Expect(started.replicator.AcceptsChanges()).To(gomega.BeFalse(), "before it has the list of VMs")
		g.Expect(started.replicator.Ready()).To(gomega.BeFalse())
		_, ok := waitFor(10*time.Second, started.replicator.Ready)
		g.Expect(ok).To(gomega.BeTrue())
		g.Expect(started.replicator.Snapshot().Revision).To(gomega.Equal(f.table.head()))
	})
}

func TestAllVMsCanBeReplacedDuringTableOutage(t *testing.T) {
	runFleet(t, 9, 4, 1, func(g *gomega.WithT, f *fleet) {
		f.table.setOutage(func(*host) bool { return true })
		for range 9 {
			r := f.add(false)
			_, ok := waitFor(30*time.Second, r.replicator.Ready)
			g.Expect(ok).To(gomega.BeTrue())
			old := f.running()[0]
			old.node.AnnounceLeaving()
			time.Sleep(10 * time.Second)
			old.node.AnnounceLeft(context.Background())
			f.kill(old, true)
			time.Sleep(30 * time.Second)
			for _, up := range f.running() {
				g.Expect(up.replicator.Standing()).To(gomega.Equal(spread.Holding))
			}
		}
	})
}

func TestIsolatedRouterStopsAndRecovers(t *testing.T) {
	runFleet(t, 9, 4, 1, func(g *gomega.WithT, f *fleet) {
		isolated := f.routers[1]
		f.table.setOutage(func(h *host) bool { return h == isolated.host })
		f.network.setPartition(func(from, to *host) bool { return (from == isolated.host) != (to == isolated.host) })
		_, ok := waitFor(5*time.Second, func() bool { return isolated.replicator.Standing() == spread.Stopped })
		g.Expect(ok).To(gomega.BeTrue())
		g.Expect(isolated.replicator.Ready()).To(gomega.BeFalse())
		g.Expect(isolated.replicator.AcceptsChanges()).To(gomega.BeFalse())
		f.table.commit("preset", "peak")
		time.Sleep(15 * time.Minute)
		g.Expect(isolated.replicator.Standing()).To(gomega.Equal(spread.Stopped))
		f.network.setPartition(nil)
		f.table.setOutage(nil)
		_, ok = waitFor(20*time.Second, func() bool { return f.upToDate() && isolated.replicator.Ready() })
		g.Expect(ok).To(gomega.BeTrue())
	})
}

func TestOnlyMajorityPartitionHoldsDuringTableOutage(t *testing.T) {
	runFleet(t, 17, 7, 2, func(g *gomega.WithT, f *fleet) {
		f.table.setOutage(func(*host) bool { return true })
		f.network.setPartition(func(from, to *host) bool { return from.region != to.region })
		time.Sleep(30 * time.Second)
		size := map[string]int{}
		for _, r := range f.routers {
			size[r.region]++
		}
		for _, r := range f.routers {
			want := spread.Stopped
			if 2*size[r.region] > len(f.routers) {
				want = spread.Holding
			}
			g.Expect(r.replicator.Standing()).To(gomega.Equal(want), r.name)
			g.Expect(r.replicator.AcceptsChanges()).To(gomega.Equal(want == spread.Holding), r.name)
		}
	})
}

func TestHealedPartitionCausesNoDeaths(t *testing.T) {
	runFleet(t, 12, 6, 2, func(g *gomega.WithT, f *fleet) {
		f.network.setPartition(func(from, to *host) bool { return from.region != to.region })
		time.Sleep(11 * time.Minute) // Dead members are forgotten after ten minutes.
		f.table.commit("preset", "peak")
		f.network.setPartition(nil)
		healed := time.Now()
		_, ok := waitFor(time.Minute, func() bool { return f.viewsComplete() && f.upToDate() })
		g.Expect(ok).To(gomega.BeTrue())
		time.Sleep(time.Minute)
		for _, r := range f.routers {
			g.Expect(r.deathsSince(healed)).To(gomega.BeEmpty(), r.name)
		}
	})
}

func TestTableReadsStayWithinBudgetDuringPartition(t *testing.T) {
	runFleet(t, 60, 6, 2, func(g *gomega.WithT, f *fleet) {
		const budget, seconds = 50, 30
		f.network.setPartition(func(from, to *host) bool { return from.region != to.region })
		time.Sleep(30 * time.Second)
		before := f.table.reads.Load()
		time.Sleep(seconds * time.Second)
		g.Expect(f.table.reads.Load() - before).To(gomega.BeNumerically("<=", budget*seconds))
	})
}

func TestMissingConfirmationIsReported(t *testing.T) {
	runFleet(t, 9, 4, 1, func(g *gomega.WithT, f *fleet) {
		paused := f.routers[6]
		paused.pause()
		r := f.table.commit("preset", "peak")
		var unconfirmed []spread.Confirmation
		_, ok := waitFor(5*time.Second, func() bool {
			unconfirmed = f.routers[0].replicator.Report().Unconfirmed(r)
			return len(unconfirmed) == 1
		})
		g.Expect(ok).To(gomega.BeTrue())
		g.Expect(unconfirmed[0].Member.Name).To(gomega.Equal(paused.name))
		g.Expect(unconfirmed[0].Revision).To(gomega.Equal(r - 1))
		g.Expect(unconfirmed[0].Behind).To(gomega.BeNumerically(">", 0))
		f.kill(paused, false)
		f.table.setOutage(func(h *host) bool { return h == paused.host })
		f.restart(6)
		f.network.setPartition(func(from, to *host) bool { return from.name == paused.name && to.name != "router-000" })
		_, ok = waitFor(20*time.Second, func() bool {
			report := f.routers[0].replicator.Report()
			c := report.Members[6]
			m, _ := f.routers[0].node.View().Find(paused.name)
			return m.Incarnation == f.routers[6].node.Self().Incarnation && (!c.Known || c.Revision == r)
		})
		g.Expect(ok).To(gomega.BeTrue(), "confirmations of an earlier process do not count for a new one")
	})
}
