package relay_test

import (
	"io"
	"net/http"
	"testing"

	"github.com/onsi/gomega"

	"snipetally.example/coordination/feed"
	"snipetally.example/router/relay"
)

// migrationNode is a node with two engines and a stream in progress at one of
// them, which sends two events and no more until stopped is closed. The other one
// continues a stream from a copy of its KV cache with the third and fourth event.
type migrationNode struct {
	*testNode
	backends []*backend

	// source is the ID of the engine of the stream, and end receives what the
	// caller got.
	source string
	end    chan reply

	stopped chan struct{}

	// continued receives the copies of KV caches that streams continued from.
	continued chan string
}

// startMigrationNode starts a node and a stream. The migrator gets the node.
func startMigrationNode(t *testing.T, migrate func(*migrationNode, relay.MigrationRequest) relay.KVCopy) *migrationNode {
	t.Helper()
	plan := newPlan(newClass("a", relay.Stream, 1))
	plan.Services[0] = relay.Service{Name: "s", Slots: 4, TokensPerEvent: 1, SupportsMigration: true}
	n := &migrationNode{end: make(chan reply, 1), stopped: make(chan struct{}), continued: make(chan string, 1)}
	began := make(chan string, 1)
	engine := func(w http.ResponseWriter, req *http.Request) {
		if c := req.Header.Get(kvCopyHeader); c != "" {
			n.continued <- c
			streamEvents(1, 4, true)(w, req)
			return
		}
		w.Header().Set(signedHeader, "yes")
		_, _ = io.WriteString(w, "id: 1\ndata: 1\n\nid: 2\ndata: 2\n\n")
		_ = http.NewResponseController(w).Flush()
		began <- req.Header.Get(instanceHeader)
		<-n.stopped
		panic(http.ErrAbortHandler)
	}
	migrator := migratorFunc(func(request relay.MigrationRequest) (relay.KVCopy, error) {
		return migrate(n, request), nil
	})
	n.testNode, n.backends = startNodeWithMigrator(t, migrator, plan, engine, engine)
	go func() { n.end <- n.call(t, http.MethodPost, "/a/x", "") }()
	n.source = <-began
	return n
}

// drain lists all engines, with those as draining that a function selects.
func (n *migrationNode) drain(leaves func(id string) bool) {
	var rows []feed.Change[relay.Server]
	for _, b := range n.backends {
		rows = append(rows, feed.Change[relay.Server]{Key: b.id, Value: relay.Server{
			ID: b.id, Service: "s", Address: b.server.Listener.Addr().String(), Slots: 4, Draining: leaves(b.id),
		}})
	}
	n.servers.set(rows...)
}

// TestStreamMigratesOffDrainingServer drains the server of a stream that may
// not run twice. The run continues on another server from the copy of its KV
// cache.
func TestStreamMigratesOffDrainingServer(t *testing.T) {
	g := gomega.NewWithT(t)
	var source string
	n := startMigrationNode(t, func(n *migrationNode, request relay.MigrationRequest) relay.KVCopy {
		source = request.Source
		close(n.stopped)
		return relay.KVCopy{Source: request.Source, Handle: "h1"}
	})
	n.drain(func(id string) bool { return id == n.source })
	end := <-n.end
	g.Expect(end.err).NotTo(gomega.HaveOccurred())
	g.Expect(end.body).To(gomega.Equal(
		"id: 1\ndata: 1\n\nid: 2\ndata: 2\n\nid: 3\ndata: 3\n\nid: 4\ndata: 4\n\n"))
	g.Expect(<-n.continued).To(gomega.Equal(source + "/h1"))
}

// Guards against requests that reach a leaving server because it was chosen
// before: the destination of a migration begins to drain while the KV cache is
// copied there.
func TestMigratedStreamDoesNotContinueOnALeavingServer(t *testing.T) {
	g := gomega.NewWithT(t)
	n := startMigrationNode(t, func(n *migrationNode, request relay.MigrationRequest) relay.KVCopy {
		n.drain(func(string) bool { return true })
		n.waitUntil(t, func() bool { return len(n.stateDump(t)["Servers"].([]any)) == 0 })
		close(n.stopped)
		return relay.KVCopy{Source: request.Source, Handle: "h1"}
	})
	n.drain(func(id string) bool { return id == n.source })
	end := <-n.end
	g.Expect(end.err).To(gomega.HaveOccurred(), "the stream ends as incomplete")
	g.Expect(n.continued).NotTo(gomega.Receive())
}
