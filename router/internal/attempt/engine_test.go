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
	inBubble(t, engine.Config{}, func(h *harness) {
		call := h.call("a", true, 4)
		call.Body = []byte(strings.Replace(string(call.Body), `"stream":true`, `"stream":true,"stream_options":{"include_usage":true}`, 1))
		outcome, got := h.run(context.Background(), call)
		h.Expect(outcome.Err).NotTo(gomega.HaveOccurred())
		h.Expect(outcome.Complete).To(gomega.BeTrue())
		h.Expect(outcome.Tokens).To(gomega.Equal(4))
		h.Expect(outcome.Usage.Output).To(gomega.Equal(4))
		h.Expect(got.text()).To(gomega.Equal(expectedOutput(call)))
		h.Expect(string(got.events[6].Raw)).To(gomega.Equal("data: [DONE]\n\n"))
		for _, e := range got.events {
			h.Expect(string(e.Raw)).To(gomega.HavePrefix("data: "))
		}
		h.Expect(h.released.Load()).To(gomega.Equal(int64(1)))
	})
}

// TestFaultyResponseIsDeliveredComplete covers each fault of a response that the
// router can repair by resuming the same response on another connection.
func TestFaultyResponseIsDeliveredComplete(t *testing.T) {
	kinds := map[string]engine.FaultKind{
		"broken":     engine.FaultBreak,
		"truncated":  engine.FaultTruncate,
		"hanging":    engine.FaultHang,
		"duplicate":  engine.FaultDuplicate,
		"skipped":    engine.FaultSkip,
		"swapped":    engine.FaultSwap,
		"wrong id":   engine.FaultWrongAttempt,
		"early done": engine.FaultEarlyDone,
		"long body":  engine.FaultLongBody,
		"short body": engine.FaultShortBody,
	}
	for name, kind := range kinds {
		for event := range 7 {
			for _, stream := range []bool{true, false} {
				t.Run(name, func(t *testing.T) {
					inBubble(t, engine.Config{}, func(h *harness) {
						h.engine.Inject(engine.Fault{Kind: kind, Event: event})
						call := h.call("a", stream, 4)
						outcome, got := h.run(context.Background(), call)
						h.Expect(outcome.Err).NotTo(gomega.HaveOccurred())
						h.Expect(got.text()).To(gomega.Equal(expectedOutput(call)))
						h.Expect(got.ended()).To(gomega.BeTrue())
						record, _ := h.engine.Record("a")
						h.Expect(record.Starts).To(gomega.Equal(1))
						h.Expect(record.OutputTokens).To(gomega.Equal(4))
						h.Expect(h.released.Load()).To(gomega.Equal(int64(1)))
					})
				})
			}
		}
	}
}

func TestSilentConnectionIsReplacedWithinProgressTimeout(t *testing.T) {
	for _, stream := range []bool{true, false} {
		inBubble(t, engine.Config{}, func(h *harness) {
			call := h.call("a", stream, 100)
			start := time.Now()
			time.AfterFunc(500*time.Millisecond, h.engine.BlackholeConnections)
			outcome, got := h.run(context.Background(), call)
			h.Expect(outcome.Err).NotTo(gomega.HaveOccurred())
			h.Expect(got.text()).To(gomega.Equal(expectedOutput(call)))
			h.Expect(outcome.Resumes).To(gomega.Equal(1))
			// The response takes one second. Silence may delay it by one progress
			// timeout and, where the engine is queried, by one status call.
			h.Expect(time.Since(start)).To(gomega.BeNumerically("<", 2*time.Second))
		})
	}
}

func TestSlowEngineIsAwaitedWhileItMakesProgress(t *testing.T) {
	for _, stream := range []bool{true, false} {
		inBubble(t, engine.Config{}, func(h *harness) {
			h.engine.SetLatencyFactor(50)
			call := h.call("a", stream, 20)
			outcome, got := h.run(context.Background(), call)
			h.Expect(outcome.Err).NotTo(gomega.HaveOccurred())
			h.Expect(got.text()).To(gomega.Equal(expectedOutput(call)))
		})
	}
}

