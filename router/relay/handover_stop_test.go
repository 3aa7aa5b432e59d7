package relay_test

import (
	"bytes"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"snipetally.example/router/internal/handover"
	"snipetally.example/router/relay"
)

// slowStream answers with a stream of a number of events with pauses.
func slowStream(events int, pause time.Duration) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set(signedHeader, "yes")
		w.Header().Set("Content-Type", "text/event-stream")
		for i := range events {
			_, _ = fmt.Fprintf(w, "id: %d\ndata: %d\n\n", i+1, i+1)
			_ = http.NewResponseController(w).Flush()
			time.Sleep(pause)
		}
	}
}

// Guards against a router that ends, as its own callers have left, while it runs requests that other
// routers handed over to it: their callers lose the rest of their answers.
func TestRouterThatStopsEndsTheRequestsThatItTookOver(t *testing.T) {
	const events = 20
	g := gomega.NewWithT(t)
	p := startPair(t, newClass("a", relay.Stream, 1), slowStream(events, gracePeriod*2/3/events))
	replies := make(chan reply, 1)
	go func() { replies <- p.cut.call(t, http.MethodGet, "/a/x", "") }()
	p.cut.waitUntil(t, func() bool {
		return p.sound.counter(t, "handovers.taken") > 0 && p.cut.counter(t, "handovers.sent") > 0
	})
	p.sound.terminate(t) // Both stop; the other one waits for its caller.
	got := <-replies
	g.Expect(got.err).NotTo(gomega.HaveOccurred())
	g.Expect(got.status).To(gomega.Equal(http.StatusOK))
	g.Expect(strings.Count(got.body, "\n\n")).To(gomega.Equal(events))
	<-p.sound.ended
	g.Expect(p.sound.logged("router stopped", 1)()).To(gomega.BeTrue())
}

// Guards against a router that takes over requests while it stops, so that they are cut off or refused
// instead of being offered to another router, also on connections that were open before.
func TestRouterThatStopsDeclinesRequestsOfOthers(t *testing.T) {
	g := gomega.NewWithT(t)
	p := startPair(t, newClass("a", relay.NonIdempotent, 1), respond("ok"))
	handOver := p.sender(t)
	g.Expect(handOver()).To(gomega.Equal(handover.Relayed))
	conn := p.cut.open(t)
	conn.send("/a/x")
	conn.expect(http.StatusOK, "ok", false)

	p.sound.terminate(t)
	g.Expect(handOver()).To(gomega.Equal(handover.Declined))
	time.Sleep(gracePeriod / 5) // Other routers hear that it takes none, and the listeners are still open.
	declined := p.cut.counter(t, "handovers.declined")
	conn.send("/a/x")
	conn.expect(http.StatusServiceUnavailable, "", true)
	g.Expect(p.cut.counter(t, "handovers.declined")).To(gomega.Equal(declined))
	g.Expect(p.sound.counter(t, "handovers.taken")).To(gomega.BeNumerically(">", 0))
	<-p.sound.ended
}

// sender returns a function that hands over a request as the router that is cut off, and returns
// how the other one answers.
func (p *pair) sender(t *testing.T) func() handover.Outcome {
	t.Helper()
	g := gomega.NewWithT(t)
	dialer := &net.Dialer{LocalAddr: net.TCPAddrFromAddrPort(netip.AddrPortFrom(p.cutHost, 0))}
	client := &http.Client{Transport: &http.Transport{DialContext: dialer.DialContext, DisableCompression: true}}
	t.Cleanup(client.CloseIdleConnections)
	return func() handover.Outcome {
		data, err := handover.Encode(handover.Request{
			Method: http.MethodPost, Target: "/a/x", Host: "h.example", Header: http.Header{attemptHeader: {"attempt-2"}, timeoutHeader: {"60000"}},
			Timeout: time.Minute, Service: "s",
		})
		g.Expect(err).NotTo(gomega.HaveOccurred())
		request, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+p.handoverAddress+handover.Path, bytes.NewReader(data))
		g.Expect(err).NotTo(gomega.HaveOccurred())
		response, err := client.Do(request)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(response.Body.Close()).To(gomega.Succeed())
		return handover.Outcome(response.Header.Get(handover.OutcomeHeader))
	}
}
