package relay_test

import (
	"context"
	"io"
	"net/http"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"snipetally.example/router/relay"
)

// Guards against requests that reach a leaving server late: a run that was stopped waits for its place
// there until the drain timeout is over.
func TestStoppedRunDoesNotWaitForAPlaceBeyondTheDrainTimeout(t *testing.T) {
	g := gomega.NewWithT(t)
	n := newMigrationNode()
	var brittle atomic.Bool
	released := make(chan struct{})
	n.begin = func(w http.ResponseWriter, _ *http.Request) func() {
		w.Header().Set(signedHeader, "yes")
		if brittle.Load() {
			w.Header().Set(brittleHeader, "3")
		}
		_, _ = io.WriteString(w, firstTwo)
		_ = http.NewResponseController(w).Flush()
		holds := brittle.Load()
		return func() {
			if holds {
				<-released
				return
			}
			panic(http.ErrAbortHandler)
		}
	}
	startStoppedRunNode(t, n, hookedMigrator{stopped: func(request relay.MigrationRequest) {
		brittle.Store(true)
		for range backendSlots {
			go n.call(t, http.MethodPost, "/a/x", "")
			<-n.began
		}
		n.remove(request.Destination)
		n.waitUntil(t, n.accepting(t, 0))
		time.Sleep(stoppedRunDrain * 85 / 100)
		time.AfterFunc(stoppedRunDrain*3/10, func() { close(released) }) // After the drain timeout.
		close(n.stopped)
	}}, 2)
	end := <-n.end
	g.Expect(end.err).To(gomega.HaveOccurred(), "the stream ends as incomplete")
	g.Expect(n.continued).NotTo(gomega.Receive())
}

// address returns the address of an engine.
func (n *migrationNode) address(id string) string {
	i := slices.IndexFunc(n.backends, func(b *backend) bool { return b.id == id })
	return n.backends[i].server.Listener.Addr().String()
}

// Guards against requests that reach a leaving server late: its entry is gone, comes back with an
// outdated write and goes again, so that it seems to have begun to leave then.
func TestStoppedRunDoesNotReturnLateToAServerThatWasListedAgain(t *testing.T) {
	g := gomega.NewWithT(t)
	n := newMigrationNode()
	var room atomic.Bool
	startStoppedRunNode(t, n, scriptedMigrator{
		copyRun: func() error {
			if !room.Load() {
				return errNoRoom
			}
			return nil
		},
		migrate: func(_ context.Context, request relay.MigrationRequest) (relay.KVCopy, error) {
			close(n.stopped)
			return relay.KVCopy{Source: request.Source, Handle: "h1"}, errNoRoom
		},
	}, 2)
	n.waitUntil(t, n.logged("backend server draining", 1))
	left := time.Now()
	source := n.address(n.source)
	n.remove(source)
	n.waitUntil(t, n.logged("backend server removed", 1))
	n.drain(func(string) bool { return false })
	n.waitUntil(t, n.logged("backend server added", 3))
	time.Sleep(time.Until(left.Add(stoppedRunDrain * 8 / 10)))
	n.remove(source)
	n.waitUntil(t, n.logged("backend server removed", 2))
	time.Sleep(time.Until(left.Add(stoppedRunDrain)))
	room.Store(true)
	end := <-n.end
	g.Expect(end.err).To(gomega.HaveOccurred(), "the stream ends as incomplete")
	g.Expect(n.sourceArrivals()).To(gomega.Equal(1))
}

// Guards against streams that are cut because the destination of their migration rests for a
// moment once their run has been stopped, when it is too late to return to the source.
func TestStoppedRunWaitsForARestingDestination(t *testing.T) {
	g := gomega.NewWithT(t)
	n := newMigrationNode()
	var resting atomic.Bool
	n.begin = func(w http.ResponseWriter, _ *http.Request) func() {
		if resting.Load() {
			w.Header().Set(notExecutedHeader, "rests")
			w.Header().Set("Retry-After", "0.5")
			w.WriteHeader(http.StatusServiceUnavailable)
			_ = http.NewResponseController(w).Flush()
			panic(http.ErrAbortHandler)
		}
		w.Header().Set(signedHeader, "yes")
		_, _ = io.WriteString(w, firstTwo)
		_ = http.NewResponseController(w).Flush()
		return func() { panic(http.ErrAbortHandler) }
	}
	startStoppedRunNode(t, n, hookedMigrator{stopped: func(relay.MigrationRequest) {
		time.Sleep(stoppedRunDrain * 7 / 10)
		resting.Store(true)
		n.call(t, http.MethodPost, "/a/x", "")
		close(n.stopped)
	}}, 2)
	end := <-n.end
	g.Expect(end.err).NotTo(gomega.HaveOccurred())
	g.Expect(end.body).To(gomega.Equal(fourEvents))
}

// Guards against requests that reach a leaving server late: its entry disappeared in an outage of the
// table and was kept for a while after it, in case that it had only lapsed.
func TestStoppedRunDoesNotReturnLateToAServerThatWasKept(t *testing.T) {
	g := gomega.NewWithT(t)
	n := newMigrationNode()
	setUnavailable := func(unavailable bool) {
		n.plans.setUnavailable(unavailable)
		n.servers.setUnavailable(unavailable)
	}
	n.start(t, newClass("a", relay.Stream, 1), func(c *relay.Config) {
		c.Bounds.DrainTimeout = stoppedRunDrain
		c.Heartbeat = 50 * time.Millisecond
		c.Migrator = scriptedMigrator{copyRun: noError, migrate: func(_ context.Context, request relay.MigrationRequest) (relay.KVCopy, error) {
			close(n.stopped)
			return relay.KVCopy{Source: request.Source, Handle: "h1"}, errNoRoom
		}}
	}, 2)
	n.startStream(t)
	setUnavailable(true)
	n.waitUntil(t, n.logged("table lost", 2))
	n.remove(n.address(n.source))
	left := time.Now()
	time.Sleep(stoppedRunDrain / 8) // So long that the entry can have lapsed.
	setUnavailable(false)
	end := <-n.end
	g.Expect(time.Since(left)).To(gomega.BeNumerically(">", stoppedRunDrain), "it was kept")
	g.Expect(end.err).To(gomega.HaveOccurred(), "the stream ends as incomplete")
	g.Expect(n.sourceArrivals()).To(gomega.Equal(1))
}

// Guards against streams that are cut because the entry of their destination was gone for a moment, after
// their run had been stopped: the server accepts requests.
func TestStoppedRunGoesOnAtADestinationThatIsListedAgain(t *testing.T) {
	g := gomega.NewWithT(t)
	n := newMigrationNode()
	startStoppedRunNode(t, n, hookedMigrator{stopped: func(request relay.MigrationRequest) {
		n.remove(request.Destination)
		n.waitUntil(t, n.logged("backend server removed", 1))
		n.drain(func(id string) bool { return id == n.source })
		n.waitUntil(t, n.accepting(t, 1))
		time.Sleep(stoppedRunDrain)
		close(n.stopped)
	}}, 2)
	end := <-n.end
	g.Expect(end.err).NotTo(gomega.HaveOccurred())
	g.Expect(end.body).To(gomega.Equal(fourEvents))
}