func TestCrashAfterFirstEventIsNotReportedAsErrorStatus(t *testing.T) {
	inBubble(t, engine.Config{}, func(h *harness) {
		time.AfterFunc(40*time.Millisecond, h.engine.Crash)
		outcome, got := h.run(context.Background(), h.call("a", true, 1000))
		h.Expect(got.events).NotTo(gomega.BeEmpty())
		h.Expect(outcome.ResponseStarted).To(gomega.BeTrue())
		h.Expect(outcome.Complete).To(gomega.BeFalse())
		h.Expect(outcome.Reason).NotTo(gomega.BeElementOf(attempt.Failed, attempt.Refused))
	})
}

func TestStalledAttemptIsCanceled(t *testing.T) {
	for _, stream := range []bool{true, false} {
		inBubble(t, engine.Config{}, func(h *harness) {
			h.engine.SetLatencyFactor(1e6)
			outcome, got := h.run(context.Background(), h.call("a", stream, 20))
			h.Expect(outcome.Reason).To(gomega.Equal(attempt.Stalled))
			h.Expect(outcome.Run).To(gomega.Equal(attempt.RunYes))
			h.Expect(outcome.ResponseStarted).To(gomega.BeFalse())
			h.Expect(got.events).To(gomega.BeEmpty())
			h.runner.Close(context.Background())
			synctest.Wait()
			record, _ := h.engine.Record("a")
			h.Expect(record.State).To(gomega.Equal(engine.StateCancelled))
			h.Expect(h.released.Load()).To(gomega.Equal(int64(1)))
		})
	}
}

func TestQueuedAttemptIsNotStalled(t *testing.T) {
	for _, stream := range []bool{true, false} {
		inBubble(t, engine.Config{Slots: 1}, func(h *harness) {
			go h.run(context.Background(), h.call("long", true, 6000))
			synctest.Wait()
			call := h.call("a", stream, 4)
			outcome, got := h.run(context.Background(), call)
			h.Expect(outcome.Err).NotTo(gomega.HaveOccurred())
			h.Expect(got.text()).To(gomega.Equal(expectedOutput(call)))
		})
	}
}

func TestCallerDisconnectCancelsAttempt(t *testing.T) {
	for _, stream := range []bool{true, false} {
		inBubble(t, engine.Config{}, func(h *harness) {
			ctx, cancel := context.WithTimeout(context.Background(), 300*time.Millisecond)
			defer cancel()
			outcome, got := h.run(ctx, h.call("a", stream, 1000))
			h.Expect(outcome.Reason).To(gomega.Equal(attempt.Canceled))
			h.Expect(got.ended()).To(gomega.BeFalse())
			h.runner.Close(context.Background())
			synctest.Wait()
			h.Expect(h.released.Load()).To(gomega.Equal(int64(1)))
			record, _ := h.engine.Record("a")
			h.Expect(record.State).To(gomega.Equal(engine.StateCancelled))
			h.Expect(record.OutputTokens).To(gomega.BeNumerically("<", 50))
		})
	}
}

func TestSinkErrorCancelsAttempt(t *testing.T) {
	inBubble(t, engine.Config{}, func(h *harness) {
		outcome := h.runner.CallEngine(context.Background(), h.link, h.call("a", true, 100), &recordingSink{failAfter: 3})
		h.Expect(outcome.Reason).To(gomega.Equal(attempt.Canceled))
		h.Expect(outcome.Run).To(gomega.Equal(attempt.RunYes))
		h.runner.Close(context.Background())
		synctest.Wait()
		record, _ := h.engine.Record("a")
		h.Expect(record.State).To(gomega.Equal(engine.StateCancelled))
	})
}

func TestUnreachableEngineIsReportedNotRun(t *testing.T) {
	inBubble(t, engine.Config{}, func(h *harness) {
		_ = h.pipe.Close()
		outcome, _ := h.run(context.Background(), h.call("a", true, 4))
		h.Expect(outcome.Run).To(gomega.Equal(attempt.RunNo))
		h.Expect(outcome.Reason).To(gomega.Equal(attempt.Unreachable))
		h.Expect(h.released.Load()).To(gomega.Equal(int64(1)))
	})
}

