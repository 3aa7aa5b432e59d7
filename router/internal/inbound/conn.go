package inbound

import (
	"container/list"
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"sync"
	"time"

	"golang.org/x/sys/unix"
)

// refusal is the response to a head for which there is no room. The request has not run.
const refusal = "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 0.250\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"

// refusalTimeout bounds the writing of a refusal, which fits into a socket's buffer.
const refusalTimeout = 100 * time.Millisecond

// probeBytes is the length of the reads by which the HTTP server notices that a peer closes its
// connection while a request is handled. All others are for a head or a body.
const probeBytes = 1

// Conn is a connection of a caller or of another router. It serves one request at a time.
type Conn struct {
	*net.TCPConn
	listener *Listener
	guard    *Guard

	// head follows the head of the current request, and ahead is what of the next one has arrived
	// while the current one was handled. They belong to the goroutine that reads, and head
	// afterwards to the handler.
	head  headScanner
	ahead []byte

	// The fields up to the next mutex are guarded by the guard's. held is what the connection
	// holds, place its place among the waiting connections, or nil, and waitsSince since when it
	// waits. closed says that it holds nothing any more, and evicted that it was closed for others.
	held       [resourceCount]int64
	place      *list.Element
	waitsSince time.Time
	closed     bool
	evicted    bool

	// handling says that a request is handled, and readingBody and writing that its body is read
	// and that a write is in progress. The connection waits for its peer if the first does not
	// hold, or one of the others does.
	handling    bool
	readingBody bool
	writing     bool

	// mu guards the fields below.
	mu sync.Mutex

	// silent says that no byte of a request was read since the last response,
	// and silentSince since when. closing says that the read deadline was set to
	// end the connection.
	silent      bool
	silentSince time.Time
	closing     bool

	// ending is the error with which reading ended, or nil.
	ending error
}

// connKey is the key of a request's context for its connection.
type connKey struct{}

// WithConn adds the connection of a peer to the context of its requests. It is a hook of
// http.Server.
func WithConn(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, conn)
}

// ConnOf returns the connection of a request by its context. It panics if the request came from
// no Listener.
func ConnOf(ctx context.Context) *Conn { return ctx.Value(connKey{}).(*Conn) }

// Reserve takes memory of a resource for the request of the connection, in bytes. It returns false
// if there is no room. What is not released is given back when the connection ends.
func (c *Conn) Reserve(r Resource, bytes int64) bool { return c.guard.reserve(c, r, bytes) }

// Release gives back memory that was reserved.
func (c *Conn) Release(r Resource, bytes int64) { c.guard.release(c, r, bytes) }

// HeadBytes returns the length of the current request's head as it was sent. It is for the
// handler of that request.
func (c *Conn) HeadBytes() int { return c.head.bytes }

// Ending returns the error with which reading from the connection ended, or nil if it goes on.
func (c *Conn) Ending() error {
	if c.wasEvicted() {
		return ErrClosedForOthers
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.ending
}

// wasEvicted reports whether the connection was closed for others.
func (c *Conn) wasEvicted() bool {
	c.guard.mu.Lock()
	defer c.guard.mu.Unlock()
	return c.evicted
}

// RecordState records a change of a connection's state. It is a hook of http.Server.
func RecordState(conn net.Conn, state http.ConnState) {
	c, ok := conn.(*Conn)
	if !ok || (state != http.StateActive && state != http.StateIdle) {
		return
	}
	if state == http.StateIdle {
		c.awaitRequest()
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.setSilent(state == http.StateIdle)
}

// Handler returns a handler that has the requests of connections handled, and tells the guard. When
// there are many connections, each ends with its request, so that none keeps its place by sending
// one request after the other.
func Handler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c := ConnOf(r.Context())
		c.setActivity(func(c *Conn) { c.handling, c.readingBody = true, false })
		if c.guard.crowded() {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, r)
	})
}

// EndBody records that all of the body that is needed was read. The connection then does not wait
// for its peer.
func (c *Conn) EndBody() { c.setActivity(func(c *Conn) { c.readingBody = false }) }

// awaitRequest records that a response is complete and the next request is awaited.
func (c *Conn) awaitRequest() {
	c.head = headScanner{}
	c.head.scan(c.ahead)
	c.ahead = c.ahead[:0]
	c.Release(Heads, c.heldBytes(Heads))
	c.setActivity(func(c *Conn) { c.handling, c.readingBody = false, false })
}

// setActivity changes what the connection does, and with it whether it waits for its peer.
func (c *Conn) setActivity(change func(c *Conn)) {
	c.guard.mu.Lock()
	defer c.guard.mu.Unlock()
	change(c)
	if !c.handling || c.readingBody || c.writing {
		c.guard.wait(c)
	} else {
		c.guard.proceed(c)
	}
}

// setSilent records whether the connection is silent. One that is not is kept. The
// caller holds c.mu.
func (c *Conn) setSilent(silent bool) {
	c.silent, c.silentSince = silent, time.Now()
	if c.closing && !silent {
		c.closing = false
		_ = c.SetReadDeadline(time.Time{}) // Fails only if the connection is closed.
	}
}

