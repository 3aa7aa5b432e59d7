package relay_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"snipetally.example/coordination/feed"
	"snipetally.example/router/relay"
)

// pair is two routers before one server, of which the first one may be cut off.
type pair struct {
	cut, sound *testNode
	server     *backend

	// handoverAddress is where the sound router takes requests, and cutHost where the other one
	// hands them over from.
	handoverAddress string
	cutHost         netip.Addr
}

// startPair starts two routers that know each other, and a server. The second one reaches it; the
// first one knows it at an address where nothing answers, so that it is cut off once it has tried.
func startPair(t *testing.T, class relay.Class, handler http.HandlerFunc) *pair {
	t.Helper()
	plan := newPlan(class, newClass("keepalive", relay.Idempotent, 1))
	hosts := []string{loopbackHost(), loopbackHost()}
	peerPort, handoverPort := commonPorts(t, hosts)
	configure := func(i int) func(*relay.Config) {
		return func(c *relay.Config) {
			c.PeerAddress = netip.MustParseAddrPort(hosts[i] + ":" + peerPort)
			c.PeerSeeds = []netip.AddrPort{netip.MustParseAddrPort(hosts[1-i] + ":" + peerPort)}
			c.HandoverAddress = netip.MustParseAddrPort(hosts[i] + ":" + handoverPort)
		}
	}
	p := &pair{handoverAddress: hosts[1] + ":" + handoverPort, cutHost: netip.MustParseAddr(hosts[0])}
	var backends []*backend
	p.sound, backends = startConfiguredNode(t, configure(1), plan, func(w http.ResponseWriter, req *http.Request) {
		if strings.HasPrefix(req.URL.Path, "/keepalive/") {
			respond("ok")(w, req)
			return
		}
		handler(w, req)
	})
	p.server = backends[0]
	p.cut, _ = startConfiguredNode(t, configure(0), plan, respond("unused"))
	done := make(chan struct{})
	t.Cleanup(func() { close(done) })
	go func() { // Other routers hear the server all the time.
		for {
			select {
			case <-done:
				return
			case <-time.After(20 * time.Millisecond):
				p.sound.call(t, http.MethodGet, "/keepalive/x", "")
			}
		}
	}()
	p.cut.replaceServer(t, hosts[0])
	p.cut.waitUntil(t, func() bool {
		p.cut.call(t, http.MethodGet, "/keepalive/x", "")
		return p.cut.stateDump(t)["Reach"] == "cut off"
	})
	return p
}

// replaceServer replaces the node's first server by one at an address of a host where nothing
// listens.
func (r *testNode) replaceServer(t *testing.T, host string) {
	t.Helper()
	r.servers.set(
		feed.Change[relay.Server]{Key: "server-0", Removed: true},
		feed.Change[relay.Server]{Key: "dead", Value: relay.Server{ID: "dead", Service: "s", Address: freeAddresses(t, host, 1)[0], Slots: 4}},
	)
}

// commonPorts returns two ports that are free at both hosts.
func commonPorts(t *testing.T, hosts []string) (first, second string) {
	t.Helper()
	var ports []string
	for _, address := range freeAddresses(t, hosts[0], 2) {
		_, port, err := net.SplitHostPort(address)
		if err != nil {
			t.Fatal(err)
		}
		ports = append(ports, port)
	}
	return ports[0], ports[1]
}

// counter returns the value of a counter in a node's metrics.
func (r *testNode) counter(t *testing.T, name string) int {
	t.Helper()
	_, rest, ok := strings.Cut(r.metrics(t), "counter "+name+"\n")
	if !ok {
		t.Fatalf("no counter %s", name)
	}
	var n int
	if _, err := fmt.Sscanf(strings.TrimSpace(rest), "count: %d", &n); err != nil {
		t.Fatal(err)
	}
	return n
}

