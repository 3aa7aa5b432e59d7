package relay_test

import (
	"io"
	"net/http"
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
