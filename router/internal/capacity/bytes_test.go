package capacity_test

import (
	"fmt"
	"net"
	"slices"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"google.golang.org/protobuf/proto"

	"snipetally.example/router/internal/backend"
	"snipetally.example/router/internal/capacity"
	"snipetally.example/router/internal/document"
	"snipetally.example/router/internal/exchange"
	"snipetally.example/router/internal/fleet"
	"snipetally.example/router/internal/limit"
	"snipetally.example/router/internal/schedule"
	"snipetally.example/router/internal/share"
	wire "snipetally.example/wire/operators"
)

// headerBytes is the size of the UDP and IP headers.
const headerBytes = 28

// TestSizeEstimatesCoverDatagramSize compares the size estimates, from which
// the periods of demand reports follow, with the real datagrams.
func TestSizeEstimatesCoverDatagramSize(t *testing.T) {
	g := gomega.NewWithT(t)
	const slack = 1.2
	for _, pools := range []int{1, 4, 15, 30} {
		report := demandReport(pools)
		onWire := float64(demandDatagramBytes(report) + headerBytes)
		g.Expect(float64(report.Size())).To(gomega.And(gomega.BeNumerically(">=", onWire), gomega.BeNumerically("<", slack*onWire)))
	}
	single := teamMessage()
	g.Expect(uint64(single.Size())).To(gomega.BeNumerically(">=", limitDatagramBytes()+headerBytes))
}

// discardConn is a datagram connection that discards what is sent.
type discardConn struct {
	net.PacketConn
}

// WriteTo implements net.PacketConn.
func (discardConn) WriteTo(p []byte, _ net.Addr) (int, error) {
	return len(p), nil
}

// singlePeer is an exchange.Directory with one peer at a fixed address.
type singlePeer struct{}

// Routers implements exchange.Directory.
func (singlePeer) Routers() []string { return []string{"router-1"} }

// Address implements exchange.Directory.
func (singlePeer) Address(string) (string, bool) { return "10.0.0.1:7000", true }

func newExchange() *exchange.Exchange {
	return exchange.New("router-0", discardConn{}, []string{"a key for all routers"}, singlePeer{})
}

// demandReport returns a demand report for the given number of pools, with
// demand at three levels.
func demandReport(pools int) share.DemandReport {
	report := share.DemandReport{Router: "router-0", Pools: make(map[share.PoolName]share.Demand)}
	for i := range pools {
		report.Pools[schedule.PoolName("one", []string{fmt.Sprintf("model-%02d", i)}, false)] = share.Demand{3, 0, 12, 0, 0, 7}
	}
	return report
}

// BenchmarkNote measures the datagram of a demand report and its cost, and
// reports the size estimate from which the report period follows.
func BenchmarkNote(b *testing.B) {
	for _, pools := range []int{1, 4, 15, 30} {
		b.Run(fmt.Sprintf("pools=%d", pools), func(b *testing.B) {
			e, report := newExchange(), demandReport(pools)
			for b.Loop() {
				e.SendDemand("router-1", report)
			}
			s := e.Statistics()
			b.ReportMetric(float64(s.SentBytes)/float64(s.Sent), "bytes")
			b.ReportMetric(float64(report.Size()), "estimate")
		})
	}
}

// BenchmarkUsages measures the datagrams that report the demand of teams for
// their limits.
func BenchmarkUsages(b *testing.B) {
	for _, teams := range []int{1, 3, 40} {
		b.Run(fmt.Sprintf("teams=%d", teams), func(b *testing.B) {
			e := newExchange()
			m := limit.Message{From: "router-0", To: "router-1"}
			for i := range teams {
				m.Teams = append(m.Teams, limit.TeamDemand{
					Team:   fmt.Sprintf("team-%04d", i),
					Demand: limit.Demand{Requests: 1.5, Tokens: 310, Running: 2},
				})
			}
			for b.Loop() {
				e.SendLimits(m)
			}
			s := e.Statistics()
			b.ReportMetric(float64(s.SentBytes)/float64(s.Sent), "bytes")
			b.ReportMetric(float64(m.Size()), "estimate")
		})
	}
}

