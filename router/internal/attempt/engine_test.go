package attempt_test

import (
	"context"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"

	"snipetally.example/router/internal/attempt"
	"snipetally.example/standin/engine"
)

func TestStreamPassesThroughWithoutIDs(t *testing.T) {
	inBubble(t, engine.Config{}, func(b *testBench) {
		call := b.call("a", true, 4)
		call.Body = []byte(strings.Replace(string(call.Body), `"stream":true`, `"stream":true,"stream_options":{"include_usage":true}`, 1))
		outcome, got := b.run(context.Background(), call)
		b.Expect(outcome.Err).NotTo(gomega.HaveOccurred())
		b.Expect(outcome.Complete).To(gomega.BeTrue())
		b.Expect(outcome.Tokens).To(gomega.Equal(4))
		b.Expect(outcome.Usage.Output).To(gomega.Equal(4))
		b.Expect(got.text()).To(gomega.Equal(expectedOutput(call)))
		b.Expect(string(got.events[6].Raw)).To(gomega.Equal("data: [DONE]\n\n"))
		for _, e := range got.events {
			b.Expect(string(e.Raw)).To(gomega.HavePrefix("data: "))
		}
		b.Expect(b.released.Load()).To(gomega.Equal(int64(1)))
	})
}

// TestFaultyResponseIsDeliveredComplete covers each fault of a response that the
// router can repair by resuming the same response on another connection.
func TestFaultyResponseIsDeliveredComplete(t *testing.T) {
	kinds := map[string]engine.FaultKind{
		"broken":     engine.FaultBreak,
		"stopped":    engine.FaultTruncate,
		"hanging":    engine.FaultHang,
		"duplicate":  engine.FaultDuplicate,
		"skipped":    engine.FaultSkip,
		"swapped":    engine.FaultSwap,
		"other's":    engine.FaultWrongAttempt,
		"early done": engine.FaultEarlyDone,
		"longer":     engine.FaultLongBody,
		"shorter":    engine.FaultShortBody,
	}
	for name, kind := range kinds {
		for event := range 7 {
			for _, stream := range []bool{true, false} {
				t.Run(name, func(t *testing.T) {
					inBubble(t, engine.Config{}, func(b *testBench) {
						b.engine.Inject(engine.Fault{Kind: kind, Event: event})
						call := b.call("a", stream, 4)
						outcome, got := b.run(context.Background(), call)
						b.Expect(outcome.Err).NotTo(gomega.HaveOccurred())
						b.Expect(got.text()).To(gomega.Equal(expectedOutput(call)))
						b.Expect(got.ended()).To(gomega.BeTrue())
						record, _ := b.engine.Record("a")
						b.Expect(record.Starts).To(gomega.Equal(1))
						b.Expect(record.OutputTokens).To(gomega.Equal(4))
						b.Expect(b.released.Load()).To(gomega.Equal(int64(1)))
					})
				})
			}
		}
	}
}

func TestSilentConnectionIsReplacedWithinProgressTimeout(t *testing.T) {
	for _, stream := range []bool{true, false} {
		inBubble(t, engine.Config{}, func(b *testBench) {
			call := b.call("a", stream, 100)
			start := time.Now()
			time.AfterFunc(500*time.Millisecond, b.engine.BlackholeConnections)
			outcome, got := b.run(context.Background(), call)
			b.Expect(outcome.Err).NotTo(gomega.HaveOccurred())
			b.Expect(got.text()).To(gomega.Equal(expectedOutput(call)))
			b.Expect(outcome.Resumes).To(gomega.Equal(1))
			// The response takes one second. Silence may delay it by one progress
			// timeout and, where the engine is queried, by one status call.
			b.Expect(time.Since(start)).To(gomega.BeNumerically("<", 2*time.Second))
		})
	}
}

func TestSlowEngineIsAwaitedWhileItMakesProgress(t *testing.T) {
	for _, stream := range []bool{true, false} {
		inBubble(t, engine.Config{}, func(b *testBench) {
			b.engine.SetLatencyFactor(50)
			call := b.call("a", stream, 20)
			outcome, got := b.run(context.Background(), call)
			b.Expect(outcome.Err).NotTo(gomega.HaveOccurred())
			b.Expect(got.text()).To(gomega.Equal(expectedOutput(call)))
		})
	}
}

