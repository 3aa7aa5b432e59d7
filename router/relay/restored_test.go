package relay_test

import (
	"net/http"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"snipetally.example/coordination/feed"
	"snipetally.example/router/relay"
)

// Heartbeats of servers in tests of entries that come back, which are in doubt for four of them:
// for longer than a test takes, or for a second. A test that waits for entries to be used at once
// has one between, so that a slow machine is not taken for a doubt.
const (
	longHeartbeat   = time.Minute
	middleHeartbeat = 10 * time.Second
	shortHeartbeat  = 250 * time.Millisecond
)

// observationTime is how long requests are sent to see what becomes of them.
const observationTime = 500 * time.Millisecond

// restoredNode is a node whose table can come back from an older copy, with a server that stays
// and one that leaves. Each is the only one of its service: of two, the node may prefer either for
// as long as a test lasts.
type restoredNode struct {
	*testNode
	backends []*backend
	eras     *feed.Eras
}

func startRestoredNode(t *testing.T, heartbeat time.Duration) *restoredNode {
	t.Helper()
	n := &restoredNode{eras: &feed.Eras{}}
	stays, leaves := newClass("stays", relay.Idempotent, 1), newClass("leaves", relay.Idempotent, 1)
	leaves.Splits = []relay.Split{{Service: "leaves", Weight: 1}}
	plan := newPlan(stays, leaves)
	plan.Services = append(plan.Services, relay.Service{Name: "leaves"})
	n.testNode, n.backends = startConfiguredNode(t, func(c *relay.Config) {
		c.Heartbeat, c.Eras = heartbeat, n.eras
		c.Bounds.MaxPlanDelay = 100 * time.Millisecond // Plans are read again within a tenth of it.
		c.Plans.(*fakeTable[relay.Plan]).eras, c.Servers.(*fakeTable[relay.Server]).eras = n.eras, n.eras
	}, plan, respond("stays"), respond("leaves"))
	n.servers.set(n.row(0, 1, 1), n.row(1, 1, 1))
	n.waitUntil(t, n.logged("backend server removed", 2)) // Those without a start.
	return n
}

// row returns the entry of a server with its sequence number, of the lifetime that starts at a
// number of seconds.
func (n *restoredNode) row(i int, sequence, startedAt int64) feed.Change[relay.Server] {
	return feed.Change[relay.Server]{Key: n.backends[i].id, Value: relay.Server{
		ID: n.backends[i].id, Service: []string{"s", "leaves"}[i], Address: n.backends[i].server.Listener.Addr().String(),
		Sequence: sequence, StartedAt: time.Unix(startedAt, 0),
	}}
}

// restore has the table come back with rows in a new era.
func (n *restoredNode) restore(t *testing.T, rows ...feed.Change[relay.Server]) {
	t.Helper()
	n.plans.restore(n.plans.rows...)
	n.servers.restore(rows...)
	n.waitUntil(t, n.logged("store restored, table read again", 2)) // The plan and the servers.
}

// removed is the row of a server that was removed.
func (n *restoredNode) removed(i int) feed.Change[relay.Server] {
	return feed.Change[relay.Server]{Key: n.backends[i].id, Removed: true}
}

// expectStatus sends requests to the server that leaves for a time, at least one, and expects each
// to get a status.
func (n *restoredNode) expectStatus(t *testing.T, status int, lasting time.Duration) {
	t.Helper()
	g := gomega.NewWithT(t)
	for end := time.Now().Add(lasting); ; {
		g.Expect(n.call(t, http.MethodGet, "/leaves/x", "").status).To(gomega.Equal(status))
		if time.Now().After(end) {
			return
		}
	}
}

// expectOut expects that no requests reach the server that leaves for a time, and that they are
// refused.
func (n *restoredNode) expectOut(t *testing.T, lasting time.Duration) {
	t.Helper()
	before := n.backends[1].arrived.Load()
	n.expectStatus(t, http.StatusServiceUnavailable, lasting)
	gomega.NewWithT(t).Expect(n.backends[1].arrived.Load()).To(gomega.Equal(before))
}

// expectUsed expects that all requests of a time reach the server that leaves.
func (n *restoredNode) expectUsed(t *testing.T, lasting time.Duration) {
	t.Helper()
	before := n.backends[1].arrived.Load()
	n.expectStatus(t, http.StatusOK, lasting)
	gomega.NewWithT(t).Expect(n.backends[1].arrived.Load()).To(gomega.BeNumerically(">", before))
}

