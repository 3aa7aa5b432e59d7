// Package network provides listeners for tests. One wraps another listener so
// that tests can close its open connections or drop their traffic while new ones
// work. The other uses net.Pipe, so that servers and clients can run in virtual
// time. A Server serves HTTP on listeners of the first kind. The package imports
// the standard library only.
package network

import (
	"io"
	"net"
	"sync"
	"time"
)

// Listener accepts connections from another listener and tracks the open ones.
// Its methods are safe for concurrent use.
type Listener struct {
	net.Listener

	// mu guards open and disabled.
	mu       sync.Mutex
	open     map[*conn]struct{}
	disabled bool
}

// Wrap returns a listener that accepts connections from inner.
func Wrap(inner net.Listener) *Listener {
	return &Listener{Listener: inner, open: make(map[*conn]struct{})}
}

// Accept implements net.Listener. While the listener is disabled, it closes new
// connections immediately instead of returning them.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		inner, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if c := l.track(inner); c != nil {
			return c, nil
		}
		_ = inner.Close()
	}
}

// Blackhole permanently drops the traffic of all open connections without closing
// them: written data is discarded, and reads return no more data. Connections
// accepted later work.
func (l *Listener) Blackhole() {
	for _, c := range l.openConns() {
		c.blackhole()
	}
}

// CloseConnections closes all open connections.
func (l *Listener) CloseConnections() {
	for _, c := range l.openConns() {
		_ = c.Close()
	}
}

// Disable closes all open connections, and closes new ones immediately until
// Enable is called.
func (l *Listener) Disable() {
	l.mu.Lock()
	l.disabled = true
	l.mu.Unlock()
	l.CloseConnections()
}

// Enable reverts Disable for new connections.
func (l *Listener) Enable() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.disabled = false
}

// track wraps inner and adds it to the open connections. It returns nil while the
// listener is disabled.
func (l *Listener) track(inner net.Conn) *conn {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.disabled {
		return nil
	}
	c := &conn{Conn: inner, listener: l, blackholed: make(chan struct{}), closed: make(chan struct{})}
	l.open[c] = struct{}{}
	return c
}

// openConns returns the open connections, in no particular order.
func (l *Listener) openConns() []*conn {
	l.mu.Lock()
	defer l.mu.Unlock()
	conns := make([]*conn, 0, len(l.open))
	for c := range l.open {
		conns = append(conns, c)
	}
	return conns
}

// untrack removes a closed connection from the open ones.
func (l *Listener) untrack(c *conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.open, c)
}

// conn is a connection whose traffic can be dropped.
type conn struct {
	net.Conn
	listener      *Listener
	blackholed    chan struct{}
	blackholeOnce sync.Once
	closed        chan struct{}
	closeOnce     sync.Once
}

// Read implements net.Conn. On a blackholed connection it discards all received
// data and blocks until the connection is closed on this side.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	select {
	case <-c.blackholed:
		_, _ = io.Copy(io.Discard, c.Conn)
		<-c.closed
		return 0, net.ErrClosed
	default:
		return n, err
	}
}

// Write implements net.Conn. On a blackholed connection it discards p and reports
// success.
func (c *conn) Write(p []byte) (int, error) {
	select {
	case <-c.blackholed:
		return len(p), nil
	default:
	}
	n, err := c.Conn.Write(p)
	select {
	case <-c.blackholed:
		return len(p), nil
	default:
		return n, err
	}
}

// Close implements net.Conn. It also ends a Read that blocks on a blackholed
// connection.
func (c *conn) Close() error {
	c.closeOnce.Do(func() { close(c.closed) })
	c.listener.untrack(c)
	return c.Conn.Close()
}

// blackhole starts to drop all traffic. It sets a write deadline in the past, so
// that a write in progress returns immediately.
func (c *conn) blackhole() {
	c.blackholeOnce.Do(func() { close(c.blackholed) })
	_ = c.SetWriteDeadline(time.Unix(1, 0))
}