func TestCrashAfterFirstEventIsNotReportedAsErrorStatus(t *testing.T) {
	inBubble(t, engine.Config{}, func(b *testBench) {
		time.AfterFunc(40*time.Millisecond, b.engine.Crash)
		outcome, got := b.run(context.Background(), b.call("a", true, 1000))
		b.Expect(got.events).NotTo(gomega.BeEmpty())
		b.Expect(outcome.ResponseStarted).To(gomega.BeTrue())
		b.Expect(outcome.Complete).To(gomega.BeFalse())
		b.Expect(outcome.Reason).NotTo(gomega.BeElementOf(attempt.Failed, attempt.Refused))
	})
}

func TestStalledAttemptIsCanceled(t *testing.T) {
	for _, stream := range []bool{true, false} {
		inBubble(t, engine.Config{}, func(b *testBench) {
			b.engine.SetLatencyFactor(1e6)
			outcome, got := b.run(context.Background(), b.call("a", stream, 20))
			b.Expect(outcome.Reason).To(gomega.Equal(attempt.Stalled))
			b.Expect(outcome.Run).To(gomega.Equal(attempt.RunYes))
			b.Expect(outcome.ResponseStarted).To(gomega.BeFalse())
			b.Expect(got.events).To(gomega.BeEmpty())
			b.runner.Close(context.Background())
			synctest.Wait()
			record, _ := b.engine.Record("a")
			b.Expect(record.State).To(gomega.Equal(engine.StateCancelled))
			b.Expect(b.released.Load()).To(gomega.Equal(int64(1)))
		})
	}
}

func TestQueuedAttemptIsNotStalled(t *testing.T) {
	for _, stream := range []bool{true, false} {
		inBubble(t, engine.Config{Slots: 1}, func(b *testBench) {
			go b.run(context.Background(), b.call("long", true, 6000))
			synctest.Wait()
			call := b.call("a", stream, 4)
			outcome, got := b.run(context.Background(), call)
			b.Expect(outcome.Err).NotTo(gomega.HaveOccurred())
			b.Expect(got.text()).To(gomega.Equal(expectedOutput(call)))
		})
	}
}

func TestCallerDisconnectCancelsAttempt(t *testing.T) {
	for _, stream := range []bool{true, false} {
		inBubble(t, engine.Config{}, func(b *testBench) {
			ctx, cancel := context.WithTimeout(context.Background(), 300*time.Millisecond)
			defer cancel()
			outcome, got := b.run(ctx, b.call("a", stream, 1000))
			b.Expect(outcome.Reason).To(gomega.Equal(attempt.Canceled))
			b.Expect(got.ended()).To(gomega.BeFalse())
			b.runner.Close(context.Background())
			synctest.Wait()
			b.Expect(b.released.Load()).To(gomega.Equal(int64(1)))
			record, _ := b.engine.Record("a")
			b.Expect(record.State).To(gomega.Equal(engine.StateCancelled))
			b.Expect(record.OutputTokens).To(gomega.BeNumerically("<", 50))
		})
	}
}

func TestSinkErrorCancelsAttempt(t *testing.T) {
	inBubble(t, engine.Config{}, func(b *testBench) {
		outcome := b.runner.CallEngine(context.Background(), b.link, b.call("a", true, 100), &recordingSink{failAfter: 3})
		b.Expect(outcome.Reason).To(gomega.Equal(attempt.Canceled))
		b.Expect(outcome.Run).To(gomega.Equal(attempt.RunYes))
		b.runner.Close(context.Background())
		synctest.Wait()
		record, _ := b.engine.Record("a")
		b.Expect(record.State).To(gomega.Equal(engine.StateCancelled))
	})
}

func TestUnreachableEngineIsReportedNotRun(t *testing.T) {
	inBubble(t, engine.Config{}, func(b *testBench) {
		_ = b.pipe.Close()
		outcome, _ := b.run(context.Background(), b.call("a", true, 4))
		b.Expect(outcome.Run).To(gomega.Equal(attempt.RunNo))
		b.Expect(outcome.Reason).To(gomega.Equal(attempt.Unreachable))
		b.Expect(b.released.Load()).To(gomega.Equal(int64(1)))
	})
}

