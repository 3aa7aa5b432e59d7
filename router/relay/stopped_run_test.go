package relay_test

import (
	"context"
	"net/http"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"snipetally.example/coordination/feed"
	"snipetally.example/router/relay"
)

// stoppedRunDrain is a drain timeout of which a run that migrates late has used more than half.
const stoppedRunDrain = 2 * time.Second

// hookedMigrator calls functions before it answers that a KV cache was copied, and that a run was
// stopped.
type hookedMigrator struct {
	copied  func(request relay.MigrationRequest)
	stopped func(request relay.MigrationRequest)
}

func (m hookedMigrator) Copy(_ context.Context, request relay.MigrationRequest) error {
	if m.copied != nil {
		m.copied(request)
	}
	return nil
}

func (m hookedMigrator) Migrate(_ context.Context, request relay.MigrationRequest) (relay.KVCopy, error) {
	m.stopped(request)
	return relay.KVCopy{Source: request.Source, Handle: "h1"}, nil
}

// destinationLeaves are the ways in which the destination of a migration begins to leave.
var destinationLeaves = map[string]func(n *migrationNode, destination string){
	"drains": func(n *migrationNode, _ string) { n.drain(func(string) bool { return true }) },
	"gone":   func(n *migrationNode, destination string) { n.remove(destination) },
}

// startStoppedRunNode starts a node with a number of engines and a stream that may run once, whose
// engine then leaves.
func startStoppedRunNode(t *testing.T, n *migrationNode, migrator relay.Migrator, engines int) {
	t.Helper()
	n.start(t, newClass("a", relay.Stream, 1), func(c *relay.Config) {
		c.Bounds.DrainTimeout = stoppedRunDrain
		c.Heartbeat = 50 * time.Millisecond
		c.Migrator = migrator
	}, engines)
	n.startStream(t)
	n.drain(func(id string) bool { return id == n.source })
}

// remove lists all engines but the one at an address, which leaves without announcing it. The source of
// the stream drains.
func (n *migrationNode) remove(address string) {
	var rows []feed.Change[relay.Server]
	for _, b := range n.backends {
		row := feed.Change[relay.Server]{Key: b.id, Removed: b.server.Listener.Addr().String() == address}
		if !row.Removed {
			row.Value = relay.Server{
				ID: b.id, Service: "s", Address: b.server.Listener.Addr().String(), Slots: 4, Draining: b.id == n.source,
			}
		}
		rows = append(rows, row)
	}
	n.servers.set(rows...)
}

// accepting returns a condition that holds once a number of engines accept requests.
func (n *migrationNode) accepting(t *testing.T, engines int) func() bool {
	return func() bool { return len(n.stateDump(t)["Servers"].([]any)) == engines }
}

// Guards against streams that are cut because the destination of their migration began to leave
// after their run had been stopped, when it is too late to return to the source.
func TestStoppedRunGoesOnAtALeavingDestination(t *testing.T) {
	for name, leave := range destinationLeaves {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			n := newMigrationNode()
			startStoppedRunNode(t, n, hookedMigrator{stopped: func(request relay.MigrationRequest) {
				time.Sleep(stoppedRunDrain / 4) // Other copies go first.
				leave(n, request.Destination)
				n.waitUntil(t, n.accepting(t, 0))
				close(n.stopped)
			}}, 2)
			end := <-n.end
			g.Expect(end.err).NotTo(gomega.HaveOccurred())
			g.Expect(end.body).To(gomega.HaveSuffix("id: 4\ndata: 4\n\n"))
			g.Expect(n.sourceArrivals()).To(gomega.Equal(1))
		})
	}
}

// Guards against runs that are stopped for a destination that began to leave while their KV cache was
// copied there, though another one accepts requests.
func TestRunIsNotStoppedForALeavingDestination(t *testing.T) {
	g := gomega.NewWithT(t)
	n := newMigrationNode()
	var copies, stops []string
	startStoppedRunNode(t, n, hookedMigrator{
		copied: func(request relay.MigrationRequest) {
			copies = append(copies, request.Destination)
			if len(copies) == 1 {
				n.remove(request.Destination)
				n.waitUntil(t, n.accepting(t, 1))
			}
		},
		stopped: func(request relay.MigrationRequest) {
			stops = append(stops, request.Destination)
			close(n.stopped)
		},
	}, 3)
	end := <-n.end
	g.Expect(end.err).NotTo(gomega.HaveOccurred())
	g.Expect(end.body).To(gomega.HaveSuffix("id: 4\ndata: 4\n\n"))
	g.Expect(stops).To(gomega.HaveLen(1))
	g.Expect(slices.Index(copies, stops[0])).To(gomega.Equal(1), "the run was stopped for the second destination")
}

// turnsMigrator finds no room for any run, and records how many calls were made at the same time.
type turnsMigrator struct {
	calls   atomic.Int32
	now     atomic.Int32
	largest atomic.Int32
}

func (m *turnsMigrator) Copy(context.Context, relay.MigrationRequest) error {
	m.calls.Add(1)
	m.largest.Store(max(m.largest.Load(), m.now.Add(1)))
	time.Sleep(stoppedRunDrain / 50)
	m.now.Add(-1)
	return errNoRoom
}

func (*turnsMigrator) Migrate(context.Context, relay.MigrationRequest) (relay.KVCopy, error) {
	return relay.KVCopy{}, errNoRoom
}

// startTurnsNode starts a node with two engines and a number of streams, of which the engine with most of
// them then leaves. It returns how many are there. All go on until the test closes stopped.
func startTurnsNode(t *testing.T, n *migrationNode, migrator relay.Migrator, streams int) int {
	t.Helper()
	n.began = make(chan string, streams)
	n.start(t, newClass("a", relay.Stream, 1), func(c *relay.Config) {
		c.Bounds.DrainTimeout = stoppedRunDrain
		c.Migrator = migrator
	}, 2)
	onEngine := make(map[string]int)
	for range streams {
		go n.call(t, http.MethodPost, "/a/x", "")
		onEngine[<-n.began]++
	}
	n.source = n.backends[0].id
	if other := n.backends[1].id; onEngine[other] > onEngine[n.source] {
		n.source = other
	}
	n.drain(func(id string) bool { return id == n.source })
	return onEngine[n.source]
}

// Guards against runs that stay stopped for seconds, as the rest of their KV cache waits for the
// copies of all other runs on the engine, until their destination has left as well.
func TestStreamsOfALeavingServerMigrateInTurn(t *testing.T) {
	g := gomega.NewWithT(t)
	n := newMigrationNode()
	migrator := &turnsMigrator{}
	streams := startTurnsNode(t, n, migrator, 6)
	defer close(n.stopped)
	g.Eventually(migrator.calls.Load, noticeTime).Should(gomega.BeNumerically(">=", streams))
	g.Expect(migrator.largest.Load()).To(gomega.BeEquivalentTo(1))
}

// Guards against streams that are not migrated because the migration of another one from the same engine
// does not end.
func TestStreamsMigrateThoughOneMigrationHangs(t *testing.T) {
	g := gomega.NewWithT(t)
	n := newMigrationNode()
	stops := make(chan struct{}, 6)
	streams := startTurnsNode(t, n, hookedMigrator{stopped: func(relay.MigrationRequest) {
		stops <- struct{}{}
		<-n.stopped
	}}, 4)
	defer close(n.stopped)
	g.Expect(streams).To(gomega.BeNumerically(">", 1))
	g.Eventually(func() int { return len(stops) }, noticeTime).Should(gomega.BeNumerically(">", 1))
}
