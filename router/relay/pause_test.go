package relay_test

import (
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"snipetally.example/router/relay"
)

// Guards against streams that go on at a second server while the first one works on them, as that one was silent
// for a second or so (review/5).
func TestStreamAtAServerThatPausesIsNotMoved(t *testing.T) {
	const (
		pause    = 1300 * time.Millisecond
		maxPause = 1400 * time.Millisecond
	)
	g := gomega.NewWithT(t)
	for t.Context().Err() == nil {
		paused := make(chan time.Duration, 2)
		handler := func(w http.ResponseWriter, req *http.Request) {
			if req.Header.Get(lastEventHeader) != "" {
				streamEvents(1, 4, true)(w, req)
				return
			}
			w.Header().Set(signedHeader, "yes")
			_, _ = io.WriteString(w, "id: 1\ndata: 1\n\nid: 2\ndata: 2\n\n")
			_ = http.NewResponseController(w).Flush()
			begun := time.Now()
			time.Sleep(pause)
			_, _ = io.WriteString(w, "id: 3\ndata: 3\n\nid: 4\ndata: 4\n\n")
			_ = http.NewResponseController(w).Flush()
			paused <- time.Since(begun)
		}
		r, backends := startNode(t, newPlan(newQuickClass(relay.Stream)), handler, handler)
		got := r.call(t, http.MethodPost, "/a/x", "")
		g.Expect(got.err).NotTo(gomega.HaveOccurred())
		g.Expect(got.body).To(gomega.Equal(fourEvents))
		if <-paused > maxPause {
			continue // The machine stood still beside.
		}
		g.Expect(totalArrived(backends)).To(gomega.Equal(1))
		g.Expect(r.logged("server silent", 1)()).To(gomega.BeTrue())
		return
	}
}
