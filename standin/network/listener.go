// Package network wraps listeners so that tests can make connections fail: open
// connections can be cut or go silent while new ones work. It also holds a
// listener over net.Pipe, with which servers and clients run in virtual time.
// It imports the standard library only.
package network

import (
	"io"
	"net"
	"sync"
	"time"
)

// Listener passes on the connections of another listener and keeps track of
// the open ones. Its methods are safe for concurrent use.
type Listener struct {
	net.Listener

	// mu guards open and down.
	mu   sync.Mutex
	open map[*conn]struct{}
	down bool
}

// Wrap returns a listener that takes its connections from inner.
func Wrap(inner net.Listener) *Listener {
	return &Listener{Listener: inner, open: make(map[*conn]struct{})}
}

// Accept implements net.Listener. While the listener is down it closes each
// connection that it accepts.
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

// Blackhole makes all open connections silent for good: what is written to them
// is lost and nothing is read from them any more. Connections that are
// accepted afterwards work.
func (l *Listener) Blackhole() {
	for _, c := range l.connections() {
		c.silence()
	}
}

// CloseConnections closes all open connections.
func (l *Listener) CloseConnections() {
	for _, c := range l.connections() {
		_ = c.Close()
	}
}

// Disable cuts all open connections and each new one at once, until Up is called.
func (l *Listener) Disable() {
	l.mu.Lock()
	l.down = true
	l.mu.Unlock()
	l.CloseConnections()
}

// Enable lets new connections work again.
func (l *Listener) Enable() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.down = false
}

// track returns the tracked form of inner, or nil while the listener is down.
func (l *Listener) track(inner net.Conn) *conn {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.down {
		return nil
	}
	c := &conn{Conn: inner, owner: l, silent: make(chan struct{}), closed: make(chan struct{})}
	l.open[c] = struct{}{}
	return c
}

// connections returns the open connections.
func (l *Listener) connections() []*conn {
	l.mu.Lock()
	defer l.mu.Unlock()
	all := make([]*conn, 0, len(l.open))
	for c := range l.open {
		all = append(all, c)
	}
	return all
}

// forget drops a closed connection.
func (l *Listener) forget(c *conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.open, c)
}

// conn is a connection that can go silent.
type conn struct {
	net.Conn
	owner       *Listener
	silent      chan struct{}
	silenceOnce sync.Once
	closed      chan struct{}
	closeOnce   sync.Once
}

// Read loses the bytes of a silent connection and blocks until this end closes
// it.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	select {
	case <-c.silent:
		_, _ = io.Copy(io.Discard, c.Conn)
		<-c.closed
		return 0, net.ErrClosed
	default:
		return n, err
	}
}

// Write loses the bytes of a silent connection.
func (c *conn) Write(p []byte) (int, error) {
	select {
	case <-c.silent:
		return len(p), nil
	default:
	}
	n, err := c.Conn.Write(p)
	select {
	case <-c.silent:
		return len(p), nil
	default:
		return n, err
	}
}

// Close implements net.Conn. The other end of a silent connection does not
// learn of it until it writes.
func (c *conn) Close() error {
	c.closeOnce.Do(func() { close(c.closed) })
	c.owner.forget(c)
	return c.Conn.Close()
}

// silence ends the exchange of bytes. A write in progress returns at once.
func (c *conn) silence() {
	c.silenceOnce.Do(func() { close(c.silent) })
	_ = c.SetWriteDeadline(time.Unix(1, 0))
}
