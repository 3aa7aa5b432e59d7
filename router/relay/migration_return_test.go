package relay_test

import (
	"net/http"
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

// Guards against streams that are cut because there is no retry in the budget at the moment in which
// the destination of their migration rejects them, though one comes up soon.
func TestRejectedCopyWaitsForARetry(t *testing.T) {
	g := gomega.NewWithT(t)
	n := newMigrationNode()
	const others = 3 // Requests that earn a retry.
	n.began = make(chan string, 1+others)
	n.resume = inTurn(func(w http.ResponseWriter, req *http.Request) {
		time.AfterFunc(200*time.Millisecond, func() {
			for range others {
				go n.call(t, http.MethodPost, "/a/x", "")
			}
		})
		rejectRequest(w, req)
	}, streamEvents(1, 4, true))
	n.start(t, newClass("a", relay.Stream, 1), func(c *relay.Config) {
		c.Bounds.DrainTimeout = returnDrainTimeout
		c.Bounds.RetryRatio = 1
		c.Heartbeat = 50 * time.Millisecond
		c.Migrator = migratorFunc(func(request relay.MigrationRequest) (relay.KVCopy, error) {
			close(n.stopped)
			return relay.KVCopy{Source: request.Source, Handle: "h1"}, nil
		})
	}, 2)
	n.startStream(t)
	n.drain(func(id string) bool { return id == n.source })
	end := <-n.end
	g.Expect(end.err).NotTo(gomega.HaveOccurred())
	g.Expect(end.body).To(gomega.Equal(fourEvents))
}
