package attempt_test

import (
	"context"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"snipetally.example/router/internal/attempt"
	"snipetally.example/router/internal/class"
	"snipetally.example/standin/engine"
)

// TestSlowEngineCausesFewResumes checks that an engine that is slower than its
// class's target by some factor is not taken for a silent connection again and
// again. It logs the number of resumes.
func TestSlowEngineCausesFewResumes(t *testing.T) {
	c := &class.Class{FirstTokenTarget: 420 * time.Millisecond, BetweenTokensTarget: 38 * time.Millisecond}
	for _, factor := range []float64{1, 4, 8, 16, 32, 64} {
		inBubble(t, engine.Config{TokenLatency: c.BetweenTokensTarget}, func(h *harness) {
			h.engine.SetLatencyFactor(factor)
			call := h.call("a", true, 200)
			call.Timeouts = attempt.TimeoutsFor(c, attempt.LatencyEstimate{})
			outcome, got := h.run(context.Background(), call)
			h.Expect(outcome.Err).NotTo(gomega.HaveOccurred())
			h.Expect(got.text()).To(gomega.Equal(expectedOutput(call)))
			// The timeout adapts to the engine after a few resumes, far fewer
			// than one for each token.
			h.Expect(outcome.Resumes).To(gomega.BeNumerically("<", 20))
			t.Logf("factor %2.0f: %d resumes for 200 tokens", factor, outcome.Resumes)
		})
	}
}

// TestSilenceIsDetectedWithinClassTargets checks how long a caller waits when a
// connection goes silent, and logs the time.
func TestSilenceIsDetectedWithinClassTargets(t *testing.T) {
	c := &class.Class{FirstTokenTarget: 420 * time.Millisecond, BetweenTokensTarget: 38 * time.Millisecond}
	for _, at := range []time.Duration{20 * time.Millisecond, time.Second} {
		inBubble(t, engine.Config{TokenLatency: c.BetweenTokensTarget}, func(h *harness) {
			call := h.call("a", true, 100)
			call.Timeouts = attempt.TimeoutsFor(c, attempt.LatencyEstimate{})
			time.AfterFunc(at, h.engine.BlackholeConnections)
			start := time.Now()
			outcome, got := h.run(context.Background(), call)
			h.Expect(outcome.Err).NotTo(gomega.HaveOccurred())
			h.Expect(got.text()).To(gomega.Equal(expectedOutput(call)))
			// The engine continues during the silence, so the response is late by
			// at most the timeout that detected it.
			took := time.Since(start)
			h.Expect(took).To(gomega.BeNumerically("<", 101*c.BetweenTokensTarget+call.Timeouts.First))
			t.Logf("silent at %v: response of %v after %v, %d resumes", at, 100*c.BetweenTokensTarget, took, outcome.Resumes)
		})
	}
}

// TestNonStreamingResponseTakesFewStatusQueries covers a long non-streaming
// response, whose progress is only visible through status queries, each on a new
// connection.
func TestNonStreamingResponseTakesFewStatusQueries(t *testing.T) {
	c := &class.Class{FirstTokenTarget: 420 * time.Millisecond, BetweenTokensTarget: 38 * time.Millisecond}
	inBubble(t, engine.Config{TokenLatency: c.BetweenTokensTarget}, func(h *harness) {
		call := h.call("a", false, 2000)
		call.Timeouts = attempt.TimeoutsFor(c, attempt.LatencyEstimate{})
		outcome, got := h.run(context.Background(), call)
		h.Expect(outcome.Err).NotTo(gomega.HaveOccurred())
		h.Expect(got.text()).To(gomega.Equal(expectedOutput(call)))
		h.Expect(h.dials.Load()).To(gomega.BeNumerically("<", 12))
		t.Logf("%d connections for a response of %v", h.dials.Load(), 2000*c.BetweenTokensTarget)
	})
}
