package relay_test

import (
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"snipetally.example/coordination/feed"
	"snipetally.example/router/relay"
)

// leaving answers like another handler, and says that the server leaves while a flag is set.
func leaving(flag *atomic.Bool, handler http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, req *http.Request) {
		if flag.Load() {
			w.Header().Set(leavingHeader, "1")
		}
		handler(w, req)
	}
}

// slowly answers like another handler after a while, so that other servers are preferred.
func slowly(handler http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, req *http.Request) {
		time.Sleep(3 * time.Millisecond)
		handler(w, req)
	}
}

// accepting returns a condition that holds while a number of servers accept requests.
func (r *testNode) accepting(t *testing.T, n int) func() bool {
	return func() bool {
		servers, _ := r.stateDump(t)["Servers"].([]any) // Without any it is null.
		return len(servers) == n
	}
}

// Guards against requests to a server that has said in a response that it leaves, while its
// entry says otherwise, and against a server that is kept from requests after it has started
// again under the same ID.
func TestServerThatSaysInAResponseThatItLeavesGetsNoRequests(t *testing.T) {
	g := gomega.NewWithT(t)
	flag := &atomic.Bool{}
	r, backends := startNode(t, newPlan(newClass("a", relay.Idempotent, 2)), slowly(respond("stays")), leaving(flag, respond("leaves")))
	row := func(i int, startedAt int64) feed.Change[relay.Server] {
		return feed.Change[relay.Server]{Key: backends[i].id, Value: relay.Server{
			ID: backends[i].id, Service: "s", Address: backends[i].server.Listener.Addr().String(), StartedAt: time.UnixMilli(startedAt),
		}}
	}
	r.servers.set(row(0, 1), row(1, 1))
	r.waitUntil(t, r.logged("backend server removed", 2)) // The lifetimes before.
	r.waitUntil(t, func() bool { return r.call(t, http.MethodGet, "/a/x", "").body == "leaves" })
	flag.Store(true)
	r.waitUntil(t, func() bool { return r.call(t, http.MethodGet, "/a/x", "").header.Get(leavingHeader) == "1" })
	r.waitUntil(t, r.accepting(t, 1))

	before := backends[1].arrived.Load()
	for range 50 {
		g.Expect(r.call(t, http.MethodGet, "/a/x", "").body).To(gomega.Equal("stays"))
	}
	r.servers.set(row(0, 1), row(1, 1)) // The entry is written again and says what it said before.
	for range 50 {
		g.Expect(r.call(t, http.MethodGet, "/a/x", "").body).To(gomega.Equal("stays"))
	}
	g.Expect(backends[1].arrived.Load()).To(gomega.Equal(before))

	flag.Store(false)
	r.servers.set(row(0, 1), row(1, 2))
	r.waitUntil(t, func() bool { return r.call(t, http.MethodGet, "/a/x", "").body == "leaves" })
}

// Guards against requests to the only server after it has said that it leaves, and against
// callers that wait for it.
func TestRequestsAreRefusedWhenTheOnlyServerSaysThatItLeaves(t *testing.T) {
	g := gomega.NewWithT(t)
	flag := &atomic.Bool{}
	flag.Store(true)
	r, backends := startNode(t, newPlan(newClass("a", relay.NonIdempotent, 1)), leaving(flag, respond("leaves")))
	g.Expect(r.call(t, http.MethodGet, "/a/x", "").body).To(gomega.Equal("leaves"))
	r.waitUntil(t, r.accepting(t, 0))
	reply := r.call(t, http.MethodGet, "/a/x", "")
	g.Expect(reply.status).To(gomega.Equal(http.StatusServiceUnavailable))
	g.Expect(reply.header.Get("Retry-After")).NotTo(gomega.BeEmpty())
	g.Expect(backends[0].arrived.Load()).To(gomega.BeEquivalentTo(1))
}

// Guards against a response of another server at the same address that is taken for one of the
// server that was meant.
func TestMisdirectedResponseSaysNothingAboutTheServerThatWasMeant(t *testing.T) {
	g := gomega.NewWithT(t)
	flag := &atomic.Bool{}
	misdirected := &atomic.Bool{}
	misdirected.Store(true)
	r, _ := startNode(t, newPlan(newClass("a", relay.Idempotent, 2)), func(w http.ResponseWriter, req *http.Request) {
		if misdirected.Swap(false) {
			w.Header().Set(leavingHeader, "1")
			w.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		leaving(flag, respond("stays"))(w, req)
	})
	r.call(t, http.MethodGet, "/a/x", "")
	r.waitUntil(t, func() bool { return r.call(t, http.MethodGet, "/a/x", "").body == "stays" })
	g.Expect(r.logged("backend server draining", 1)()).To(gomega.BeFalse())
}