func TestRefusalIsReportedNotRun(t *testing.T) {
	inBubble(t, engine.Config{Models: []string{"other"}}, func(b *testBench) {
		outcome, got := b.run(context.Background(), b.call("a", true, 4))
		b.Expect(outcome.Run).To(gomega.Equal(attempt.RunNo))
		b.Expect(outcome.Reason).To(gomega.Equal(attempt.Refused))
		b.Expect(outcome.Status).To(gomega.Equal(http.StatusNotFound))
		b.Expect(string(outcome.ErrorBody)).To(gomega.ContainSubstring("model_not_found"))
		b.Expect(got.events).To(gomega.BeEmpty())
	})
}

// TestAbsentAfterRestartIsReportedUnknown covers an engine that ran an attempt,
// crashed and restarted, and no longer knows the attempt.
func TestAbsentAfterRestartIsReportedUnknown(t *testing.T) {
	inBubble(t, engine.Config{}, func(b *testBench) {
		b.learnEpoch()
		b.engine.SetLatencyFactor(100)
		time.AfterFunc(300*time.Millisecond, func() {
			b.engine.Crash()
			b.engine.Restart()
		})
		outcome, _ := b.run(context.Background(), b.call("a", true, 4))
		b.Expect(outcome.Run).To(gomega.Equal(attempt.RunUnknown))
		b.Expect(outcome.Complete).To(gomega.BeFalse())
	})
}

func TestCrashMidStreamIsNotComplete(t *testing.T) {
	inBubble(t, engine.Config{}, func(b *testBench) {
		time.AfterFunc(300*time.Millisecond, b.engine.Crash)
		call := b.call("a", true, 100)
		outcome, got := b.run(context.Background(), call)
		b.Expect(outcome.Complete).To(gomega.BeFalse())
		b.Expect(outcome.Run).To(gomega.Equal(attempt.RunYes))
		b.Expect(outcome.ResponseStarted).To(gomega.BeTrue())
		b.Expect(got.ended()).To(gomega.BeFalse())
		b.Expect(expectedOutput(call)).To(gomega.HavePrefix(got.text()))
		b.runner.Close(context.Background())
		b.Expect(b.released.Load()).To(gomega.Equal(int64(1)))
	})
}

// TestRequestLostOnSilentConnectionIsReportedNotRun covers a pooled connection
// that went silent before the request was sent on it.
func TestRequestLostOnSilentConnectionIsReportedNotRun(t *testing.T) {
	for _, stream := range []bool{true, false} {
		inBubble(t, engine.Config{}, func(b *testBench) {
			b.learnEpoch()
			b.engine.BlackholeConnections()
			outcome, _ := b.run(context.Background(), b.call("a", stream, 4))
			b.Expect(outcome.Run).To(gomega.Equal(attempt.RunNo))
			b.Expect(outcome.Reason).To(gomega.Equal(attempt.Silent))
			record, _ := b.engine.Record("a")
			b.Expect(record.Starts).To(gomega.BeZero())
			again, _ := b.run(context.Background(), b.call("b", stream, 4))
			b.Expect(again.Complete).To(gomega.BeTrue())
		})
	}
}

// TestAttemptDroppedFromQueueIsNotReportedRun covers an attempt that the engine
// reported as queued and dropped before its stream could be resumed.
func TestAttemptDroppedFromQueueIsNotReportedRun(t *testing.T) {
	for _, orphan := range []time.Duration{time.Microsecond, 30 * time.Millisecond} {
		inBubble(t, engine.Config{Slots: 1, OrphanTimeout: orphan}, func(b *testBench) {
			go b.run(context.Background(), b.call("long", true, 100))
			synctest.Wait()
			b.engine.SendWrongAttempt()
			outcome, _ := b.run(context.Background(), b.call("a", true, 4))
			record, _ := b.engine.Record("a")
			b.Expect(record.Starts).To(gomega.BeZero())
			b.Expect(outcome.Run).To(gomega.Equal(attempt.RunUnknown))
			b.Expect(outcome.Reason).To(gomega.Or(gomega.Equal(attempt.Gone), gomega.Equal(attempt.Mismatched)))
		})
	}
}