// countingExchange is a schedule.Exchange that counts messages.
type countingExchange struct {
	names         []string
	demandReports int
	limitMessages int
	teams         int
}

// Routers implements schedule.Exchange.
func (e *countingExchange) Routers() []string { return e.names }

// SendDemand implements schedule.Exchange.
func (e *countingExchange) SendDemand(string, share.DemandReport) { e.demandReports++ }

// SendLimits implements schedule.Exchange.
func (e *countingExchange) SendLimits(m limit.Message) {
	e.limitMessages++
	e.teams += len(m.Teams)
}

// BenchmarkPeriod measures one period of a router: dividing the slots, the
// demand report, and the limit messages for the teams that called in the
// period. 24 teams call each router, or all if there are fewer.
func BenchmarkPeriod(b *testing.B) {
	for _, size := range capacity.Sizes() {
		b.Run(size.String(), func(b *testing.B) {
			const active = 24
			var decoder document.Decoder
			f := decodeSnapshot(b, &decoder, encodePlan(b, size))
			e := &countingExchange{names: routerNames(size.Routers)}
			now := time.Now()
			core := schedule.NewCore(schedule.Options{Router: "router-0"})
			core.Apply(now, f)
			l := limit.NewLimiter("router-0")
			for b.Loop() {
				core.SetRouters(e.names)
				core.DivideSlots(now)
				core.LocalDemand()
				e.demandReports = len(core.Peers(now))
				l.SetRouters(e.names)
				for i := range min(active, size.Teams) {
					l.Allow(now, f.Teams[fmt.Sprintf("team-%04d", i)], 1)
				}
				e.limitMessages, e.teams = 0, 0
				for _, m := range l.EndPeriod(now) {
					e.SendLimits(m)
				}
			}
			b.ReportMetric(float64(e.demandReports), "peers")
			b.ReportMetric(float64(e.limitMessages), "reports")
		})
	}
}

// BenchmarkStatus measures the status reply, which lists every router.
func BenchmarkStatus(b *testing.B) {
	for _, n := range []int{9, 100, 400} {
		b.Run(fmt.Sprintf("routers=%d", n), func(b *testing.B) {
			reply := &wire.StatusReply{Revision: 1 << 20, Force: "day", Vm: "router-0", Ready: true, Table: "up"}
			for i := range n {
				reply.Confirmations = append(reply.Confirmations, &wire.Confirmation{
					Name: fmt.Sprintf("router-%d", i), Address: fmt.Sprintf("10.0.%d.%d:7000", i/250, i%250),
					Zone: fmt.Sprintf("zone-%d", i%15), Region: fmt.Sprintf("region-%d", i%4),
					State: "alive", Revision: 1 << 20, AgeMs: 1200,
				})
			}
			bytes := 0
			for b.Loop() {
				data, err := proto.Marshal(reply)
				if err != nil {
					b.Fatal(err)
				}
				bytes = len(data)
			}
			b.ReportMetric(float64(bytes), "bytes")
		})
	}
}

var _ schedule.Exchange = (*countingExchange)(nil)

// BenchmarkApply measures how long the gate is locked while a revision is
// applied, for one that changes a team and one that changes a server.
func BenchmarkApply(b *testing.B) {
	for _, size := range capacity.Sizes() {
		s := encodePlan(b, size)
		var decoder document.Decoder
		first := decodeSnapshot(b, &decoder, s)
		b.Run("team/"+size.String(), func(b *testing.B) {
			benchmarkApply(b, first, decodeSnapshot(b, &decoder, s))
		})
		plan := first.Plan
		plan.Servers = slices.Clone(plan.Servers)
		plan.Servers[0].State = backend.StateDraining
		b.Run("server/"+size.String(), func(b *testing.B) {
			benchmarkApply(b, first, fleet.New(first.Revision+1, plan))
		})
	}
}

// benchmarkApply applies two snapshots alternately.
func benchmarkApply(b *testing.B, current, next *fleet.Snapshot) {
	b.Helper()
	now := time.Now()
	core := schedule.NewCore(schedule.Options{Router: "router-0"})
	core.Apply(now, current)
	for b.Loop() {
		core.Apply(now, next)
		current, next = next, current
	}
}
