package loadreport_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"snipetally.example/coordination/feed"
	"snipetally.example/router/internal/loadreport"
	"snipetally.example/router/internal/placement"
)

// fakeBalancer records the last report that each router sent. number identifies
// its own router in the reports.
type fakeBalancer struct {
	number uint32

	mu       sync.Mutex
	received map[uint32]placement.LoadReport
}

func (b *fakeBalancer) LoadReport(time.Time) placement.LoadReport {
	return placement.LoadReport{
		Loads: []placement.ServerLoad{{
			Server: b.number, Load: placement.Load{Queued: []placement.QueuedTokens{{Priority: 2, Tokens: 1000}}, Running: 3, Streams: []placement.StreamCount{{Gap: 250 * time.Millisecond, Streams: 2}}, FailureRate: 0.5},
		}},
		Demands: []placement.ServiceDemand{{
			Service: 7, Short: placement.GroupDemand{Prefill: 0.5}, Long: placement.GroupDemand{Slots: 2},
			TokenRate: 4000, PrefillSpeed: 80000, Samples: 9, ShortServers: 3, Servers: 8, ShortLength: 3000,
		}},
		Uses: []placement.SessionUse{{Session: 5, Server: b.number}},
	}
}

func (b *fakeBalancer) ApplyReport(_ time.Time, _ string, report placement.LoadReport) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.received[report.Loads[0].Server] = report
}

func (b *fakeBalancer) count() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.received)
}

// freeAddress returns a free port of a random loopback address that no other
// test is likely to use.
func freeAddress(t *testing.T) netip.AddrPort {
	t.Helper()
	host := fmt.Sprintf("127.%d.%d.%d", 1+rand.IntN(254), rand.IntN(256), 1+rand.IntN(254))
	var listen net.ListenConfig
	conn, err := listen.ListenPacket(t.Context(), "udp4", host+":0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	return conn.LocalAddr().(*net.UDPAddr).AddrPort()
}

// seeds returns a function that returns addresses.
func seeds(addresses ...netip.AddrPort) func() []netip.AddrPort {
	return func() []netip.AddrPort { return addresses }
}

// TestRoutersDiscoverEachOtherFromOneSeed starts routers that know only the
// address of the first one, and waits until each has received reports from all
// others.
func TestRoutersDiscoverEachOtherFromOneSeed(t *testing.T) {
	g := gomega.NewWithT(t)
	const routers = 5
	seed := freeAddress(t)
	var balancers []*fakeBalancer
	var broadcasters []*loadreport.Broadcaster
	heard := &heardProofs{all: make(map[loadreport.Proofs]bool)}
	ctx, cancel := context.WithCancel(t.Context())
	var running sync.WaitGroup
	for i := range routers {
		b := &fakeBalancer{number: uint32(i), received: make(map[uint32]placement.LoadReport)}
		address := seed
		if i > 0 {
			address = freeAddress(t)
		}
		age := time.Duration(i) * time.Hour
		broadcaster := loadreport.New(loadreport.Config{
			Address: address, Seeds: seeds(seed), Balancer: b,
			PlanAge: func() (time.Duration, bool) { return age, true }, ReportError: func(error) {},
			Proofs: func() loadreport.Proofs { return proofsOf(i) }, HearProofs: heard.add,
		})
		balancers, broadcasters = append(balancers, b), append(broadcasters, broadcaster)
		running.Go(func() { _ = broadcaster.Run(ctx) })
	}
	for _, b := range balancers {
		for b.count() < routers-1 {
			time.Sleep(time.Millisecond)
		}
	}
	g.Expect(broadcasters[4].AnyFresherPlan(time.Minute)).To(gomega.BeTrue(), "the first router's plan is fresh")
	g.Expect(broadcasters[0].AnyFresherPlan(time.Minute)).To(gomega.BeFalse(), "all other plans are stale")
	cancel()
	running.Wait()
	for i := range routers {
		g.Expect(heard.all).To(gomega.HaveKey(proofsOf(i)))
	}
	g.Expect(balancers[1].received[0]).To(gomega.Equal(balancers[0].LoadReport(time.Time{})))
}

// proofsOf returns the proofs of a router.
func proofsOf(i int) loadreport.Proofs {
	n := int64(i)
	return loadreport.Proofs{
		Plan:    feed.Proof{Era: n % 2, Changed: n, Covered: n + 10, Clock: time.Duration(i) * time.Second},
		Servers: feed.Proof{Changed: n + 20, Covered: n + 30, Clock: time.Hour},
	}
}

// heardProofs collects the proofs that any router heard.
type heardProofs struct {
	// mu guards all.
	mu  sync.Mutex
	all map[loadreport.Proofs]bool
}

func (h *heardProofs) add(p loadreport.Proofs) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.all[p] = true
}

