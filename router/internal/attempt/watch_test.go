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

// TestSlowEngineIsToldFromASilentConnection logs what it costs to look after an
// engine that is some times slower than its class's target.
func TestSlowEngineIsToldFromASilentConnection(t *testing.T) {
	c := &class.Class{FirstToken: 420 * time.Millisecond, BetweenTokens: 38 * time.Millisecond}
	for _, factor := range []float64{1, 4, 8, 16, 32, 64} {
		inBubble(t, engine.Config{Pace: c.BetweenTokens}, func(b *bench) {
			b.engine.Straggle(factor)
			call := b.call("a", true, 200)
			call.Timeouts = attempt.TimeoutsFor(c, attempt.LatencyEstimate{})
			outcome, got := b.run(context.Background(), call)
			b.Expect(outcome.Err).NotTo(gomega.HaveOccurred())
			b.Expect(got.text()).To(gomega.Equal(answer(call)))
			// The deadline adapts to the engine after a few resumes, far from
			// one for each token.
			b.Expect(outcome.Resumes).To(gomega.BeNumerically("<", 20))
			t.Logf("factor %2.0f: %d resumes for 200 tokens", factor, outcome.Resumes)
		})
	}
}

// TestSilenceIsNoticedByTheClassesTarget logs how long a caller waits because
// of a connection that went silent.
func TestSilenceIsNoticedByTheClassesTarget(t *testing.T) {
	c := &class.Class{FirstToken: 420 * time.Millisecond, BetweenTokens: 38 * time.Millisecond}
	for _, at := range []time.Duration{20 * time.Millisecond, time.Second} {
		inBubble(t, engine.Config{Pace: c.BetweenTokens}, func(b *bench) {
			call := b.call("a", true, 100)
			call.Timeouts = attempt.TimeoutsFor(c, attempt.LatencyEstimate{})
			time.AfterFunc(at, b.engine.Silence)
			begun := time.Now()
			outcome, got := b.run(context.Background(), call)
			b.Expect(outcome.Err).NotTo(gomega.HaveOccurred())
			b.Expect(got.text()).To(gomega.Equal(answer(call)))
			// The engine goes on during the silence, so that the answer is
			// late by no more than the deadline that found it.
			took := time.Since(begun)
			b.Expect(took).To(gomega.BeNumerically("<", 101*c.BetweenTokens+call.Timeouts.First))
			t.Logf("silent at %v: answer of %v after %v, %d resumes", at, 100*c.BetweenTokens, took, outcome.Resumes)
		})
	}
}

// TestLookingAfterAWholeAnswerTakesFewCalls covers a long answer in one piece,
// of which nothing is seen before its end.
func TestLookingAfterAWholeAnswerTakesFewCalls(t *testing.T) {
	c := &class.Class{FirstToken: 420 * time.Millisecond, BetweenTokens: 38 * time.Millisecond}
	inBubble(t, engine.Config{Pace: c.BetweenTokens}, func(b *bench) {
		call := b.call("a", false, 2000)
		call.Timeouts = attempt.TimeoutsFor(c, attempt.LatencyEstimate{})
		outcome, got := b.run(context.Background(), call)
		b.Expect(outcome.Err).NotTo(gomega.HaveOccurred())
		b.Expect(got.text()).To(gomega.Equal(answer(call)))
		b.Expect(b.dials.Load()).To(gomega.BeNumerically("<", 12))
		t.Logf("%d connections for an answer of %v", b.dials.Load(), 2000*c.BetweenTokens)
	})
}
