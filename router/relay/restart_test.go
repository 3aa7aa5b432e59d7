package relay_test

import (
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"snipetally.example/coordination/feed"
	"snipetally.example/router/relay"
)

// Guards against streams that are cut while their only server starts again: it
// refuses connections for 1.5 s, and time, attempts and retries are left.
func TestStreamOutlivesARestartOfItsOnlyServer(t *testing.T) {
	g := gomega.NewWithT(t)
	const restartTime = 1500 * time.Millisecond
	class := newClass("a", relay.Stream, 3)
	class.Resumable = true
	r, _ := startNode(t, newPlan(class), respond(""))
	var stop sync.Once
	var server *httptest.Server
	var address string
	handler := http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		w.Header().Set(attemptHeader, req.Header.Get(attemptHeader))
		first := false
		stop.Do(func() {
			first = true
			_ = server.Listener.Close()
			time.AfterFunc(restartTime, func() {
				listener, err := net.Listen("tcp", address)
				if err != nil {
					t.Error(err)
					return
				}
				again := &http.Server{ReadHeaderTimeout: time.Minute, Handler: http.HandlerFunc(
					func(w http.ResponseWriter, req *http.Request) {
						w.Header().Set(attemptHeader, req.Header.Get(attemptHeader))
						streamEvents(1, 4, true)(w, req)
					})}
				t.Cleanup(func() { _ = again.Close() })
				go func() { _ = again.Serve(listener) }()
			})
		})
		streamEvents(1, 2, !first)(w, req)
	})
	server = httptest.NewServer(handler)
	t.Cleanup(server.Close)
	address = server.Listener.Addr().String()
	r.servers.set(feed.Change[relay.Server]{Key: "server-0", Removed: true},
		feed.Change[relay.Server]{Key: "new", Value: relay.Server{ID: "new", Service: "s", Address: address, Slots: 4}})
	r.waitUntil(t, r.logged("backend server removed", 1))
	got := r.call(t, http.MethodPost, "/a/x", "")
	g.Expect(got.err).NotTo(gomega.HaveOccurred())
	g.Expect(got.body).To(gomega.Equal(fourEvents))
}