// Guards against callers that are not served at a router that is cut off, against responses that
// are changed on the way through two routers, and against a request that is counted twice.
func TestRequestOfARouterThatIsCutOffIsServedByAnother(t *testing.T) {
	g := gomega.NewWithT(t)
	p := startPair(t, newClass("a", relay.NonIdempotent, 1), func(w http.ResponseWriter, req *http.Request) {
		body, _ := io.ReadAll(req.Body)
		w.Header().Set(signedHeader, "yes")
		w.Header().Set("X-Of-Server", req.Method+" "+req.URL.RequestURI()+" "+req.Host+" "+req.Header.Get("X-Of-Caller"))
		w.Header().Set("Handover-Outcome", "refused") // Only routers may set it.
		_, _ = w.Write(body)
	})
	before, taken := p.sound.counter(t, "handovers.taken"), p.cut.counter(t, "requests.taken")
	reply := p.cut.callWith(t, http.MethodPost, "/a/x?y=%20z", "", strings.NewReader("body"), http.Header{"X-Of-Caller": {"c"}})
	g.Expect(reply.err).NotTo(gomega.HaveOccurred())
	g.Expect(reply.status).To(gomega.Equal(http.StatusOK))
	g.Expect(reply.body).To(gomega.Equal("body"))
	g.Expect(reply.header.Get(signedHeader)).To(gomega.Equal("yes"))
	g.Expect(reply.header.Get("X-Of-Server")).To(gomega.Equal("POST /a/x?y=%20z h.example c"))
	g.Expect(reply.header).NotTo(gomega.HaveKey("Handover-Outcome"))
	g.Expect(p.sound.counter(t, "handovers.taken")).To(gomega.Equal(before + 1))
	g.Expect(p.cut.counter(t, "requests.taken")).To(gomega.Equal(taken + 1))
	// The request is counted after its response was written, and the counter of a class comes with its
	// first request.
	g.Eventually(func() string { return p.cut.metrics(t) }, noticeTime).Should(gomega.ContainSubstring("counter class.a.served\n"))
	served := func() int { return p.cut.counter(t, "class.a.served") }
	g.Eventually(served, noticeTime).Should(gomega.Equal(1))
	g.Consistently(served, 50*time.Millisecond).Should(gomega.Equal(1))
	g.Expect(p.sound.metrics(t)).NotTo(gomega.ContainSubstring("class.a.served"))
}

// Guards against streams that are joined wrongly, or lose their end, on the way through two
// routers.
func TestStreamOfARouterThatIsCutOffIsServedByAnother(t *testing.T) {
	g := gomega.NewWithT(t)
	p := startPair(t, newClass("a", relay.Stream, 1), streamEvents(1, 20, true))
	reply := p.cut.call(t, http.MethodGet, "/a/x", "")
	g.Expect(reply.err).NotTo(gomega.HaveOccurred())
	g.Expect(strings.Count(reply.body, "\n\n")).To(gomega.Equal(20))
	g.Expect(strings.HasSuffix(reply.body, "id: 20\ndata: 20\n\n")).To(gomega.BeTrue())
}

// Guards against a stream that breaks off at the server and looks complete to the caller of the
// router that is cut off.
func TestBrokenStreamOfAnotherRouterIsBrokenForTheCaller(t *testing.T) {
	g := gomega.NewWithT(t)
	p := startPair(t, newClass("a", relay.Stream, 1), streamEvents(1, 3, false))
	reply := p.cut.call(t, http.MethodGet, "/a/x", "")
	g.Expect(reply.err).To(gomega.HaveOccurred())
	g.Expect(reply.body).To(gomega.Equal("id: 1\ndata: 1\n\nid: 2\ndata: 2\n\nid: 3\ndata: 3\n\n"))
}

// Guards against errors of servers that are replaced on the way through two routers.
func TestErrorOfAServerGoesThroughTwoRouters(t *testing.T) {
	g := gomega.NewWithT(t)
	p := startPair(t, newClass("a", relay.NonIdempotent, 1), func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set(signedHeader, "yes")
		w.WriteHeader(http.StatusInternalServerError)
		_, _ = io.WriteString(w, "of the server")
	})
	reply := p.cut.call(t, http.MethodGet, "/a/x", "")
	g.Expect(reply.status).To(gomega.Equal(http.StatusInternalServerError))
	g.Expect(reply.body).To(gomega.Equal("of the server"))
	g.Expect(reply.header.Get(signedHeader)).To(gomega.Equal("yes"))
}

// Guards against a request that runs twice, or is refused although it ran, as its hand-over
// breaks.
func TestRequestWhoseHandoverBreaksRunsOnce(t *testing.T) {
	g := gomega.NewWithT(t)
	p := startPair(t, newClass("a", relay.NonIdempotent, 1), closeConnection)
	reply := p.cut.call(t, http.MethodGet, "/a/x", "")
	g.Expect(reply.status).To(gomega.Equal(http.StatusBadGateway))
	g.Expect(p.cut.counter(t, "handovers.sent")).To(gomega.BeNumerically(">", 0))
	g.Eventually(p.sound.logged("request ended", 1), noticeTime).Should(gomega.BeTrue())
}

// Guards against a request that no server runs and that is not refused truly, with the time
// after which it may come again.
func TestRefusalOfAnotherRouterIsPassedOn(t *testing.T) {
	g := gomega.NewWithT(t)
	p := startPair(t, newClass("a", relay.NonIdempotent, 1), func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set(notExecutedHeader, "full")
		w.WriteHeader(http.StatusServiceUnavailable)
	})
	reply := p.cut.call(t, http.MethodGet, "/a/x", "")
	g.Expect(reply.status).To(gomega.Equal(http.StatusServiceUnavailable))
	g.Expect(reply.header.Get("Retry-After")).NotTo(gomega.BeEmpty())
	g.Expect(reply.header).NotTo(gomega.HaveKey("Handover-Outcome"))
}

