package relay_test

import (
	"io"
	"net/http"
	"slices"
	"testing"
	"time"

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

	// begin begins the response of an engine and returns a function that ends it after its
	// first events. It is nil for a response in chunks that breaks off.
	begin func(w http.ResponseWriter, req *http.Request) (end func())

	// first, unless it is nil, is closed to let engines send their first events.
	first chan struct{}

	// began receives the IDs of engines that have sent events.
	began chan string

	// resume serves requests that continue from a copy of a KV cache.
	resume http.HandlerFunc

	// continued receives the copies of KV caches that streams continued from.
	continued chan string
}

// startMigrationNode starts a node and a stream. The migrator gets the node.
func startMigrationNode(t *testing.T, migrate func(*migrationNode, relay.MigrationRequest) relay.KVCopy) *migrationNode {
	t.Helper()
	n := newMigrationNode()
	n.start(t, newClass("a", relay.Stream, 1), func(c *relay.Config) {
		c.Migrator = migratorFunc(func(request relay.MigrationRequest) (relay.KVCopy, error) {
			return migrate(n, request), nil
		})
	}, 2)
	n.startStream(t)
	return n
}

// newMigrationNode returns a migrationNode that is not started.
func newMigrationNode() *migrationNode {
	return &migrationNode{
		end: make(chan reply, 1), stopped: make(chan struct{}), began: make(chan string, 1), continued: make(chan string, 2),
		resume: streamEvents(1, 4, true),
	}
}

// start starts the node with a class and a number of engines.
func (n *migrationNode) start(t *testing.T, class relay.Class, configure func(*relay.Config), engines int) {
	t.Helper()
	plan := newPlan(class)
	plan.Services[0] = relay.Service{Name: "s", Slots: 4, TokensPerEvent: 1, SupportsMigration: true}
	engine := func(w http.ResponseWriter, req *http.Request) {
		if c := req.Header.Get(kvCopyHeader); c != "" {
			select {
			case n.continued <- c:
			case <-req.Context().Done(): // The test is over, and nobody waits for it any more.
				return
			}
			n.resume(w, req)
			return
		}
		if n.first != nil {
			<-n.first
		}
		if n.begin != nil {
			end := n.begin(w, req)
			n.began <- req.Header.Get(instanceHeader)
			<-n.stopped
			end()
			return
		}
		w.Header().Set(signedHeader, "yes")
		_, _ = io.WriteString(w, "id: 1\ndata: 1\n\nid: 2\ndata: 2\n\n")
		_ = http.NewResponseController(w).Flush()
		n.began <- req.Header.Get(instanceHeader)
		<-n.stopped
		panic(http.ErrAbortHandler)
	}
	handlers := slices.Repeat([]http.HandlerFunc{engine}, engines)
	n.testNode, n.backends = startConfiguredNode(t, configure, plan, handlers...)
}

// startStream starts a stream and waits until an engine has sent events.
func (n *migrationNode) startStream(t *testing.T) {
	t.Helper()
	go func() { n.end <- n.call(t, http.MethodPost, "/a/x", "") }()
	n.source = <-n.began
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

// Guards against requests that reach a leaving server late because it was chosen
// before: the destination of a migration begins to drain while the KV cache is
// copied there, and its drain timeout is almost over when the copy is complete.
func TestMigratedStreamDoesNotContinueOnALeavingServer(t *testing.T) {
	for name, leave := range destinationLeaves {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			n := newMigrationNode()
			startStoppedRunNode(t, n, hookedMigrator{stopped: func(request relay.MigrationRequest) {
				time.Sleep(stoppedRunDrain / 4)
				leave(n, request.Destination)
				time.Sleep(stoppedRunDrain * 19 / 20)
				close(n.stopped)
			}}, 2)
			end := <-n.end
			g.Expect(end.err).To(gomega.HaveOccurred(), "the stream ends as incomplete")
			g.Expect(n.continued).NotTo(gomega.Receive())
			g.Expect(totalArrived(n.backends)).To(gomega.Equal(1))
		})
	}
}
