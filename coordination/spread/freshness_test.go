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

	DescribeTable("judges", func(known, reached time.Time, reach membership.Reachability, want spread.Standing) {
		reach.LastContact = reached
		reach.ExpectedKnown = reach.Expected > 0
		evidence := spread.Evidence{Now: now, Known: known, Reachability: reach}
		Expect(spread.FreshnessRuleFor(reach.Expected).Standing(evidence)).To(Equal(want))
	},
		Entry("a reachable table suffices", ago(5*time.Second), never,
			membership.Reachability{Reachable: 1, Expected: 9}, spread.Fresh),
		Entry("an isolated router stops after the limit", ago(5001*time.Millisecond), ago(4*time.Second),
			membership.Reachability{Reachable: 9, Expected: 9}, spread.Stopped),
		Entry("an outage of the table stops nobody", ago(8*time.Hour), ago(time.Second),
			membership.Reachability{Reachable: 9, Expected: 9}, spread.Holding),
		Entry("the greater part holds", ago(time.Hour), ago(time.Second),
			membership.Reachability{Reachable: 5, Expected: 9}, spread.Holding),
		Entry("the smaller part stops", ago(time.Hour), ago(time.Second),
			membership.Reachability{Reachable: 4, Expected: 9, FirstReachable: true}, spread.Stopped),
		Entry("of two halves the one with the first router holds", ago(time.Hour), ago(time.Second),
			membership.Reachability{Reachable: 4, Expected: 8, FirstReachable: true}, spread.Holding),
		Entry("and the other stops", ago(time.Hour), ago(time.Second),
			membership.Reachability{Reachable: 4, Expected: 8}, spread.Stopped),
		Entry("without contact only this router counts", ago(time.Hour), ago(time.Minute),
			membership.Reachability{Reachable: 2, Expected: 2, FirstReachable: true}, spread.Stopped),
		Entry("unless it is the first of two", ago(time.Hour), ago(time.Minute),
			membership.Reachability{Reachable: 2, Expected: 2, FirstReachable: true, IsFirst: true}, spread.Holding),
		Entry("a single router holds", never, never,
			membership.Reachability{Reachable: 1, Expected: 1, FirstReachable: true, IsFirst: true}, spread.Holding),
		Entry("a router that has not heard who should run does not", never, never,
			membership.Reachability{Reachable: 1, FirstReachable: true, IsFirst: true}, spread.Stopped),
		Entry("many routers have a longer limit", ago(10*time.Second), never,
			membership.Reachability{Reachable: 1, Expected: 400}, spread.Fresh),
		Entry("but no longer than a change may take", ago(10001*time.Millisecond), never,
			membership.Reachability{Reachable: 1, Expected: 4000}, spread.Stopped),
	)

	It("sees a wall clock that ran on while the monotonic one stood", func() {
		start := time.Now()
		suspended := start.Add(time.Minute).Round(0)
		evidence := spread.Evidence{Now: suspended, Known: start, Reachability: membership.Reachability{Reachable: 1, Expected: 9}}
		Expect(spread.FreshnessRuleFor(9).Standing(evidence)).To(Equal(spread.Stopped))
	})
})
