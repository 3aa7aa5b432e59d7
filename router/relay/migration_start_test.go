package relay_test

import (
	"net/http"
	"net/http/httptest"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"snipetally.example/coordination/feed"
	"snipetally.example/router/relay"
)

// countMigrations configures a migrator that counts its calls and fails.
func countMigrations(calls *atomic.Int32) func(*relay.Config) {
	return func(c *relay.Config) {
		c.Migrator = migratorFunc(func(relay.MigrationRequest) (relay.KVCopy, error) {
			calls.Add(1)
			return relay.KVCopy{}, errUnavailable
		})

		// Migrations start after 0.6 s. The list of servers is read often.
		c.Bounds.DrainTimeout = 2 * time.Second
		c.Heartbeat = 50 * time.Millisecond
	}
}

// Guards against streams that are stopped at a sound server: its entry was gone
// for a moment and is back before streams are migrated.
func TestStreamStaysOnAServerThatIsListedAgain(t *testing.T) {
	g := gomega.NewWithT(t)
	var calls atomic.Int32
	n := newMigrationNode()
	n.start(t, newClass("a", relay.Stream, 1), countMigrations(&calls), 2)
	n.startStream(t)
	defer close(n.stopped)
	n.servers.set(feed.Change[relay.Server]{Key: n.source, Removed: true})
	n.waitUntil(t, n.logged("backend server removed", 1))
	n.drain(func(string) bool { return false })
	n.waitUntil(t, n.logged("backend server added", 3))
	time.Sleep(time.Second)
	g.Expect(calls.Load()).To(gomega.BeZero())
}

// Guards against retries that are lost to requests because migrations took them
// that found no place.
func TestMigrationWithoutPlaceTakesNoRetry(t *testing.T) {
	g := gomega.NewWithT(t)
	var calls atomic.Int32
	n := newMigrationNode()
	n.start(t, newClass("a", relay.Stream, 1), func(c *relay.Config) {
		countMigrations(&calls)(c)
		c.Bounds.RetryRatio = 0 // One retry in all.
	}, 1)
	n.startStream(t)
	defer close(n.stopped)
	n.drain(func(string) bool { return true })
	n.waitUntil(t, n.logged("stream migration ended", 1))
	handler := inTurn(rejectRequest, streamEvents(1, 1, true))
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		w.Header().Set(attemptHeader, req.Header.Get(attemptHeader))
		handler(w, req)
	}))
	defer server.Close()
	var rows []feed.Change[relay.Server]
	for _, id := range []string{"new-0", "new-1"} {
		rows = append(rows, feed.Change[relay.Server]{Key: id, Value: relay.Server{
			ID: id, Service: "s", Address: server.Listener.Addr().String(), Slots: 4,
		}})
	}
	n.servers.set(rows...)
	n.waitUntil(t, func() bool { return len(n.stateDump(t)["Servers"].([]any)) == len(rows) })
	g.Expect(n.call(t, http.MethodPost, "/a/x", "").body).To(gomega.Equal("id: 1\ndata: 1\n\n"))
	g.Expect(calls.Load()).To(gomega.BeZero())
}

// Guards against streams that are cut when their server exits because they had
// sent no event when streams were migrated: the first one comes later.
func TestStreamThatBeginsLateIsMigrated(t *testing.T) {
	g := gomega.NewWithT(t)
	var calls atomic.Int32
	n := newMigrationNode()
	n.first = make(chan struct{})
	n.start(t, newClass("a", relay.Stream, 1), countMigrations(&calls), 2)
	go func() { n.end <- n.call(t, http.MethodPost, "/a/x", "") }()
	n.waitUntil(t, func() bool { return totalArrived(n.backends) == 1 })
	defer close(n.stopped)
	n.drain(func(id string) bool {
		return slices.ContainsFunc(n.backends, func(b *backend) bool { return b.id == id && b.arrived.Load() == 1 })
	})
	n.waitUntil(t, n.logged("backend server draining", 1))
	time.Sleep(800 * time.Millisecond) // Migrations start after 0.6 s.
	close(n.first)
	n.source = <-n.began
	g.Eventually(calls.Load).WithTimeout(time.Second).Should(gomega.Equal(int32(1)))
}

// Guards against streams that are cut when their server exits because the newest
// plan no longer names their service. A request keeps the plan that it began with.
func TestStreamOfARemovedServiceIsMigrated(t *testing.T) {
	g := gomega.NewWithT(t)
	var calls atomic.Int32
	n := newMigrationNode()
	n.start(t, newClass("a", relay.Stream, 1), countMigrations(&calls), 2)
	n.startStream(t)
	defer close(n.stopped)
	n.plans.set(feed.Change[relay.Plan]{Key: "plan", Value: relay.Plan{Version: 2}})
	n.waitUntil(t, n.logged("plan in force", 2))
	n.drain(func(id string) bool { return id == n.source })
	g.Eventually(calls.Load).WithTimeout(2 * time.Second).Should(gomega.Equal(int32(1)))
}

// Guards against streams that are moved off a sound server because it has the ID
// of one that left: a server that started again under its ID.
func TestStreamOfANewLifetimeStays(t *testing.T) {
	g := gomega.NewWithT(t)
	var calls atomic.Int32
	n := newMigrationNode()
	n.start(t, newClass("a", relay.Stream, 1), countMigrations(&calls), 2)
	var rows []feed.Change[relay.Server]
	for _, b := range n.backends {
		rows = append(rows, feed.Change[relay.Server]{Key: b.id, Value: relay.Server{
			ID: b.id, Service: "s", Address: b.server.Listener.Addr().String(), Slots: 4, StartedAt: time.UnixMilli(1),
		}})
	}
	n.servers.set(rows...)
	n.waitUntil(t, n.logged("backend server removed", 2))
	time.Sleep(50 * time.Millisecond) // The list is in force right after it is logged.
	n.startStream(t)
	defer close(n.stopped)
	time.Sleep(time.Second) // Migrations start after 0.6 s.
	g.Expect(calls.Load()).To(gomega.BeZero())
}