// Guards against work that goes on for a caller that has left the router that is cut off.
func TestCallerThatLeavesEndsTheWorkOfTheOtherRouter(t *testing.T) {
	g := gomega.NewWithT(t)
	begun, canceled := make(chan struct{}), make(chan struct{})
	p := startPair(t, newClass("a", relay.NonIdempotent, 1), func(_ http.ResponseWriter, req *http.Request) {
		_, _ = io.Copy(io.Discard, req.Body)
		close(begun)
		<-req.Context().Done()
		close(canceled)
	})
	conn := p.cut.open(t)
	conn.send("/a/x")
	<-begun
	g.Expect(conn.Close()).To(gomega.Succeed())
	g.Eventually(canceled, cancelTimeout).Should(gomega.BeClosed())
}

// Guards against callers that claim to be routers: nobody but routers may hand over requests,
// and what a caller writes into a request has no effect.
func TestOnlyRoutersHandOverRequests(t *testing.T) {
	g := gomega.NewWithT(t)
	ran := &atomic.Int32{}
	p := startPair(t, newClass("a", relay.NonIdempotent, 1), func(w http.ResponseWriter, req *http.Request) {
		ran.Add(1)
		respond("a")(w, req)
	})
	request, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+p.handoverAddress+"/handover", strings.NewReader("x"))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	response, err := http.DefaultClient.Do(request)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(response.Body.Close()).To(gomega.Succeed())
	g.Expect(response.StatusCode).To(gomega.Equal(http.StatusForbidden))
	g.Expect(response.Header.Get("Handover-Outcome")).To(gomega.Equal("declined")) // A router that isn't heard yet asks another one.
	reply := p.sound.callWith(t, http.MethodPost, "/handover", "", strings.NewReader("x"), http.Header{"Handover-Outcome": {"declined"}})
	g.Expect(reply.status).To(gomega.Equal(http.StatusNotFound))
	g.Expect(ran.Load()).To(gomega.BeZero())
}

// Guards against requests that go back and forth between routers that are all cut off.
func TestRequestsAreRefusedWhenTheOtherRouterIsCutOffToo(t *testing.T) {
	g := gomega.NewWithT(t)
	p := startPair(t, newClass("a", relay.NonIdempotent, 1), respond("a"))
	p.sound.replaceServer(t, loopbackHost())
	p.sound.waitUntil(t, p.sound.logged("backend server removed", 1))
	start := time.Now()
	for range 20 {
		reply := p.cut.call(t, http.MethodGet, "/a/x", "")
		g.Expect(reply.status).To(gomega.Equal(http.StatusServiceUnavailable))
	}
	g.Expect(p.server.arrived.Load()).To(gomega.BeNumerically(">", 0)) // Requests that keep it heard, before.
	g.Expect(time.Since(start)).To(gomega.BeNumerically("<", 20*time.Second))
}

// Guards against a request that is decided by a new plan and run by the older one of the router
// that it is handed over to, which stood still meanwhile.
func TestRouterWithAnOlderPlanTakesNoRequests(t *testing.T) {
	g := gomega.NewWithT(t)
	class := newClass("a", relay.Idempotent, 1)
	p := startPair(t, class, respond("a"))
	next := newPlan(class, newClass("keepalive", relay.Idempotent, 1))
	next.Version = 2
	p.sound.plans.setUnavailable(true)
	p.sound.servers.setUnavailable(true)
	p.cut.setPlan(next)
	p.cut.awaitPlan(t, next.Version)
	p.sound.waitUntil(t, func() bool { return p.sound.call(t, http.MethodGet, "/keepalive/x", "").status == http.StatusOK })
	taken := p.sound.counter(t, "handovers.taken")
	g.Expect(p.cut.call(t, http.MethodGet, "/a/x", "").status).To(gomega.Equal(http.StatusServiceUnavailable))
	g.Expect(p.sound.counter(t, "handovers.taken")).To(gomega.Equal(taken))
	g.Expect(p.cut.counter(t, "handovers.declined")).NotTo(gomega.BeZero())

	p.sound.setPlan(next)
	p.sound.plans.setUnavailable(false)
	p.sound.servers.setUnavailable(false)
	p.sound.awaitPlan(t, next.Version)
	p.cut.waitUntil(t, func() bool { return p.cut.call(t, http.MethodGet, "/a/x", "").body == "a" })
}
