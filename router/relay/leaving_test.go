package relay_test

import (
	"maps"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"snipetally.example/coordination/feed"
	"snipetally.example/router/relay"
)

// Guards against requests to a leaving server whose entry is overwritten by an
// older one that arrives late, also after the entry had been removed. A restart
// under the same ID counts as another server.
func TestOutdatedEntryDoesNotBringALeavingServerBack(t *testing.T) {
	g := gomega.NewWithT(t)
	r, backends := startNode(t, newPlan(newClass("a", relay.Idempotent, 1)), respond("stays"), respond("leaves"))
	const startedAt = 1000
	row := func(i int, draining bool, startedAt int64) feed.Change[relay.Server] {
		return feed.Change[relay.Server]{Key: backends[i].id, Value: relay.Server{
			ID: backends[i].id, Service: "s", Address: backends[i].server.Listener.Addr().String(),
			Draining: draining, StartedAt: time.UnixMilli(startedAt),
		}}
	}
	stays := row(0, false, startedAt)
	r.servers.set(stays, row(1, false, startedAt))
	r.waitUntil(t, r.accepting(t, 2))
	r.servers.set(stays, row(1, true, startedAt))
	r.waitUntil(t, r.accepting(t, 1))

	r.servers.set(stays, row(1, false, startedAt))
	r.waitUntil(t, r.logged("outdated entry of leaving server", 1))
	before := backends[1].arrived.Load()
	for range 50 {
		g.Expect(r.call(t, http.MethodGet, "/a/x", "").body).To(gomega.Equal("stays"))
	}
	g.Expect(backends[1].arrived.Load()).To(gomega.Equal(before))
	r.servers.set(stays, feed.Change[relay.Server]{Key: backends[1].id, Removed: true})
	r.waitUntil(t, r.logged("backend server removed", 3)) // The first two were the lifetimes before.
	r.servers.set(stays, row(1, false, startedAt))
	r.waitUntil(t, r.logged("outdated entry of leaving server", 2))
	for range 50 {
		g.Expect(r.call(t, http.MethodGet, "/a/x", "").body).To(gomega.Equal("stays"))
	}
	g.Expect(backends[1].arrived.Load()).To(gomega.Equal(before))

	r.servers.set(stays, row(1, false, startedAt+1))
	r.waitUntil(t, r.accepting(t, 2))
}

// Guards against requests that are lost one after the other on kept connections
// that went silent: once one of them got no response, none of the others is used.
func TestSilentKeptConnectionsLoseOneRequest(t *testing.T) {
	g := gomega.NewWithT(t)
	const kept = 4
	short := newClass("short", relay.NonIdempotent, 1)
	short.Timeout = time.Second
	var mu sync.Mutex
	connections := make(map[string]bool)
	silent := make(map[string]bool)
	allOpen := make(chan struct{})
	handler := func(w http.ResponseWriter, req *http.Request) {
		mu.Lock()
		lost := silent[req.RemoteAddr]
		if !connections[req.RemoteAddr] {
			connections[req.RemoteAddr] = true
			if len(connections) == kept {
				close(allOpen)
			}
		}
		mu.Unlock()
		if lost {
			<-req.Context().Done()
			return
		}
		<-allOpen
		respond("ok")(w, req)
	}
	r, _ := startNode(t, newPlan(newClass("a", relay.NonIdempotent, 1), short), handler)
	var opening sync.WaitGroup
	for range kept {
		opening.Go(func() { r.call(t, http.MethodGet, "/a/x", "") })
	}
	opening.Wait()
	mu.Lock()
	silent = maps.Clone(connections)
	mu.Unlock()
	g.Expect(r.call(t, http.MethodGet, "/short/x", "").body).NotTo(gomega.Equal("ok"))
	for range kept {
		g.Expect(r.call(t, http.MethodGet, "/short/x", "").body).To(gomega.Equal("ok"))
	}
}