func TestRefusalIsReportedNotRun(t *testing.T) {
	inBubble(t, engine.Config{Models: []string{"other"}}, func(h *harness) {
		outcome, got := h.run(context.Background(), h.call("a", true, 4))
		h.Expect(outcome.Run).To(gomega.Equal(attempt.RunNo))
		h.Expect(outcome.Reason).To(gomega.Equal(attempt.Refused))
		h.Expect(outcome.Status).To(gomega.Equal(http.StatusNotFound))
		h.Expect(string(outcome.ErrorBody)).To(gomega.ContainSubstring("model_not_found"))
		h.Expect(got.events).To(gomega.BeEmpty())
	})
}

// TestAbsentAfterRestartIsReportedUnknown covers an engine that ran an attempt,
// crashed and restarted, and no longer knows the attempt.
func TestAbsentAfterRestartIsReportedUnknown(t *testing.T) {
	inBubble(t, engine.Config{}, func(h *harness) {
		h.learnEpoch()
		h.engine.SetLatencyFactor(100)
		time.AfterFunc(300*time.Millisecond, func() {
			h.engine.Crash()
			h.engine.Restart()
		})
		outcome, _ := h.run(context.Background(), h.call("a", true, 4))
		h.Expect(outcome.Run).To(gomega.Equal(attempt.RunUnknown))
		h.Expect(outcome.Complete).To(gomega.BeFalse())
	})
}

func TestCrashMidStreamIsNotComplete(t *testing.T) {
	inBubble(t, engine.Config{}, func(h *harness) {
		time.AfterFunc(300*time.Millisecond, h.engine.Crash)
		call := h.call("a", true, 100)
		outcome, got := h.run(context.Background(), call)
		h.Expect(outcome.Complete).To(gomega.BeFalse())
		h.Expect(outcome.Run).To(gomega.Equal(attempt.RunYes))
		h.Expect(outcome.ResponseStarted).To(gomega.BeTrue())
		h.Expect(got.ended()).To(gomega.BeFalse())
		h.Expect(expectedOutput(call)).To(gomega.HavePrefix(got.text()))
		h.runner.Close(context.Background())
		h.Expect(h.released.Load()).To(gomega.Equal(int64(1)))
	})
}

// TestRequestLostOnSilentConnectionIsReportedNotRun covers a pooled connection
// that went silent before the request was sent on it.
func TestRequestLostOnSilentConnectionIsReportedNotRun(t *testing.T) {
	for _, stream := range []bool{true, false} {
		inBubble(t, engine.Config{}, func(h *harness) {
			h.learnEpoch()
			h.engine.BlackholeConnections()
			outcome, _ := h.run(context.Background(), h.call("a", stream, 4))
			h.Expect(outcome.Run).To(gomega.Equal(attempt.RunNo))
			h.Expect(outcome.Reason).To(gomega.Equal(attempt.Silent))
			record, _ := h.engine.Record("a")
			h.Expect(record.Starts).To(gomega.BeZero())
			again, _ := h.run(context.Background(), h.call("b", stream, 4))
			h.Expect(again.Complete).To(gomega.BeTrue())
		})
	}
}

// TestAttemptDroppedFromQueueIsNotReportedRun covers an attempt that the engine
// reported as queued and dropped before its stream could be resumed.
func TestAttemptDroppedFromQueueIsNotReportedRun(t *testing.T) {
	for _, orphan := range []time.Duration{time.Microsecond, 30 * time.Millisecond} {
		inBubble(t, engine.Config{Slots: 1, OrphanTimeout: orphan}, func(h *harness) {
			go h.run(context.Background(), h.call("long", true, 100))
			synctest.Wait()
			h.engine.SendWrongAttempt()
			outcome, _ := h.run(context.Background(), h.call("a", true, 4))
			record, _ := h.engine.Record("a")
			h.Expect(record.Starts).To(gomega.BeZero())
			h.Expect(outcome.Run).To(gomega.Equal(attempt.RunUnknown))
			h.Expect(outcome.Reason).To(gomega.Or(gomega.Equal(attempt.Gone), gomega.Equal(attempt.Mismatched)))
		})
	}
}
