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

// retryInput returns an input for which the decision is attempt.Retry.
func retryInput() attempt.RetryInput {
	return attempt.RetryInput{
		Last:      attempt.Outcome{Run: attempt.RunYes, Reason: attempt.Broken},
		Attempts:  1,
		Remaining: time.Minute,
		Expected:  time.Second,
	}
}

func TestRetryDecisions(t *testing.T) {
	cases := map[string]struct {
		change   func(in *attempt.RetryInput)
		decision attempt.Decision
	}{
		"broken before a byte was seen": {func(*attempt.RetryInput) {}, attempt.Retry},
		"complete":                      {func(in *attempt.RetryInput) { in.Last.Complete = true }, attempt.StopFinished},
		"canceled":                      {func(in *attempt.RetryInput) { in.Last.Reason = attempt.Canceled }, attempt.StopFinished},
		"response started":              {func(in *attempt.RetryInput) { in.Last.ResponseStarted = true }, attempt.StopResponseStarted},
		"at most once and run":          {func(in *attempt.RetryInput) { in.AtMostOnce = true }, attempt.StopUnsafe},
		"at most once and unknown":      {func(in *attempt.RetryInput) { in.AtMostOnce, in.Last.Run = true, attempt.RunUnknown }, attempt.StopUnsafe},
		"at most once and not run":      {func(in *attempt.RetryInput) { in.AtMostOnce, in.Last.Run = true, attempt.RunNo }, attempt.Retry},
		"bad request": {func(in *attempt.RetryInput) {
			in.Last.Reason, in.Last.Status = attempt.Refused, http.StatusBadRequest
		}, attempt.StopPointless},
		"model not found on server": {func(in *attempt.RetryInput) {
			in.Last.Reason, in.Last.Status = attempt.Refused, http.StatusNotFound
		}, attempt.Retry},
		"too many attempts": {func(in *attempt.RetryInput) { in.Attempts = 4 }, attempt.StopExhausted},
		"too late":          {func(in *attempt.RetryInput) { in.Remaining = time.Second }, attempt.StopTooLate},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			in := retryInput()
			c.change(&in)
			decision, _ := attempt.Policy{}.Decide(in)
			gomega.NewWithT(t).Expect(decision).To(gomega.Equal(c.decision))
		})
	}
}

func TestRetryFitsIntoRemainingTime(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		in := retryInput()
		in.Attempts = rapid.IntRange(1, 40).Draw(rt, "attempts")
		in.Remaining = time.Duration(rapid.Int64Range(0, int64(5*time.Second)).Draw(rt, "remaining"))
		in.Expected = time.Duration(rapid.Int64Range(0, int64(5*time.Second)).Draw(rt, "expected"))
		in.Random = rapid.Float64Range(0, 0.999999).Draw(rt, "random")
		policy := attempt.Policy{MaxAttempts: 50, BaseBackoff: 10 * time.Millisecond, MaxBackoff: 300 * time.Millisecond}
		decision, backoff := policy.Decide(in)
		late := in.Remaining <= in.Expected
		if (decision == attempt.StopTooLate) != late {
			rt.Fatalf("%v with %v left for %v", decision, in.Remaining, in.Expected)
		}
		if backoff < 0 || backoff > 300*time.Millisecond || (!late && backoff+in.Expected > in.Remaining) {
			rt.Fatalf("backoff %v with %v left for %v", backoff, in.Remaining, in.Expected)
		}
	})
}

// TestRetriesStayWithinFractionOfSuccesses checks the budget with random mixes of
// successes and retries.
func TestRetriesStayWithinFractionOfSuccesses(t *testing.T) {
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

func TestFailingClassLeavesBudgetToOthers(t *testing.T) {
	g := gomega.NewWithT(t)
	budget := attempt.NewRetryBudget(0.1, 10)
	for budget.Take("tags") {
	}
	g.Expect(budget.Take("login")).To(gomega.BeTrue())
}

func TestTimeoutsFollowSlowerOfTargetAndEstimate(t *testing.T) {
	g := gomega.NewWithT(t)
	c := &class.Class{FirstTokenTarget: 420 * time.Millisecond, BetweenTokensTarget: 38 * time.Millisecond}
	fast := attempt.TimeoutsFor(c, attempt.LatencyEstimate{})
	slow := attempt.TimeoutsFor(c, attempt.LatencyEstimate{FirstToken: 2 * time.Second, BetweenTokens: 200 * time.Millisecond})
	g.Expect(fast.First).To(gomega.BeNumerically(">=", c.FirstTokenTarget))
	g.Expect(fast.Between).To(gomega.BeNumerically(">=", c.BetweenTokensTarget))
	g.Expect(slow.First).To(gomega.BeNumerically(">", 2*time.Second))
	g.Expect(slow.Between).To(gomega.BeNumerically(">", 200*time.Millisecond))
}