// Guards against requests to a server that is known to have left, because its entry is back with
// an older copy of the table (review/4).
func TestServerThatLeftStaysOutAfterARestore(t *testing.T) {
	n := startRestoredNode(t, longHeartbeat)
	n.servers.set(n.row(0, 1, 1), n.removed(1))
	n.waitUntil(t, n.accepting(t, 1))
	n.restore(t, n.row(0, 1, 1), n.row(1, 1, 1))
	n.waitUntil(t, n.logged("backend server added", 3)) // The entry is back.
	n.expectOut(t, observationTime)
	n.servers.set(n.row(0, 2, 1), n.removed(1))
	n.waitUntil(t, n.logged("backend server removed", 4))
	n.expectOut(t, observationTime)
}

// Guards against a server that is used when the doubt about its entry would have ended, though its
// removal was written again before.
func TestServerThatLeftStaysOutWhenItsRemovalIsWrittenAgain(t *testing.T) {
	n := startRestoredNode(t, shortHeartbeat)
	n.servers.set(n.row(0, 1, 1), n.removed(1))
	n.waitUntil(t, n.accepting(t, 1))
	n.restore(t, n.row(0, 1, 1), n.row(1, 1, 1))
	n.waitUntil(t, n.logged("backend server added", 3)) // The entry is back.
	n.servers.set(n.row(0, 2, 1), n.removed(1))
	n.waitUntil(t, n.logged("backend server removed", 4))
	n.expectOut(t, 5*shortHeartbeat)
}

// Guards against sound servers that are lost with a restore: an entry that had lapsed is back, and
// its server writes it again, or it simply stays.
func TestServerWhoseEntryIsBackAfterARestoreIsUsedIfItLives(t *testing.T) {
	for name, c := range map[string]struct {
		heartbeat, doubted time.Duration
		written            bool
	}{
		"writes": {heartbeat: longHeartbeat, written: true},
		"stays":  {heartbeat: shortHeartbeat, doubted: 4 * shortHeartbeat},
	} {
		t.Run(name, func(t *testing.T) {
			n := startRestoredNode(t, c.heartbeat)
			n.servers.set(n.row(0, 1, 1), n.removed(1))
			n.waitUntil(t, n.accepting(t, 1))
			restoredAt := time.Now()
			n.restore(t, n.row(0, 1, 1), n.row(1, 1, 1))
			n.waitUntil(t, n.logged("backend server added", 3)) // The entry is back.
			if c.written {
				n.servers.set(n.row(0, 2, 1), n.row(1, 2, 1))
			}
			n.waitUntil(t, n.accepting(t, 2))
			gomega.NewWithT(t).Expect(time.Since(restoredAt)).To(gomega.BeNumerically(">=", c.doubted))
			n.expectUsed(t, observationTime)
		})
	}
}

// Guards against entries that are doubted though nothing was restored: a server whose entry
// lapsed for a moment.
func TestEntryThatLapsedIsNotDoubtedWithoutARestore(t *testing.T) {
	n := startRestoredNode(t, middleHeartbeat)
	n.servers.set(n.row(0, 1, 1), n.removed(1))
	n.waitUntil(t, n.accepting(t, 1))
	n.servers.set(n.row(0, 1, 1), n.row(1, 1, 1))
	started := time.Now()
	n.waitUntil(t, n.accepting(t, 2))
	gomega.NewWithT(t).Expect(time.Since(started)).To(gomega.BeNumerically("<", 3*middleHeartbeat))
	n.expectUsed(t, observationTime)
}

// Guards against a server that started again under its ID and is replaced by the lifetime before,
// which an older copy of the table holds.
func TestLaterLifetimeOutlivesARestore(t *testing.T) {
	n := startRestoredNode(t, longHeartbeat)
	old := n.row(1, 9, 1)
	old.Value.Address = "127.0.0.1:1" // Where nothing listens any more.
	n.servers.set(n.row(0, 1, 1), n.row(1, 1, 2))
	n.waitUntil(t, n.logged("backend server removed", 3))
	n.restore(t, n.row(0, 1, 2), old)                     // The other one has started again.
	n.waitUntil(t, n.logged("backend server removed", 4)) // Its lifetime before.
	n.expectUsed(t, observationTime)
}
