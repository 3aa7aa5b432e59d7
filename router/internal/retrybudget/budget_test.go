package retrybudget_test

import (
	"testing"
	"time"

	"github.com/onsi/gomega"
	"pgregory.net/rapid"

	"snipetally.example/coordination/seeds"
	"snipetally.example/router/internal/retrybudget"
)

func init() { seeds.Fix() }

const (
	ratio        = 0.2
	windowLength = 10 * time.Second
)

// TestRetriesStayWithinRatio checks the window that ends at each retry, with
// requests and retries at random times.
func TestRetriesStayWithinRatio(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		budget := retrybudget.NewBudget(ratio, windowLength)
		now := time.Now()
		var requests, retries []time.Time
		for range rapid.IntRange(1, 300).Draw(rt, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 400).Draw(rt, "ms")) * time.Millisecond)
			if rapid.IntRange(0, 2).Draw(rt, "kind") > 0 {
				budget.RecordRequest(now, "s")
				requests = append(requests, now)
				continue
			}
			if !budget.Take(now, "s") {
				continue
			}
			retries = append(retries, now)
			requestCount, retryCount := countWithin(requests, now, windowLength), countWithin(retries, now, windowLength)
			if float64(retryCount) > max(1, ratio*float64(requestCount)) {
				rt.Fatalf("%d retries of %d requests", retryCount, requestCount)
			}
		}
	})
}

// countWithin returns the number of times in the span that ends at now.
func countWithin(times []time.Time, now time.Time, span time.Duration) int {
	n := 0
	for _, at := range times {
		if now.Sub(at) <= span {
			n++
		}
	}
	return n
}

func TestServicesHaveSeparateBudgets(t *testing.T) {
	g := gomega.NewWithT(t)
	budget := retrybudget.NewBudget(ratio, windowLength)
	now := time.Now()
	for range 100 {
		budget.RecordRequest(now, "busy")
	}
	g.Expect(budget.Take(now, "idle")).To(gomega.BeTrue())
	g.Expect(budget.Take(now, "idle")).To(gomega.BeFalse())
	g.Expect(budget.Take(now, "busy")).To(gomega.BeTrue())
	g.Expect(budget.Take(now, "busy")).To(gomega.BeTrue())
}

// retry is a retry that a budget allowed.
type retry struct {
	at          time.Time
	speculative bool
}

// history is what a budget was asked for and what it allowed.
type history struct {
	budget   *retrybudget.Budget
	requests []time.Time
	retries  []retry
}

// take asks for a retry and records it if it was allowed.
func (h *history) take(now time.Time, speculative bool) bool {
	take := h.budget.Take
	if speculative {
		take = h.budget.TakeSpeculative
	}
	if !take(now, "s") {
		return false
	}
	h.retries = append(h.retries, retry{at: now, speculative: speculative})
	return true
}

// giveBack returns a retry to the budget and removes it from the record.
func (h *history) giveBack(i int) {
	r := h.retries[i]
	if r.speculative {
		h.budget.ReturnSpeculative(r.at, "s")
	} else {
		h.budget.Return(r.at, "s")
	}
	h.retries = append(h.retries[:i:i], h.retries[i+1:]...)
}

// retriesWithin returns the number of all and of speculative retries in the span
// that ends at now.
func (h *history) retriesWithin(now time.Time, span time.Duration) (all, speculative int) {
	for _, r := range h.retries {
		if now.Sub(r.at) > span {
			continue
		}
		all++
		if r.speculative {
			speculative++
		}
	}
	return all, speculative
}

// drawStep draws the time between two events of a history: mostly shorter than a
// bucket, sometimes longer than a window.
func drawStep(rt *rapid.T) time.Duration {
	longest := rapid.SampledFrom([]int{20, 20, 20, 200, 200, 2_000, 15_000}).Draw(rt, "longest")
	return time.Duration(rapid.IntRange(0, longest).Draw(rt, "ms")) * time.Millisecond
}

// TestSpeculativeRetriesStayWithinFraction checks the window that ends at each
// retry: all retries stay within what Take alone allows, and speculative ones
// within their fraction, without the one retry that is always allowed.
func TestSpeculativeRetriesStayWithinFraction(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		h := &history{budget: retrybudget.NewBudget(ratio, windowLength)}
		now := time.Now()
		for range rapid.IntRange(1, 400).Draw(rt, "steps") {
			now = now.Add(drawStep(rt))
			switch kind := rapid.IntRange(0, 9).Draw(rt, "kind"); {
			case kind < 5:
				h.budget.RecordRequest(now, "s")
				h.requests = append(h.requests, now)
			case kind < 9:
				takesSpeculative := kind < 7
				if !h.take(now, takesSpeculative) {
					continue
				}
				allowed := ratio * float64(countWithin(h.requests, now, windowLength))
				all, speculative := h.retriesWithin(now, windowLength)
				if float64(all) > max(1, allowed) ||
					takesSpeculative && float64(speculative) > retrybudget.SpeculativeFraction*allowed {
					rt.Fatalf("%d retries, %d of them speculative, of %.1f allowed", all, speculative, allowed)
				}
			case len(h.retries) > 0:
				h.giveBack(rapid.IntRange(0, len(h.retries)-1).Draw(rt, "returned"))
			}
		}
	})
}

