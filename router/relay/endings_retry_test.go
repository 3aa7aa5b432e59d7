package relay_test

import (
	"fmt"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"snipetally.example/coordination/feed"
	"snipetally.example/router/relay"
)

// resumable returns a class of streams that can be resumed.
func resumable(attempts int) relay.Class {
	class := newClass("a", relay.Stream, attempts)
	class.Resumable = true
	return class
}

// rejectRequest answers that the request was not run.
func rejectRequest(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set(notExecutedHeader, "yes")
	w.WriteHeader(http.StatusServiceUnavailable)
}

// inTurn serves the requests of all servers together: each handler serves one
// request, and the last one all others.
func inTurn(handlers ...http.HandlerFunc) http.HandlerFunc {
	var served atomic.Int32
	return func(w http.ResponseWriter, req *http.Request) {
		handlers[min(int(served.Add(1)), len(handlers))-1](w, req)
	}
}

// Guards against streams that are cut because every server was tried once: the
// only one is sound again when the stream has to be resumed.
func TestStreamResumesAtItsOwnServer(t *testing.T) {
	g := gomega.NewWithT(t)
	r, _ := startNode(t, newPlan(resumable(2)), inTurn(streamEvents(1, 2, false), streamEvents(1, 4, true)))
	got := r.call(t, http.MethodPost, "/a/x", "")
	g.Expect(got.err).NotTo(gomega.HaveOccurred())
	g.Expect(got.body).To(gomega.HaveSuffix("id: 4\ndata: 4\n\n"))
}

// Guards against streams that are cut because three servers were full: a fourth
// one would resume the stream.
func TestRejectionsDoNotCutABegunStream(t *testing.T) {
	g := gomega.NewWithT(t)
	handler := inTurn(streamEvents(1, 2, false), rejectRequest, rejectRequest, rejectRequest, streamEvents(1, 4, true))
	r, _ := startNode(t, newPlan(resumable(2)), handler, handler, handler, handler, handler)
	got := r.call(t, http.MethodPost, "/a/x", "")
	g.Expect(got.err).NotTo(gomega.HaveOccurred())
	g.Expect(got.body).To(gomega.HaveSuffix("id: 4\ndata: 4\n\n"))
}

// Guards against attempts that are given up as silent while their response
// arrives.
func TestResponseInProgressIsNotGivenUp(t *testing.T) {
	g := gomega.NewWithT(t)
	const (
		pieces = 30

		// pieceInterval is far below the time after which a server counts as
		// silent; the whole response takes far longer.
		pieceInterval = 50 * time.Millisecond
	)
	slow := func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set(signedHeader, "yes")
		for range pieces {
			_, _ = fmt.Fprint(w, "x")
			_ = http.NewResponseController(w).Flush()
			time.Sleep(pieceInterval)
		}
	}
	class := newClass("a", relay.Idempotent, 2)
	class.TargetLatency = 200 * time.Millisecond
	r, backends := startNode(t, newPlan(class), slow, slow)
	got := r.call(t, http.MethodGet, "/a/x", "")
	g.Expect(got.body).To(gomega.HaveLen(pieces))
	g.Expect(totalArrived(backends)).To(gomega.Equal(1))
}

// startTightNode starts a node whose budget allows one retry, with servers of
// its own availability zone, which are preferred, and one of another zone.
func startTightNode(t *testing.T, class relay.Class, near []string, far http.HandlerFunc) *testNode {
	t.Helper()
	r, backends := startConfiguredNode(t, func(c *relay.Config) { c.Bounds.RetryRatio = 0 }, newPlan(class), far)
	rows := []feed.Change[relay.Server]{{Key: backends[0].id, Value: relay.Server{
		ID: backends[0].id, Service: "s", Address: backends[0].server.Listener.Addr().String(), Slots: 4, Zone: "other",
	}}}
	for i, address := range near {
		id := fmt.Sprint("near-", i)
		rows = append(rows, feed.Change[relay.Server]{Key: id, Value: relay.Server{
			ID: id, Service: "s", Address: address, Slots: 4, Zone: "zone",
		}})
	}
	r.servers.set(rows...)
	r.waitUntil(t, func() bool { return len(r.stateDump(t)["Servers"].([]any)) == len(rows) })
	return r
}

// Guards against requests that are refused because attempts that sent nothing
// used up the retry budget. The budget limits what arrives at servers.
func TestUnsentAttemptTakesNoRetry(t *testing.T) {
	g := gomega.NewWithT(t)
	r := startTightNode(t, newClass("a", relay.NonIdempotent, 1), freeAddresses(t, loopbackHost(), 2), respond("ok"))
	g.Expect(r.call(t, http.MethodPost, "/a/x", "").body).To(gomega.Equal("ok"))
}

// Guards against retries that are lost to other requests because they were
// counted although there was no server for them.
func TestRetryWithoutServerIsNotCounted(t *testing.T) {
	g := gomega.NewWithT(t)
	handler := inTurn(closeConnection, closeConnection, respond("ok"))
	r, backends := startConfiguredNode(t, func(c *relay.Config) { c.Bounds.RetryRatio = 0 },
		newPlan(newClass("a", relay.Idempotent, 2)), handler)
	g.Expect(r.call(t, http.MethodGet, "/a/x", "").status).To(gomega.Equal(http.StatusBadGateway))
	var rows []feed.Change[relay.Server]
	for i := range 2 {
		id := fmt.Sprint("server-", i)
		rows = append(rows, feed.Change[relay.Server]{Key: id, Value: relay.Server{
			ID: id, Service: "s", Address: backends[0].server.Listener.Addr().String(), Slots: 4,
		}})
	}
	r.servers.set(rows...)
	r.waitUntil(t, func() bool { return len(r.stateDump(t)["Servers"].([]any)) == len(rows) })
	g.Expect(r.call(t, http.MethodGet, "/a/x", "").body).To(gomega.Equal("ok"))
}
