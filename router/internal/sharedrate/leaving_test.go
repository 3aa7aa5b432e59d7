package sharedrate_test

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"
	"pgregory.net/rapid"

	"snipetally.example/coordination/bubble"
	"snipetally.example/router/internal/sharedrate"
)

// leavingKnown is the time in which all routers that are connected have to know that a server
// leaves.
const leavingKnown = time.Second

// hearLeaving records that another router says that a server leaves.
func (r *router) hearLeaving(key sharedrate.Key, _ netip.AddrPort) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.leaving[key] = true
}

// sayLeaving lets the router get a response that says that a server leaves.
func (r *router) sayLeaving(key sharedrate.Key) {
	r.hearLeaving(key, r.address)
	r.process().Observe(key, sharedrate.Statement{Leaving: true}, time.Since(r.fleet.start))
}

// knowLeaving returns the number of routers that know that a server leaves.
func (f *fleet) knowLeaving(key sharedrate.Key) int {
	n := 0
	for _, r := range f.routers {
		r.mu.Lock()
		if r.leaving[key] {
			n++
		}
		r.mu.Unlock()
	}
	return n
}

// Guards against routers that send requests to a server which has told another router that it
// leaves, also those that start later.
func TestAllRoutersLearnThatAServerLeaves(t *testing.T) {
	for _, routers := range []int{3, 8, 80, 400} {
		t.Run(fmt.Sprintf("%d routers", routers), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := gomega.NewWithT(t)
				f := newFleet(t, 1, fleetConfig{routers: routers, delay: 3 * time.Millisecond, perSecond: 0.001})
				defer f.close()
				time.Sleep(2 * f.liveTime())
				f.routers[0].sayLeaving(serverKey)
				time.Sleep(leavingKnown)
				g.Expect(f.knowLeaving(serverKey)).To(gomega.Equal(routers))
				started := f.routers[routers-1]
				started.restart()
				g.Eventually(started.process().Synced).WithTimeout(time.Second).Should(gomega.BeTrue())
				g.Expect(f.knowLeaving(serverKey)).To(gomega.Equal(routers))
			})
		})
	}
}

// Guards against a word of leaving that is lost with a message, or behind a partition.
func TestRoutersThatMissedThatAServerLeavesLearnItLater(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		f := newFleet(t, 1, fleetConfig{routers: 8, delay: 3 * time.Millisecond, loss: 0.2, perSecond: 0.001})
		defer f.close()
		time.Sleep(2 * f.liveTime())
		f.cut(5*time.Second, func(router int) int { return router % 2 })
		time.Sleep(2 * time.Second)
		f.routers[0].sayLeaving(serverKey)
		time.Sleep(40 * time.Second) // Each router tells a random one each second.
		g.Expect(f.knowLeaving(serverKey)).To(gomega.Equal(8))
	})
}

// Guards against traffic beyond the budget after a fifth of very many servers have said that they
// leave at once, when each router names them again from time to time. With SNIPETALLY_MEASURE set it
// runs at 400 routers too.
func TestManyLeavingServersStayInTheBudgetOfTraffic(t *testing.T) {
	for _, routers := range trafficSizes() {
		t.Run(fmt.Sprintf("%d routers", routers), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := gomega.NewWithT(t)
				f := newFleet(t, 1, fleetConfig{routers: routers, delay: 3 * time.Millisecond, perSecond: 0.001})
				defer f.close()
				time.Sleep(2 * f.liveTime())
				for i, r := range f.routers {
					for n := range manyPerRouter {
						r.sayLeaving(sharedrate.Key(manyKeys + i*manyPerRouter + n))
					}
				}
				announced := f.trafficOf(time.Second)
				named := f.trafficOf(10 * time.Second)
				t.Logf("bytes a second at the worst router: %.0f in the second of the announcement, then %.0f", announced, named)
				g.Expect(named).To(gomega.BeNumerically("<=", maxTraffic))
			})
		})
	}
}

// TestNoHistoryTakesBackThatAServerLeaves checks with random histories that routers know of
// each server that it leaves once one of them has been told, whatever is said of limits before
// and after, and of no other.
func TestNoHistoryTakesBackThatAServerLeaves(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		routers := rapid.SampledFrom([]int{3, 8, 24}).Draw(rt, "routers")
		servers := rapid.IntRange(1, 5).Draw(rt, "servers")
		steps := rapid.IntRange(1, 30).Draw(rt, "steps")
		seed := rapid.Uint64().Draw(rt, "seed")
		bubble.Run(t, rt, func(t *testing.T) (failure string) {
			f := newFleet(t, seed, fleetConfig{routers: routers, delay: 5 * time.Millisecond, perSecond: 0.001})
			defer f.close()
			random := rand.New(rand.NewPCG(seed, 2))
			time.Sleep(2 * f.liveTime())
			said := f.saySome(random, servers, steps)
			time.Sleep(2 * leavingKnown)
			for key := range sharedrate.Key(servers) {
				want := 0
				if said[key] {
					want = routers
				}
				if known := f.knowLeaving(key); known != want {
					return fmt.Sprintf("%d of %d routers know that server %d leaves, said: %v", known, routers, key, said[key])
				}
			}
			return ""
		})
	})
}

// saySome lets random routers hear statements of some servers, and returns those that leave.
// Some routers start again meanwhile.
func (f *fleet) saySome(random *rand.Rand, servers, steps int) map[sharedrate.Key]bool {
	said := make(map[sharedrate.Key]bool)
	for range steps {
		r := f.routers[random.IntN(len(f.routers))]
		key := sharedrate.Key(random.IntN(servers))
		switch random.IntN(4) {
		case 0:
			r.sayLeaving(key)
			said[key] = true
		case 1:
			r.process().Observe(key, sharedrate.Statement{}, time.Since(f.start)-time.Second)
		case 2:
			r.process().Observe(key, sharedrate.Statement{Limited: true, PerSecond: 3}, time.Since(f.start))
		case 3:
			time.Sleep(leavingKnown) // What was said has spread.
			r.restart()
			time.Sleep(leavingKnown)
		}
		time.Sleep(time.Duration(random.IntN(300)) * time.Millisecond)
	}
	return said
}
