package fault_test

import (
	"context"
	"fmt"
	"sync"
	"testing"

	"github.com/onsi/gomega"

	"snipetally.example/try/internal/fault"
	"snipetally.example/try/internal/site"
)

func TestRollingReplacementOfEveryRouterLosesNoRequest(t *testing.T) {
	h := newHarness(t)
	stop := h.startLoad(2, "grant", "desk", "chat", "ticket", "booking", "lookup", "lease", "crop")
	for old := range 3 {
		_, err := h.site.StartRouter(t.Context())
		h.Expect(err).NotTo(gomega.HaveOccurred())
		replacement := h.target(len(h.site.Routers) - 1)
		h.balancer.Add(replacement)
		h.Eventually(func() bool { return h.balancer.Ready(replacement) }).Should(gomega.BeTrue())
		h.Expect(h.site.StopRouter(old)).To(gomega.Succeed())
		h.waitCompleted("chat", 5)
	}
	stop()
	h.audit()
	h.Expect(fault.Incomplete(h.caller.Histories())).To(gomega.BeEmpty())
}

func TestGracefulStopCompletesLongStreams(t *testing.T) {
	h := newHarness(t)
	h.caller.Pick = fixedRouter(h.target(0))
	var group sync.WaitGroup
	const streamCount = 12
	for n := range streamCount {
		group.Go(func() { h.caller.Send(context.Background(), streamsOf("lease")[0], fmt.Sprintf("long-%d", n)) })
	}
	h.Eventually(func() int { return h.countGenerating() }).Should(gomega.Equal(streamCount))
	h.Expect(h.site.StopRouter(0)).To(gomega.Succeed())
	group.Wait()
	h.audit()
	h.Expect(h.countCompleted("lease")).To(gomega.Equal(streamCount))
}

// countGenerating counts the requests for which the engines have generated tokens.
func (h *harness) countGenerating() int {
	n := 0
	for _, engine := range h.site.Engines {
		for _, record := range engine.Records() {
			if record.OutputTokens > 0 {
				n++
			}
		}
	}
	return n
}

// fixedRouter returns a picker that always picks one router, ready or not.
func fixedRouter(target fault.Target) fault.Picker {
	return func(context.Context) (string, error) { return target.CallerAddress, nil }
}

// Killed routers leave unfinished records of grants and bookings in the table. The
// remaining routers must settle them without running a call again.
func TestRemainingRoutersSettleRecordsOfKilledRouters(t *testing.T) {
	h := newHarness(t)
	h.caller.Retry = true
	stop := h.startLoad(8, "grant", "booking", "chat")
	h.waitCompleted("grant", 150)
	h.Expect(h.site.KillRouter(0)).To(gomega.Succeed())
	h.waitCompleted("grant", 150)
	h.Expect(h.site.KillRouter(1)).To(gomega.Succeed())
	h.waitCompleted("grant", 150)
	stop()
	h.audit()

	// Sending each key again through the remaining router must run nothing.
	before := len(h.site.Services[0].Runs()) + len(h.site.Services[1].Runs())
	resender := fault.NewCaller(site.TeamKey, fixedRouter(h.target(2)))
	for _, history := range h.caller.Histories() {
		if !fault.AtMostOnce(history.Stream.Class) {
			continue
		}
		runs := h.countRuns(history.Stream.Service, history.RequestID)
		repeated := resender.Send(context.Background(), history.Stream, history.RequestID)
		if repeated.Completed() && history.Completed() {
			h.Expect(repeated.Last().Response).To(gomega.Equal(history.Last().Response))
		}
		if runs == 1 {
			h.Expect(repeated.Last().RunState).NotTo(gomega.Equal("no"), "%s: %s, then %s", history.RequestID, history.Summary(), repeated.Summary())
		}
	}
	h.Expect(len(h.site.Services[0].Runs()) + len(h.site.Services[1].Runs())).To(gomega.Equal(before))
}

// A response that is too large for its record is kept in the object store. Another
// router must replay it from there.
func TestLargeResponseIsReplayedAfterItsRouterStops(t *testing.T) {
	h := newHarness(t)
	grant := streamsOf("grant")[0]
	grant.PromptBytes = 8 << 10
	first := fault.NewCaller(site.TeamKey, fixedRouter(h.target(0))).Send(t.Context(), grant, "large")
	h.Expect(first.Completed()).To(gomega.BeTrue(), first.Summary())
	h.Expect(h.site.StopRouter(0)).To(gomega.Succeed())
	h.Expect(h.site.ObjectStore.Count()).To(gomega.Equal(1))
	second := fault.NewCaller(site.TeamKey, fixedRouter(h.target(1))).Send(t.Context(), grant, "large")
	h.Expect(second.Completed()).To(gomega.BeTrue(), second.Summary())
	h.Expect(second.Last().Response).To(gomega.Equal(first.Last().Response))
	h.Expect(h.countRuns(grant.Service, "large")).To(gomega.Equal(1))
}
