package relay_test

import (
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"snipetally.example/router/relay"
)

// cancelTimeout bounds the wait for the cancellation of an attempt.
const cancelTimeout = 10 * time.Second

// Guards against work that goes on for callers that have left: one that closes its
// sending side after a whole request can't be told from them, and counts as one.
func TestCallerThatClosesItsSendingSideCountsAsGone(t *testing.T) {
	for name, kind := range map[string]relay.Kind{
		"not idempotent": relay.NonIdempotent, "idempotent": relay.Idempotent, "stream": relay.Stream,
	} {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			begun, canceled := make(chan struct{}), make(chan struct{})
			waits := func(_ http.ResponseWriter, req *http.Request) {
				_, _ = io.Copy(io.Discard, req.Body) // Cancellation is noticed only after the body.
				close(begun)
				<-req.Context().Done()
				close(canceled)
			}
			r, backends := startNode(t, newPlan(newClass("a", kind, 2)), waits, waits)
			conn := r.open(t)
			conn.send("/a/x")
			<-begun
			g.Expect(conn.CloseWrite()).To(gomega.Succeed())
			g.Eventually(canceled, cancelTimeout).Should(gomega.BeClosed())
			conn.expectClosed()
			g.Expect(backends[0].arrived.Load() + backends[1].arrived.Load()).To(gomega.Equal(int32(1)))
		})
	}
}
