package relay_test

import (
	"testing"
	"time"

	"github.com/onsi/gomega"

	"snipetally.example/router/relay"
)

// returnDrainTimeout is a drain timeout that leaves more than a second between
// the start of a migration and the time from which its source gets no requests.
const returnDrainTimeout = 4 * time.Second

// startReturnNode starts a node with two engines and a stream. The migration
// stops its run and ends with an error or nil.
func startReturnNode(t *testing.T, n *migrationNode, err error) {
	t.Helper()
	n.start(t, newClass("a", relay.Stream, 1), func(c *relay.Config) {
		c.Bounds.DrainTimeout = returnDrainTimeout
		c.Heartbeat = 50 * time.Millisecond
		c.Migrator = migratorFunc(func(request relay.MigrationRequest) (relay.KVCopy, error) {
			close(n.stopped)
			return relay.KVCopy{Source: request.Source, Handle: "h1"}, err
		})
	}, 2)
	n.startStream(t)
	n.drain(func(id string) bool { return id == n.source })
}

// sourceArrivals returns the number of requests that arrived at the engine of the
// stream.
func (n *migrationNode) sourceArrivals() int {
	for _, b := range n.backends {
		if b.id == n.source {
			return int(b.arrived.Load())
		}
	}
	return 0
}

// Guards against streams that are cut because their run stopped for a migration
// that then failed: the source still has its KV cache and takes the run back.
func TestStoppedRunGoesOnAtItsSource(t *testing.T) {
	g := gomega.NewWithT(t)
	n := newMigrationNode()
	startReturnNode(t, n, errUnavailable)
	end := <-n.end
	g.Expect(end.err).NotTo(gomega.HaveOccurred())
	g.Expect(end.body).To(gomega.HaveSuffix("id: 4\ndata: 4\n\n"))
	g.Expect(n.sourceArrivals()).To(gomega.Equal(2))
}

// Guards against the same cut if the destination rejects the copy.
func TestRejectedCopyGoesOnAtItsSource(t *testing.T) {
	g := gomega.NewWithT(t)
	n := newMigrationNode()
	n.resume = inTurn(rejectRequest, streamEvents(1, 4, true))
	startReturnNode(t, n, nil)
	end := <-n.end
	g.Expect(end.err).NotTo(gomega.HaveOccurred())
	g.Expect(end.body).To(gomega.HaveSuffix("id: 4\ndata: 4\n\n"))
	g.Expect(n.sourceArrivals()).To(gomega.Equal(2))
}