// TestReturnedRetriesLeaveNoTrace checks that a budget from which retries were
// taken and returned decides as one from which they were never taken.
func TestReturnedRetriesLeaveNoTrace(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		h := &history{budget: retrybudget.NewBudget(ratio, windowLength)}
		plain := retrybudget.NewBudget(ratio, windowLength)
		now := time.Now()
		for range rapid.IntRange(1, 400).Draw(rt, "steps") {
			now = now.Add(drawStep(rt))
			if rapid.Bool().Draw(rt, "request") {
				h.budget.RecordRequest(now, "s")
				plain.RecordRequest(now, "s")
				continue
			}
			speculative := rapid.Bool().Draw(rt, "speculative")
			allowed := h.take(now, speculative)
			if allowed && rapid.Bool().Draw(rt, "returned") {
				h.giveBack(len(h.retries) - 1)
				continue
			}
			take := plain.Take
			if speculative {
				take = plain.TakeSpeculative
			}
			if take(now, "s") != allowed {
				rt.Fatalf("allowed %t, without the returned retries %t", allowed, !allowed)
			}
		}
	})
}

// TestReturnRemovesTheTakenRetryOnly checks that a retry that is returned twice, as
// the wrong kind, or when its bucket is in use again, takes off none of the others.
func TestReturnRemovesTheTakenRetryOnly(t *testing.T) {
	g := gomega.NewWithT(t)
	budget := retrybudget.NewBudget(ratio, windowLength)
	first := time.Now()
	g.Expect(budget.Take(first, "s")).To(gomega.BeTrue())
	budget.ReturnSpeculative(first, "s")
	g.Expect(budget.Take(first, "s")).To(gomega.BeFalse())
	budget.Return(first, "s")
	budget.Return(first, "s")
	g.Expect(budget.Take(first, "s")).To(gomega.BeTrue())
	g.Expect(budget.Take(first, "s")).To(gomega.BeFalse())
	later := first.Add(11 * windowLength / 10)
	g.Expect(budget.Take(later, "s")).To(gomega.BeTrue())
	budget.Return(first, "s")
	g.Expect(budget.Take(later, "s")).To(gomega.BeFalse())
}

// newBusyBudget returns a budget with a number of requests that came at once.
func newBusyBudget(now time.Time, requests int) *retrybudget.Budget {
	budget := retrybudget.NewBudget(ratio, windowLength)
	for range requests {
		budget.RecordRequest(now, "s")
	}
	return budget
}

// takeAll takes retries by one of the budget's methods until there are none, or far too
// many, and returns how many there were.
func takeAll(now time.Time, take func(now time.Time, service string) bool) int {
	const tooMany = 1000
	taken := 0
	for taken < tooMany && take(now, "s") {
		taken++
	}
	return taken
}

// TestFailuresFindTheRestOfTheBudget checks that speculative retries leave half of
// the retries to failures that are allowed at once, which are half of the ratio.
func TestFailuresFindTheRestOfTheBudget(t *testing.T) {
	g := gomega.NewWithT(t)
	now := time.Now()
	idle := retrybudget.NewBudget(ratio, windowLength)
	g.Expect(idle.TakeSpeculative(now, "s")).To(gomega.BeFalse())
	budget := newBusyBudget(now, 100)
	g.Expect(takeAll(now, budget.TakeSpeculative)).To(gomega.Equal(5))
	g.Expect(takeAll(now, budget.Take)).To(gomega.Equal(5))
}

// TestRejectedRequestsLeaveTheLastRetries guards against streams that broke off and find no
// retry, as requests that have not run and can come back have used all of them.
func TestRejectedRequestsLeaveTheLastRetries(t *testing.T) {
	g := gomega.NewWithT(t)
	now := time.Now()
	budget := newBusyBudget(now, 200)
	g.Expect(takeAll(now, budget.TakeRejected)).To(gomega.Equal(15))
	g.Expect(takeAll(now, budget.Take)).To(gomega.Equal(5))
	g.Expect(budget.TakeRejected(now, "idle")).To(gomega.BeTrue(), "one retry is always allowed without an extra")
}

// TestPartOfTheExtraIsByTheRoutersHeard checks a router's part of the extra, which
// it has once the number of routers has not grown for a window.
func TestPartOfTheExtraIsByTheRoutersHeard(t *testing.T) {
	g := gomega.NewWithT(t)
	budget := retrybudget.NewBudget(ratio, windowLength)
	start := time.Now()
	routers, grownAt := 0, time.Time{}
	budget.SetExtra(16, func() (int, time.Time) { return routers, grownAt })
	g.Expect(budget.Take(start, "s")).To(gomega.BeFalse(), "no other router heard")
	routers, grownAt = 4, start
	g.Expect(budget.Take(start.Add(windowLength), "s")).To(gomega.BeFalse(), "number grown within a window")
	later := start.Add(windowLength + 1)
	g.Expect(budget.Take(later, "s")).To(gomega.BeTrue())
	g.Expect(budget.Take(later, "s")).To(gomega.BeTrue())
	g.Expect(budget.Take(later, "s")).To(gomega.BeFalse(), "half of the extra shared by four routers")
	budget.SetExtra(0, nil)
	g.Expect(budget.Take(later, "other")).To(gomega.BeTrue(), "one retry is always allowed without an extra")
}
