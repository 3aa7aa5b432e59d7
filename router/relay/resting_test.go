package relay_test

import (
	"net/http"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"snipetally.example/coordination/feed"
	"snipetally.example/router/relay"
)

// turnAway turns a request away and asks for none for a number of seconds.
func turnAway(seconds string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set(notExecutedHeader, "full")
		w.Header().Set("Retry-After", seconds)
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// Guards against requests to a server that has turned one away and asked for none for a while,
// and against callers that suffer by it while another server has room.
func TestServerThatAsksForNothingGetsNothing(t *testing.T) {
	g := gomega.NewWithT(t)
	r, backends := startNode(t, newPlan(newClass("a", relay.NonIdempotent, 1)), turnAway("3600"), slowly(respond("b")))
	for range 100 {
		g.Expect(r.call(t, http.MethodGet, "/a/x", "").body).To(gomega.Equal("b"))
	}
	g.Expect(backends[0].arrived.Load()).To(gomega.BeNumerically("<=", 1))
}

// Guards against callers that are not told when the only server wants requests again, and
// against a server that gets none after that.
func TestOnlyServerThatAsksForNothingIsUsedAgainAfterThat(t *testing.T) {
	g := gomega.NewWithT(t)
	away := &atomic.Bool{}
	away.Store(true)
	r, backends := startNode(t, limitPlan(), func(w http.ResponseWriter, req *http.Request) {
		if away.Load() {
			turnAway("0.5")(w, req)
			return
		}
		respond("a")(w, req)
	})
	g.Expect(r.call(t, http.MethodGet, "/r/x", "").status).To(gomega.Equal(http.StatusServiceUnavailable))
	away.Store(false)
	reply := r.call(t, http.MethodGet, "/r/x", "")
	g.Expect(reply.status).To(gomega.Equal(http.StatusServiceUnavailable))
	g.Expect(backends[0].arrived.Load()).To(gomega.BeEquivalentTo(1))
	seconds, err := strconv.ParseFloat(reply.header.Get("Retry-After"), 64)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(seconds).To(gomega.BeNumerically("<", 1))
	time.Sleep(time.Duration(seconds * float64(time.Second)))
	g.Expect(r.call(t, http.MethodGet, "/r/x", "").body).To(gomega.Equal("a"))
}

// Guards against times that are none, or far too long, in what a server asks for.
func TestOddTimesOfServersThatTurnAwayAreIgnored(t *testing.T) {
	for _, text := range []string{"soon", "-1", "0", "nan", "Wed, 21 Oct 2026 07:28:00 GMT"} {
		t.Run(text, func(t *testing.T) {
			g := gomega.NewWithT(t)
			r, backends := startNode(t, newPlan(newClass("a", relay.NonIdempotent, 1)), turnAway(text))
			for range 3 {
				g.Expect(r.call(t, http.MethodGet, "/a/x", "").status).To(gomega.Equal(http.StatusServiceUnavailable))
			}
			g.Expect(backends[0].arrived.Load()).To(gomega.BeEquivalentTo(3))
		})
	}
}

// Guards against requests to a server that asked for none for a while, once its entry was away for a moment, or
// once it asked for a shorter while in a later response.
func TestServerThatIsListedAgainStillGetsNothing(t *testing.T) {
	g := gomega.NewWithT(t)
	calls, second := &atomic.Int32{}, make(chan struct{})
	turnsAway := func(w http.ResponseWriter, req *http.Request) {
		switch calls.Add(1) {
		case 1: // It is answered last.
			<-second
			turnAway("0.001")(w, req)
		case 2:
			turnAway("3600")(w, req)
		default:
			respond("ok")(w, req)
		}
	}
	r, backends := startNode(t, newPlan(newClass("a", relay.NonIdempotent, 1)), turnsAway)
	first := make(chan reply, 1)
	go func() { first <- r.call(t, http.MethodGet, "/a/x", "") }()
	r.waitUntil(t, func() bool { return calls.Load() == 1 })
	r.call(t, http.MethodGet, "/a/x", "")
	close(second)
	<-first
	arrived := backends[0].arrived.Load()
	expectNone := func() {
		for range 10 {
			g.Expect(r.call(t, http.MethodGet, "/a/x", "").status).To(gomega.Equal(http.StatusServiceUnavailable))
		}
		g.Expect(backends[0].arrived.Load()).To(gomega.Equal(arrived))
	}
	expectNone()
	entry := feed.Change[relay.Server]{Key: backends[0].id, Value: relay.Server{
		ID: backends[0].id, Service: "s", Address: backends[0].server.Listener.Addr().String(), Slots: 4,
	}}
	r.servers.set(feed.Change[relay.Server]{Key: entry.Key, Removed: true})
	r.waitUntil(t, r.logged("backend server removed", 1))
	r.servers.set(entry)
	r.waitUntil(t, r.logged("backend server added", 2))
	expectNone()
	entry.Value.StartedAt = time.Now() // Another lifetime has said nothing.
	r.servers.set(entry)
	r.waitUntil(t, func() bool {
		r.call(t, http.MethodGet, "/a/x", "")
		return backends[0].arrived.Load() > arrived
	})
}
