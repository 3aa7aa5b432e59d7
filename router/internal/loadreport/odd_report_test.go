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

// oddBalancer reports odd numbers in turn until it has no more, and sound ones after that.
type oddBalancer struct {
	*fakeBalancer
	sent atomic.Int32
	odd  []func(*placement.LoadReport)
}

func (b *oddBalancer) LoadReport(now time.Time) placement.LoadReport {
	report := b.fakeBalancer.LoadReport(now)
	if i := int(b.sent.Add(1)) - 1; i < len(b.odd) {
		b.odd[i](&report)
	}
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
	return odd
}

// checkingBalancer records whether it got a number that would spoil its sums.
type checkingBalancer struct {
	*fakeBalancer
	spoiled atomic.Bool
}

func (b *checkingBalancer) ApplyReport(now time.Time, name string, report placement.LoadReport) {
	d, failures := report.Demands[0], report.Loads[0].Load.FailureRate
	for _, n := range []float64{failures, d.TokenRate, d.PrefillSpeed, d.ShortLength, d.Short.Prefill, d.Long.Slots} {
		if math.IsNaN(n) || math.Abs(n) > 1e15 {
			b.spoiled.Store(true)
		}
	}
	b.fakeBalancer.ApplyReport(now, name, report)
}

// Guards against sums of loads that one odd message of another router spoils for good.
func TestReportsWithOddNumbersAreDropped(t *testing.T) {
	g := gomega.NewWithT(t)
	plain := func() *fakeBalancer { return &fakeBalancer{number: 1, received: make(map[uint32]placement.LoadReport)} }
	receiver := &checkingBalancer{fakeBalancer: plain()}
	sender := &oddBalancer{fakeBalancer: plain(), odd: oddReports()}
	to, from := freeAddress(t), freeAddress(t)
	var dropped atomic.Int32
	ctx, cancel := context.WithCancel(t.Context())
	var running sync.WaitGroup
	for address, config := range map[netip.AddrPort]loadreport.Config{
		to:   {Balancer: receiver, ReportError: func(error) { dropped.Add(1) }},
		from: {Balancer: sender, Seeds: seeds(to), ReportError: func(error) {}},
	} {
		config.Address = address
		config.PlanAge = func() (time.Duration, bool) { return 0, true }
		config.Proofs = func() loadreport.Proofs { return loadreport.Proofs{} }
		config.HearProofs = func(loadreport.Proofs) {}
		broadcaster := loadreport.New(config)
		running.Go(func() { _ = broadcaster.Run(ctx) })
	}
	for receiver.count() == 0 { // Sound reports follow the odd ones.
		time.Sleep(time.Millisecond)
	}
	cancel()
	running.Wait()
	g.Expect(receiver.spoiled.Load()).To(gomega.BeFalse())
	g.Expect(int(dropped.Load())).To(gomega.BeNumerically(">", 0))
}
