package attempt_test

import (
	"context"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"snipetally.example/router/internal/link"
	"snipetally.example/standin/engine"
)

// pause delays all that connections carry while a server stands still.
type pause struct {
	// mu guards ended, which is closed at the end of the pause, or nil if there
	// is none.
	mu    sync.Mutex
	ended chan struct{}
}

// begin starts a pause of a given time.
func (p *pause) begin(d time.Duration) {
	ended := make(chan struct{})
	p.mu.Lock()
	p.ended = ended
	p.mu.Unlock()
	time.AfterFunc(d, func() { close(ended) })
}

// await returns when no pause is in progress or the connection is closed.
func (p *pause) await(closed <-chan struct{}) {
	p.mu.Lock()
	ended := p.ended
	p.mu.Unlock()
	if ended == nil {
		return
	}
	select {
	case <-ended:
	case <-closed:
	}
}

// pausedConn is a connection to a server that may stand still.
type pausedConn struct {
	net.Conn

	pause     *pause
	closeOnce sync.Once
	closed    chan struct{}
}

// Read implements net.Conn.
func (c *pausedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.pause.await(c.closed)
	return n, err
}

// Write implements net.Conn.
func (c *pausedConn) Write(b []byte) (int, error) {
	c.pause.await(c.closed)
	return c.Conn.Write(b)
}

// Close implements net.Conn.
func (c *pausedConn) Close() error {
	c.closeOnce.Do(func() { close(c.closed) })
	return c.Conn.Close()
}

// Guards against responses that are lost because their engine stood still for
// 1.5 s and then went on. The response of each call takes 3 s.
func TestEngineThatPausesCompletesItsResponse(t *testing.T) {
	for _, stream := range []bool{true, false} {
		inBubble(t, engine.Config{}, func(h *harness) {
			standstill := &pause{}
			h.link = link.New(link.Config{Address: "10.0.0.1:80", Dial: func(ctx context.Context, n, a string) (net.Conn, error) {
				c, err := h.pipe.DialContext(ctx, n, a)
				return &pausedConn{Conn: c, pause: standstill, closed: make(chan struct{})}, err
			}})
			call := h.call("a", stream, 300)
			time.AfterFunc(500*time.Millisecond, func() { standstill.begin(1500 * time.Millisecond) })
			outcome, got := h.run(context.Background(), call)
			h.Expect(outcome.Err).NotTo(gomega.HaveOccurred())
			h.Expect(got.text()).To(gomega.Equal(expectedOutput(call)))
		})
	}
}
