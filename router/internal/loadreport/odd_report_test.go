package loadreport_test

import (
	"context"
	"math"
	"net/netip"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"snipetally.example/router/internal/loadreport"
	"snipetally.example/router/internal/placement"
)

// oddBalancer reports one odd number after the other, again and again, beside sound ones.
type oddBalancer struct {
	*fakeBalancer
	sent atomic.Int32
	odd  []func(*placement.LoadReport)
}

func (b *oddBalancer) LoadReport(now time.Time) placement.LoadReport {
	report := b.fakeBalancer.LoadReport(now)
	sound := b.fakeBalancer.LoadReport(now)
	b.odd[int(b.sent.Add(1)-1)%len(b.odd)](&report)
	report.Loads = append(report.Loads, sound.Loads...)
	report.Demands = append(report.Demands, sound.Demands...)
	return report
}

// oddReports are reports whose numbers are none or far too large.
func oddReports() []func(*placement.LoadReport) {
	var odd []func(*placement.LoadReport)
	for _, n := range []float64{math.NaN(), math.Inf(1), math.Inf(-1), 1e30, -1e30} {
		odd = append(odd,
			func(r *placement.LoadReport) { r.Loads[0].Load.FailureRate = n },
			func(r *placement.LoadReport) { r.Demands[0].TokenRate = n },
			func(r *placement.LoadReport) { r.Demands[0].PrefillSpeed = n },
			func(r *placement.LoadReport) { r.Demands[0].ShortLength = n },
			func(r *placement.LoadReport) { r.Demands[0].Short.Prefill = n },
			func(r *placement.LoadReport) { r.Demands[0].Long.Slots = n },
		)
	}
	for _, n := range []int{-1, math.MaxInt, math.MinInt} {
		odd = append(odd,
			func(r *placement.LoadReport) { r.Loads[0].Running = n },
			func(r *placement.LoadReport) { r.Loads[0].ReservedTokens = n },
			func(r *placement.LoadReport) { r.Loads[0].Queued = []placement.QueuedTokens{{Priority: 1, Tokens: n}} },
			func(r *placement.LoadReport) { r.Loads[0].Streams = []placement.StreamCount{{Streams: n}} },
			func(r *placement.LoadReport) { r.Demands[0].ShortServers = n },
		)
	}
	return append(odd, func(r *placement.LoadReport) { r.Demands[0].PrefillSpeed = 0 })
}

// checkingBalancer records whether it got a number that would spoil its sums, or lacked a sound load or
// demand.
type checkingBalancer struct {
	*fakeBalancer
	reports atomic.Int32
	spoiled atomic.Bool
	lacking atomic.Bool
}

func (b *checkingBalancer) ApplyReport(_ time.Time, _ string, report placement.LoadReport) {
	b.reports.Add(1)
	for _, l := range report.Loads {
		for _, n := range []float64{l.FailureRate, float64(l.Running), float64(l.ReservedTokens), float64(l.Queued[0].Tokens), float64(l.Streams[0].Streams)} {
			b.check(n)
		}
	}
	for _, d := range report.Demands {
		for _, n := range []float64{d.TokenRate, d.PrefillSpeed, d.ShortLength, d.Short.Prefill, d.Long.Slots, float64(d.ShortServers)} {
			b.check(n)
		}
		if d.PrefillSpeed <= 0 || d.ShortServers > d.Servers {
			b.spoiled.Store(true)
		}
	}
	if len(report.Loads) == 0 || len(report.Demands) == 0 {
		b.lacking.Store(true)
	}
}

// check records a number that would spoil sums.
func (b *checkingBalancer) check(n float64) {
	if math.IsNaN(n) || n < 0 || n > 1e15 {
		b.spoiled.Store(true)
	}
}

// Guards against sums of loads that one odd number of another router spoils for good, and against routers
// that count as gone, as one odd number makes their reports unreadable (review/15).
func TestOddNumbersOfAReportAreLeftOut(t *testing.T) {
	g := gomega.NewWithT(t)
	plain := func() *fakeBalancer { return &fakeBalancer{number: 1, received: make(map[uint32]placement.LoadReport)} }
	receiver := &checkingBalancer{fakeBalancer: plain()}
	sender := &oddBalancer{fakeBalancer: plain(), odd: oddReports()}
	to, from := freeAddress(t), freeAddress(t)
	ctx, cancel := context.WithCancel(t.Context())
	notRead := func(err error) {
		if ctx.Err() == nil { // Sending fails as the sockets are closed at the end.
			t.Errorf("report not read: %v", err)
		}
	}
	var running sync.WaitGroup
	heard := make(map[netip.AddrPort]*loadreport.Broadcaster)
	for address, config := range map[netip.AddrPort]loadreport.Config{
		to:   {Balancer: receiver, ReportError: notRead},
		from: {Balancer: sender, Seeds: seeds(to), ReportError: func(error) {}},
	} {
		config.Address = address
		config.PlanAge = func() (time.Duration, bool) { return 0, true }
		config.Proofs = func() loadreport.Proofs { return loadreport.Proofs{} }
		config.HearProofs = func(loadreport.Proofs) {}
		broadcaster := loadreport.New(config)
		heard[address] = broadcaster
		running.Go(func() { _ = broadcaster.Run(ctx) })
	}
	for int(receiver.reports.Load()) < len(sender.odd) && t.Context().Err() == nil {
		time.Sleep(time.Millisecond)
	}
	g.Expect(heard[to].Live(time.Now())).To(gomega.ConsistOf(from))
	cancel()
	running.Wait()
	g.Expect(receiver.spoiled.Load()).To(gomega.BeFalse())
	g.Expect(receiver.lacking.Load()).To(gomega.BeFalse(), "the sound load and demand beside the odd ones")
}
