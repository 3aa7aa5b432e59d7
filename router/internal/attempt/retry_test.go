package attempt_test

import (
	"net/http"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"pgregory.net/rapid"

	"snipetally.example/router/internal/attempt"
	"snipetally.example/router/internal/class"
)

// question returns one whose answer is to try again.
func question() attempt.RetryInput {
	return attempt.RetryInput{
		Last:      attempt.Outcome{Run: attempt.RunYes, Reason: attempt.Broken},
		Attempts:  1,
		Remaining: time.Minute,
		Expected:  time.Second,
	}
}

func TestRetryVerdicts(t *testing.T) {
	cases := map[string]struct {
		change  func(q *attempt.RetryInput)
		verdict attempt.Decision
	}{
		"broken before a byte was seen": {func(*attempt.RetryInput) {}, attempt.Retry},
		"whole":                         {func(q *attempt.RetryInput) { q.Last.Complete = true }, attempt.StopFinished},
		"caller gone":                   {func(q *attempt.RetryInput) { q.Last.Reason = attempt.Canceled }, attempt.StopFinished},
		"part seen":                     {func(q *attempt.RetryInput) { q.Last.ResponseStarted = true }, attempt.StopResponseStarted},
		"once and run":                  {func(q *attempt.RetryInput) { q.AtMostOnce = true }, attempt.StopUnsafe},
		"once and unknown":              {func(q *attempt.RetryInput) { q.AtMostOnce, q.Last.Run = true, attempt.RunUnknown }, attempt.StopUnsafe},
		"once and not run":              {func(q *attempt.RetryInput) { q.AtMostOnce, q.Last.Run = true, attempt.RunNo }, attempt.Retry},
		"bad request": {func(q *attempt.RetryInput) {
			q.Last.Reason, q.Last.Status = attempt.Refused, http.StatusBadRequest
		}, attempt.StopPointless},
		"model not loaded there": {func(q *attempt.RetryInput) {
			q.Last.Reason, q.Last.Status = attempt.Refused, http.StatusNotFound
		}, attempt.Retry},
		"too many tries": {func(q *attempt.RetryInput) { q.Attempts = 4 }, attempt.StopExhausted},
		"too late":       {func(q *attempt.RetryInput) { q.Remaining = time.Second }, attempt.StopTooLate},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			q := question()
			c.change(&q)
			verdict, _ := attempt.Policy{}.Decide(q)
			gomega.NewWithT(t).Expect(verdict).To(gomega.Equal(c.verdict))
		})
	}
}

func TestRetryStartsWithinWhatTheDeadlineLeaves(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		q := question()
		q.Attempts = rapid.IntRange(1, 40).Draw(rt, "tries")
		q.Remaining = time.Duration(rapid.Int64Range(0, int64(5*time.Second)).Draw(rt, "remaining"))
		q.Expected = time.Duration(rapid.Int64Range(0, int64(5*time.Second)).Draw(rt, "expected"))
		q.Random = rapid.Float64Range(0, 0.999999).Draw(rt, "random")
		policy := attempt.Policy{MaxAttempts: 50, BaseBackoff: 10 * time.Millisecond, MaxBackoff: 300 * time.Millisecond}
		verdict, pause := policy.Decide(q)
		late := q.Remaining <= q.Expected
		if (verdict == attempt.StopTooLate) != late {
			rt.Fatalf("%v with %v left for %v", verdict, q.Remaining, q.Expected)
		}
		if pause < 0 || pause > 300*time.Millisecond || (!late && pause+q.Expected > q.Remaining) {
			rt.Fatalf("pause %v with %v left for %v", pause, q.Remaining, q.Expected)
		}
	})
}

// TestRetriesStayAFractionOfSuccesses holds the budget against any mix of
// successes and retries.
func TestRetriesStayAFractionOfSuccesses(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		const fraction, burst = 0.25, 5
		budget := attempt.NewRetryBudget(fraction, burst)
		retries, successes := map[string]int{}, map[string]int{}
		for range rapid.IntRange(0, 300).Draw(rt, "steps") {
			class := rapid.SampledFrom([]string{"login", "tags"}).Draw(rt, "class")
			if rapid.Bool().Draw(rt, "success") {
				budget.RecordSuccess(class)
				successes[class]++
			} else if budget.Take(class) {
				retries[class]++
			}
		}
		for class, n := range retries {
			if float64(n) > burst+fraction*float64(successes[class]) {
				rt.Fatalf("%d retries of %s for %d successes", n, class, successes[class])
			}
		}
	})
}

func TestFailingClassLeavesRetriesToOthers(t *testing.T) {
	g := gomega.NewWithT(t)
	budget := attempt.NewRetryBudget(0.1, 10)
	for budget.Take("tags") {
	}
	g.Expect(budget.Take("login")).To(gomega.BeTrue())
}

func TestDeadlinesFollowTheSlowerOfTargetAndPace(t *testing.T) {
	g := gomega.NewWithT(t)
	c := &class.Class{FirstToken: 420 * time.Millisecond, BetweenTokens: 38 * time.Millisecond}
	quick := attempt.TimeoutsFor(c, attempt.LatencyEstimate{})
	slow := attempt.TimeoutsFor(c, attempt.LatencyEstimate{First: 2 * time.Second, Between: 200 * time.Millisecond})
	g.Expect(quick.First).To(gomega.BeNumerically(">=", c.FirstToken))
	g.Expect(quick.Between).To(gomega.BeNumerically(">=", c.BetweenTokens))
	g.Expect(slow.First).To(gomega.BeNumerically(">", 2*time.Second))
	g.Expect(slow.Between).To(gomega.BeNumerically(">", 200*time.Millisecond))
}
