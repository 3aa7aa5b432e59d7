package relay_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/signal"
	"sync"
	"syscall"
	"testing"

	"github.com/onsi/gomega"

	"snipetally.example/router/relay"
)

// callerConn is a connection of a caller that sends requests one by one.
type callerConn struct {
	*net.TCPConn
	t      *testing.T
	reader *bufio.Reader
}

// dial opens a connection to the node's address for callers.
func (r *testNode) dial(t *testing.T) (*callerConn, error) {
	t.Helper()
	var dialer net.Dialer
	conn, err := dialer.DialContext(t.Context(), "tcp4", r.callerAddress)
	if err != nil {
		return nil, err
	}
	t.Cleanup(func() { _ = conn.Close() })
	return &callerConn{TCPConn: conn.(*net.TCPConn), t: t, reader: bufio.NewReader(conn)}, nil
}

// open is dial for a node that accepts connections.
func (r *testNode) open(t *testing.T) *callerConn {
	t.Helper()
	conn, err := r.dial(t)
	gomega.NewWithT(t).Expect(err).NotTo(gomega.HaveOccurred())
	return conn
}

// send writes a whole request.
func (c *callerConn) send(path string) {
	c.t.Helper()
	_, err := fmt.Fprintf(c, "POST %s HTTP/1.1\r\nHost: h.example\r\n%s: attempt-1\r\n%s: 60000\r\nContent-Length: 2\r\n\r\n{}",
		path, attemptHeader, timeoutHeader)
	gomega.NewWithT(c.t).Expect(err).NotTo(gomega.HaveOccurred())
}

// expect reads a response with a status and body, and checks whether the connection
// is closed after it.
func (c *callerConn) expect(status int, body string, closes bool) http.Header {
	c.t.Helper()
	g := gomega.NewWithT(c.t)
	response, err := http.ReadResponse(c.reader, nil)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(response.StatusCode).To(gomega.Equal(status))
	g.Expect(string(text)).To(gomega.Equal(body))
	g.Expect(response.Close).To(gomega.Equal(closes))
	if closes {
		c.expectClosed()
	}
	return response.Header
}

// expectClosed checks that the node closes the connection and sends nothing more.
func (c *callerConn) expectClosed() {
	c.t.Helper()
	rest, _ := io.ReadAll(c.reader) // The connection may be reset.
	gomega.NewWithT(c.t).Expect(rest).To(gomega.BeEmpty())
}

// terminate sends SIGTERM to the process until the node stops.
func (r *testNode) terminate(t *testing.T) {
	t.Helper()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM) // Keeps the process alive.
	t.Cleanup(func() { signal.Stop(signals) })
	r.waitUntil(t, func() bool {
		gomega.NewWithT(t).Expect(syscall.Kill(os.Getpid(), syscall.SIGTERM)).To(gomega.Succeed())
		return r.logged("router stopping", 1)()
	})
}

// Guards against connections that a stopping node closes while a request on them is
// sent or in progress, and against new connections on which a request is lost.
func TestPlannedStopClosesTheListenerThenAnswersThenClosesConnections(t *testing.T) {
	g := gomega.NewWithT(t)
	begun, release := make(chan struct{}, 2), make(chan struct{})
	end := sync.OnceFunc(func() { close(release) })
	slow := func(w http.ResponseWriter, req *http.Request) {
		if req.URL.Path == "/a/slow" {
			begun <- struct{}{}
			<-release
		}
		respond("ok")(w, req)
	}
	r, _ := startNode(t, newPlan(newClass("a", relay.NonIdempotent, 1)), slow)
	t.Cleanup(end)
	used, kept, fresh, early, late := r.open(t), r.open(t), r.open(t), r.open(t), r.open(t)
	for _, conn := range []*callerConn{used, kept, late} {
		conn.send("/a/x")
		conn.expect(http.StatusOK, "ok", false)
	}
	early.send("/a/slow")
	<-begun

	r.terminate(t)
	g.Expect(r.isReady(t)).To(gomega.BeFalse())
	used.send("/a/x")
	used.expect(http.StatusOK, "ok", true)
	late.send("/a/slow")
	<-begun

	r.waitUntil(t, func() bool {
		conn, err := r.dial(t)
		if err != nil {
			return true
		}
		_ = conn.Close()
		return false
	})
	for _, conn := range []*callerConn{kept, fresh} {
		conn.send("/a/x")
		header := conn.expect(http.StatusServiceUnavailable, "", true)
		g.Expect(header.Get("Retry-After")).NotTo(gomega.BeEmpty())
	}
	g.Expect(r.isReady(t)).To(gomega.BeFalse())
	g.Expect(r.metrics(t)).NotTo(gomega.BeEmpty())
	end()
	early.expect(http.StatusOK, "ok", true)
	late.expect(http.StatusOK, "ok", true)
	<-r.ended
}
