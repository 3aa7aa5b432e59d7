package spread_test

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"snipetally.example/coordination/membership"
	"snipetally.example/coordination/seeds"
	"snipetally.example/coordination/spread"
)

func init() {
	seeds.Fix()
}

func TestSpread(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Spread")
}

var _ = Describe("Freshness", func() {
	now := time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)
	ago := func(d time.Duration) time.Time { return now.Add(-d) }
	never := time.Time{}

	DescribeTable("standing", func(known, contact time.Time, reachability membership.Reachability, want spread.Standing) {
		reachability.LastContact = contact
		reachability.ExpectedKnown = reachability.Expected > 0
		evidence := spread.Evidence{Now: now, Known: known, Reachability: reachability}
		Expect(spread.FreshnessRuleFor(reachability.Expected).Standing(evidence)).To(Equal(want))
	},
		Entry("is fresh while the table is reachable", ago(5*time.Second), never,
			membership.Reachability{Reachable: 1, Expected: 9}, spread.Fresh),
		Entry("is stopped in an isolated router after the age limit", ago(5001*time.Millisecond), ago(4*time.Second),
			membership.Reachability{Reachable: 9, Expected: 9}, spread.Stopped),
		Entry("is holding during an outage of the table", ago(8*time.Hour), ago(time.Second),
			membership.Reachability{Reachable: 9, Expected: 9}, spread.Holding),
		Entry("is holding in the majority", ago(time.Hour), ago(time.Second),
			membership.Reachability{Reachable: 5, Expected: 9}, spread.Holding),
		Entry("is stopped in the minority", ago(time.Hour), ago(time.Second),
			membership.Reachability{Reachable: 4, Expected: 9, FirstReachable: true}, spread.Stopped),
		Entry("is holding in the half with the first router", ago(time.Hour), ago(time.Second),
			membership.Reachability{Reachable: 4, Expected: 8, FirstReachable: true}, spread.Holding),
		Entry("is stopped in the other half", ago(time.Hour), ago(time.Second),
			membership.Reachability{Reachable: 4, Expected: 8}, spread.Stopped),
		Entry("counts only this router without contact", ago(time.Hour), ago(time.Minute),
			membership.Reachability{Reachable: 2, Expected: 2, FirstReachable: true}, spread.Stopped),
		Entry("is holding without contact in the first of two", ago(time.Hour), ago(time.Minute),
			membership.Reachability{Reachable: 2, Expected: 2, FirstReachable: true, IsFirst: true}, spread.Holding),
		Entry("is holding in a single router", never, never,
			membership.Reachability{Reachable: 1, Expected: 1, FirstReachable: true, IsFirst: true}, spread.Holding),
		Entry("is stopped while the expected routers are unknown", never, never,
			membership.Reachability{Reachable: 1, FirstReachable: true, IsFirst: true}, spread.Stopped),
		Entry("has a longer age limit with many routers", ago(10*time.Second), never,
			membership.Reachability{Reachable: 1, Expected: 400}, spread.Fresh),
		Entry("never has an age limit above the time that a change may take", ago(10001*time.Millisecond), never,
			membership.Reachability{Reachable: 1, Expected: 4000}, spread.Stopped),
	)

	It("is stopped if only the wall clock has advanced, as on a suspended VM", func() {
		start := time.Now()
		suspended := start.Add(time.Minute).Round(0)
		evidence := spread.Evidence{Now: suspended, Known: start, Reachability: membership.Reachability{Reachable: 1, Expected: 9}}
		Expect(spread.FreshnessRuleFor(9).Standing(evidence)).To(Equal(spread.Stopped))
	})
})