// closeIfSilent ends reading if the connection has been silent since a time, after
// which the server closes it.
func (c *Conn) closeIfSilent(since time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.silent && !c.silentSince.After(since) {
		c.closing = true
		_ = c.SetReadDeadline(time.Unix(1, 0)) // Fails only if the connection is closed.
	}
}

// Read implements net.Conn. It returns an error, and answers the peer itself, if there is no room
// for the head that it reads.
func (c *Conn) Read(b []byte) (int, error) {
	handling := c.beginRead(len(b))
	n, err := c.read(b)
	if handling && len(b) == probeBytes {
		c.ahead = append(c.ahead, b[:n]...)
	}
	if handling || n == 0 {
		return n, err
	}
	if !c.admitHead(b[:n]) {
		return 0, c.refuse()
	}
	return n, err
}

// beginRead records whether the server reads a body, or only looks for the end of the connection.
// It reports whether a request is handled.
func (c *Conn) beginRead(bytes int) (handling bool) {
	c.setActivity(func(c *Conn) {
		c.readingBody = c.handling && bytes > probeBytes
		handling = c.handling
	})
	return handling
}

// admitHead takes bytes of a head in. It returns false if there is no room for them.
func (c *Conn) admitHead(data []byte) bool {
	if c.head.bytes == 0 { // The connection has not waited for this head before.
		c.restartWaiting()
	}
	c.head.scan(data)
	missing := c.head.memory() - freeHeadBytes - c.heldBytes(Heads)
	return missing <= 0 || c.Reserve(Heads, missing)
}

// heldBytes returns how much of a resource the connection holds.
func (c *Conn) heldBytes(r Resource) int64 {
	c.guard.mu.Lock()
	defer c.guard.mu.Unlock()
	return c.held[r]
}

// restartWaiting records that the connection waits from now on.
func (c *Conn) restartWaiting() {
	c.guard.mu.Lock()
	defer c.guard.mu.Unlock()
	c.guard.proceed(c)
	c.guard.wait(c)
}

// refuse answers a request whose head is too much, closes the connection and returns the error of
// the read.
func (c *Conn) refuse() error {
	_ = c.SetWriteDeadline(time.Now().Add(refusalTimeout)) // Fails only if the connection is closed.
	_, _ = c.TCPConn.Write([]byte(refusal))
	err := refusedError(c.TCPConn)
	_ = c.Close()
	return err
}

// read reads from the socket. On a connection that is to be closed it looks once more for what has
// arrived, as the deadline may pass before the process can read that.
func (c *Conn) read(b []byte) (int, error) {
	n, err := c.TCPConn.Read(b)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closing && errors.Is(err, os.ErrDeadlineExceeded) {
		if arrived := c.readArrived(b); arrived > 0 {
			n, err = arrived, nil
		}
	}
	if n > 0 && c.silent {
		c.setSilent(false)
	}
	if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
		c.ending = err
	}
	return n, err //nolint:wrapcheck // The HTTP server tells the errors of sockets apart.
}

// readArrived reads what has arrived without waiting, whatever the deadline is. It
// returns zero if there is nothing.
func (c *Conn) readArrived(b []byte) int {
	n := 0
	raw, err := c.SyscallConn()
	if err != nil {
		return 0 // The connection is closed.
	}
	_ = raw.Control(func(fd uintptr) { n, _ = unix.Read(int(fd), b) }) // Fails only if the connection is closed.
	return max(n, 0)
}

// Write implements net.Conn. The connection waits for its peer until all is written.
func (c *Conn) Write(b []byte) (int, error) {
	c.setActivity(func(c *Conn) { c.writing = true })
	defer c.setActivity(func(c *Conn) { c.writing = false })
	n, err := c.TCPConn.Write(b)
	if err != nil {
		return n, fmt.Errorf("write to peer: %w", err)
	}
	return n, nil
}

// CloseWrite ends what is sent to the peer. The HTTP server then waits for the peer to close the
// connection.
func (c *Conn) CloseWrite() error {
	defer c.setActivity(func(c *Conn) { c.handling = false })
	if err := c.TCPConn.CloseWrite(); err != nil {
		return fmt.Errorf("end writing: %w", err)
	}
	return nil
}

// unread returns the number of bytes that were written and that the peer's system has not taken.
func (c *Conn) unread() int {
	bytes := 0
	raw, err := c.SyscallConn()
	if err != nil {
		return 0 // The connection is closed.
	}
	_ = raw.Control(func(fd uintptr) { // Fails only if the connection is closed.
		if n, err := unix.IoctlGetInt(int(fd), unix.SIOCOUTQ); err == nil {
			bytes = n
		}
	})
	return bytes
}

// Close implements net.Conn.
func (c *Conn) Close() error {
	c.listener.forget(c)
	c.guard.mu.Lock()
	c.guard.remove(c)
	c.guard.mu.Unlock()
	if err := c.TCPConn.Close(); err != nil {
		return fmt.Errorf("close connection: %w", err)
	}
	return nil
}
