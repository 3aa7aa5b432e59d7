package sharedrate_test

import (
	"fmt"
	"os"
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"

	"snipetally.example/router/internal/sharedrate"
)

// maxTraffic is the budget of a router for control, in bytes a second.
const maxTraffic = 9000

// trafficSizes returns the numbers of routers for which traffic is measured: those of the largest
// installation only with SNIPETALLY_MEASURE set, as that takes long.
func trafficSizes() []int {
	if os.Getenv("SNIPETALLY_MEASURE") == "" {
		return []int{8, 80}
	}
	return []int{8, 80, 400}
}

// trafficOf returns the bytes a second that the router with the highest number sends in
// a time.
func (f *fleet) trafficOf(length time.Duration) float64 {
	before := make([]int64, len(f.routers))
	for i, r := range f.routers {
		before[i] = r.sent.Load()
	}
	time.Sleep(length)
	worst := int64(0)
	for i, r := range f.routers {
		worst = max(worst, r.sent.Load()-before[i])
	}
	return float64(worst) / length.Seconds()
}

// Guards against traffic that grows with each request at a server that names a high limit,
// and against permits asked for together that leave the limit unused.
func TestFrequentRequestsAskForPermitsTogether(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		const limit = 150
		f := newFleet(t, 1, fleetConfig{routers: 8, delay: 3 * time.Millisecond, perSecond: 2 * limit, most: 0.8})
		defer f.close()
		time.Sleep(5 * time.Second)
		f.server.name(limit)
		time.Sleep(stableTime)
		from := time.Now()
		traffic := f.trafficOf(10 * time.Second)
		used := f.server.between(from, time.Now())
		t.Logf("%.0f bytes a second at the worst router, %.1f requests a second", traffic, used)
		g.Expect(f.server.violation()).To(gomega.BeEmpty())
		g.Expect(used).To(gomega.BeNumerically(">=", 0.5*limit))
		g.Expect(traffic).To(gomega.BeNumerically("<=", maxTraffic))
	})
}

// Guards against control traffic beyond its budget when a fifth of very many servers name
// limits at once. Each router has as many of them as in an installation of 400 routers and
// 12,000 servers, and as many requests. With SNIPETALLY_MEASURE set it runs at 400 too.
func TestManyLimitedServersStayInTheBudgetOfTraffic(t *testing.T) {
	for _, routers := range trafficSizes() {
		t.Run(fmt.Sprintf("%d routers", routers), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := gomega.NewWithT(t)
				f := newFleet(t, 1, fleetConfig{routers: routers, delay: 3 * time.Millisecond, perSecond: 0.001})
				defer f.close()
				time.Sleep(2 * f.liveTime())
				f.nameManyLimits()
				announced := f.trafficOf(time.Second)
				for _, r := range f.routers {
					f.senders.Go(r.askForMany)
				}
				asked := f.trafficOf(10 * time.Second)
				t.Logf("bytes a second at the worst router: %.0f in the second of the announcement, then %.0f", announced, asked)
				g.Expect(asked).To(gomega.BeNumerically("<=", maxTraffic))
			})
		})
	}
}

const (
	// manyPerRouter is the number of limited servers for each router, manyLimit their limit
	// and manyRate the number of requests a second of a router that want one of them.
	manyPerRouter = 6
	manyLimit     = 0.8
	manyRate      = 4.7

	// manyKeys is the key of the first of them.
	manyKeys = 1000
)

// nameManyLimits lets each router hear of the limits of some servers.
func (f *fleet) nameManyLimits() {
	for i, r := range f.routers {
		for n := range manyPerRouter {
			r.process().Observe(sharedrate.Key(manyKeys+i*manyPerRouter+n), sharedrate.Statement{Limited: true, PerSecond: manyLimit}, time.Since(f.start))
		}
	}
}

// askForMany asks for permits for random ones of these servers until the fleet ends.
func (r *router) askForMany() {
	f := r.fleet
	for f.done.Err() == nil {
		time.Sleep(time.Duration(expFloat(f) / manyRate * float64(time.Second)))
		key := sharedrate.Key(manyKeys + int(f.float()*float64(len(f.routers)*manyPerRouter)))
		if _, _, ok := r.process().Acquire(f.done, key, 0); ok {
			r.process().Observe(key, sharedrate.Statement{Limited: true, PerSecond: manyLimit}, time.Since(f.start))
		}
	}
}
