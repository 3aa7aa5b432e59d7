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

// headers are the bytes of the headers of UDP and IP.
const headers = 28

// TestEstimatesAreAtLeastTheSizeOnTheWire holds the estimates from which the
// periods of notes follow against the real datagrams.
func TestEstimatesAreAtLeastTheSizeOnTheWire(t *testing.T) {
	g := gomega.NewWithT(t)
	const slack = 1.2
	for _, pools := range []int{1, 4, 15, 30} {
		n := note(pools)
		onWire := float64(sentNote(n) + headers)
		g.Expect(float64(n.Size())).To(gomega.And(gomega.BeNumerically(">=", onWire), gomega.BeNumerically("<", slack*onWire)))
	}
	single := usage()
	g.Expect(uint64(single.Size())).To(gomega.BeNumerically(">=", sentLimit()+headers))
}

// sinkConn is a datagram connection that drops what is sent.
type sinkConn struct {
	net.PacketConn
}

// WriteTo implements net.PacketConn.
func (sinkConn) WriteTo(p []byte, _ net.Addr) (int, error) {
	return len(p), nil
}

// group is one peer at a fixed address.
type group struct{}

// Routers implements exchange.Group.
func (group) Routers() []string { return []string{"router-1"} }

// Address implements exchange.Group.
func (group) Address(string) (string, bool) { return "10.0.0.1:7000", true }

func newExchange() *exchange.Exchange {
	return exchange.New("router-0", sinkConn{}, []string{"a key for all routers"}, group{})
}

// note returns a note about so many pools with demand at three levels.
func note(pools int) share.DemandReport {
	n := share.DemandReport{Router: "router-0", Pools: make(map[share.PoolName]share.Demand)}
	for i := range pools {
		n.Pools[schedule.PoolName("one", []string{fmt.Sprintf("model-%02d", i)}, false)] = share.Demand{3, 0, 12, 0, 0, 7}
	}
	return n
}

// BenchmarkNote measures the datagram of a note and its cost, beside the
// estimate from which its period follows.
func BenchmarkNote(b *testing.B) {
	for _, pools := range []int{1, 4, 15, 30} {
		b.Run(fmt.Sprintf("pools=%d", pools), func(b *testing.B) {
			e, n := newExchange(), note(pools)
			for b.Loop() {
				e.SendDemand("router-1", n)
			}
			s := e.Statistics()
			b.ReportMetric(float64(s.SentBytes)/float64(s.Sent), "bytes")
			b.ReportMetric(float64(n.Size()), "estimate")
		})
	}
}

// BenchmarkUsages measures the datagrams of reports about teams' limits.
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
				e.SendLimit(m)
			}
			s := e.Statistics()
			b.ReportMetric(float64(s.SentBytes)/float64(s.Sent), "bytes")
			b.ReportMetric(float64(m.Size()), "estimate")
		})
	}
}

// peers is an exchange that counts messages.
type peers struct {
	names []string
	notes int
	limit int
	usage int
}

// Routers implements schedule.Exchange.
func (p *peers) Routers() []string { return p.names }

// SendDemand implements schedule.Exchange.
func (p *peers) SendDemand(string, share.DemandReport) { p.notes++ }

// SendLimit implements schedule.Exchange.
func (p *peers) SendLimit(m limit.Message) {
	p.limit++
	p.usage += len(m.Teams)
}

// BenchmarkPeriod measures one period of a router: dividing the slots, the note
// and the reports of the teams that called in it. 24 teams call each router, or
// all if there are fewer.
func BenchmarkPeriod(b *testing.B) {
	for _, size := range capacity.Sizes() {
		b.Run(size.String(), func(b *testing.B) {
			const active = 24
			var decoder document.Decoder
			f := snapshot(b, &decoder, documents(b, size))
			p := &peers{names: routers(size.Routers)}
			now := time.Now()
			core := schedule.NewCore(schedule.Options{Router: "router-0"})
			core.Apply(now, f)
			l := limit.NewLimiter("router-0")
			for b.Loop() {
				core.SetRouters(p.names)
				core.DivideSlots(now)
				core.LocalDemand()
				p.notes = len(core.Peers(now))
				l.SetRouters(p.names)
				for i := range min(active, size.Teams) {
					l.Allow(now, f.Teams[fmt.Sprintf("team-%04d", i)], 1)
				}
				p.limit, p.usage = 0, 0
				for _, m := range l.EndPeriod(now) {
					p.SendLimit(m)
				}
			}
			b.ReportMetric(float64(p.notes), "peers")
			b.ReportMetric(float64(p.limit), "reports")
		})
	}
}

// BenchmarkStatus measures the answer that lists every router.
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

// ensure that the fake is one.
var _ schedule.Exchange = (*peers)(nil)

// BenchmarkApply measures how long the gate is held when a revision comes into
// force that changes one team, and one that changes a server.
func BenchmarkApply(b *testing.B) {
	for _, size := range capacity.Sizes() {
		s := documents(b, size)
		var decoder document.Decoder
		first := snapshot(b, &decoder, s)
		b.Run("team/"+size.String(), func(b *testing.B) {
			benchmarkApply(b, first, snapshot(b, &decoder, s))
		})
		plan := first.Plan
		plan.Servers = slices.Clone(plan.Servers)
		plan.Servers[0].State = backend.StateDraining
		b.Run("server/"+size.String(), func(b *testing.B) {
			benchmarkApply(b, first, fleet.New(first.Revision+1, plan))
		})
	}
}

// benchmarkApply puts two snapshots in force by turns.
func benchmarkApply(b *testing.B, first, second *fleet.Snapshot) {
	b.Helper()
	now := time.Now()
	core := schedule.NewCore(schedule.Options{Router: "router-0"})
	core.Apply(now, first)
	for b.Loop() {
		core.Apply(now, second)
		first, second = second, first
	}
}
