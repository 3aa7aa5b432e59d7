package loadreport_test

import (
	"context"
	"net/netip"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"

	"snipetally.example/router/internal/loadreport"
	"snipetally.example/router/internal/placement"
)

// longBalancer reports far more than fits into a datagram.
type longBalancer struct {
	*fakeBalancer
	loads, demands, uses int
}

func (b *longBalancer) LoadReport(now time.Time) placement.LoadReport {
	report := b.fakeBalancer.LoadReport(now)
	for i := range b.loads {
		load := report.Loads[0]
		load.Server = uint32(1000 + i)
		report.Loads = append(report.Loads, load)
	}
	for i := range b.demands {
		demand := report.Demands[0]
		demand.Service = uint32(1000 + i)
		report.Demands = append(report.Demands, demand)
	}
	for i := range b.uses {
		report.Uses = append(report.Uses, placement.SessionUse{Session: uint32(i), Server: 1 << 30})
	}
	return report
}

// longReports are reports that don't fit into a datagram, for one reason each.
func longReports(plain *fakeBalancer) map[string]*longBalancer {
	const many = 5000
	return map[string]*longBalancer{
		"loads":   {fakeBalancer: plain, loads: many},
		"demands": {fakeBalancer: plain, demands: many},
		"uses":    {fakeBalancer: plain, uses: many},
		"all":     {fakeBalancer: plain, loads: many, demands: many, uses: many},
	}
}

// Guards against routers that count as gone to all others, as they have more to report than fits into a datagram
// (review/14).
func TestRouterWithALongReportIsHeard(t *testing.T) {
	plain := &fakeBalancer{number: 1, received: make(map[uint32]placement.LoadReport)}
	for name, balancer := range longReports(plain) {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := gomega.NewWithT(t)
				network := newMemoryNetwork()
				to, from := netip.MustParseAddrPort("10.0.0.1:1"), netip.MustParseAddrPort("10.0.0.2:1")
				ctx, cancel := context.WithCancel(t.Context())
				var running sync.WaitGroup
				heard := make(map[netip.AddrPort]*loadreport.Broadcaster)
				for address, config := range map[netip.AddrPort]loadreport.Config{
					to:   {Balancer: plain, ReportError: func(err error) { t.Error(err) }},
					from: {Balancer: balancer, Seeds: seeds(to), ReportError: func(err error) { t.Error(err) }},
				} {
					config.Address, config.Listen = address, network.listen
					config.PlanAge = func() (time.Duration, bool) { return 0, true }
					config.Proofs = func() loadreport.Proofs { return loadreport.Proofs{} }
					config.HearProofs = func(loadreport.Proofs) {}
					heard[address] = loadreport.New(config)
					running.Go(func() { _ = heard[address].Run(ctx) })
				}
				time.Sleep(2 * time.Second)
				g.Expect(heard[to].Live(time.Now())).To(gomega.ConsistOf(from))
				cancel()
				running.Wait()
			})
		})
	}
}