// TestRouterWithoutPlanIsNotFresher starts a router without a plan and another
// one that learns from its reports that it has none.
func TestRouterWithoutPlanIsNotFresher(t *testing.T) {
	g := gomega.NewWithT(t)
	ctx, cancel := context.WithCancel(t.Context())
	seed := freeAddress(t)
	var running sync.WaitGroup
	start := func(address netip.AddrPort, number uint32) (*loadreport.Broadcaster, *fakeBalancer) {
		b := &fakeBalancer{number: number, received: make(map[uint32]placement.LoadReport)}
		broadcaster := loadreport.New(loadreport.Config{
			Address: address, Seeds: seeds(seed), Balancer: b,
			PlanAge: func() (time.Duration, bool) { return 0, false }, ReportError: func(error) {},
			Proofs: func() loadreport.Proofs { return loadreport.Proofs{} }, HearProofs: func(loadreport.Proofs) {},
		})
		running.Go(func() { _ = broadcaster.Run(ctx) })
		return broadcaster, b
	}
	start(seed, 0)
	broadcaster, balancer := start(freeAddress(t), 1)
	for balancer.count() == 0 {
		time.Sleep(time.Millisecond)
	}
	g.Expect(broadcaster.AnyFresherPlan(time.Minute)).To(gomega.BeFalse())
	cancel()
	running.Wait()
}

// TestLostRoutersStayInTheLargestNumber guards against a router that takes the
// others for gone, and with them their parts of what all share, when it only can't
// hear them.
func TestLostRoutersStayInTheLargestNumber(t *testing.T) {
	g := gomega.NewWithT(t)
	seed := freeAddress(t)
	var running sync.WaitGroup
	defer running.Wait()
	start := func(ctx context.Context, address netip.AddrPort, number uint32) *loadreport.Broadcaster {
		broadcaster := loadreport.New(loadreport.Config{
			Address: address, Seeds: seeds(seed),
			Balancer: &fakeBalancer{number: number, received: make(map[uint32]placement.LoadReport)},
			PlanAge:  func() (time.Duration, bool) { return 0, false }, ReportError: func(error) {},
			Proofs: func() loadreport.Proofs { return loadreport.Proofs{} }, HearProofs: func(loadreport.Proofs) {},
		})
		running.Go(func() { _ = broadcaster.Run(ctx) })
		return broadcaster
	}
	staying, stop := context.WithCancel(t.Context())
	defer stop()
	broadcaster := start(staying, seed, 0)
	number, _ := broadcaster.MostRouters()
	g.Expect(number).To(gomega.BeZero(), "no other router heard")
	leaving, leave := context.WithCancel(t.Context())
	defer leave()
	for i := range 2 {
		start(leaving, freeAddress(t), uint32(i+1))
	}
	for number < 3 {
		time.Sleep(time.Millisecond)
		number, _ = broadcaster.MostRouters()
	}
	_, grownAt := broadcaster.MostRouters()
	leave()
	for len(broadcaster.Live(time.Now())) > 0 {
		time.Sleep(time.Millisecond)
	}
	number, sameTime := broadcaster.MostRouters()
	g.Expect(number).To(gomega.Equal(3))
	g.Expect(sameTime).To(gomega.Equal(grownAt))
}
