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
