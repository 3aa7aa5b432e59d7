package relay

import (
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

// silenceTime is how long a connection of a caller has to be silent before a
// stopping node closes it, so that a request that was sent before can arrive.
const silenceTime = 500 * time.Millisecond

// callerListener accepts connections of callers, or of routers that hand over their
// requests, and knows those that are open. A node that stops closes the listener first, and its connections once they are
// silent; http.Server.Shutdown is not used, as it drops requests that it reads.
type callerListener struct {
	*net.TCPListener

	// mu guards the fields below. It may be locked before the mutex of a
	// connection, not after it.
	mu   sync.Mutex
	open map[*callerConn]struct{}

	// pending are connections that the kernel had accepted when the listener
	// was closed. ended says that Accept returns no more connections.
	closed  bool
	pending []*callerConn
	ended   bool
}

// newCallerListener returns a listener without connections.
func newCallerListener(listener *net.TCPListener) *callerListener {
	return &callerListener{TCPListener: listener, open: make(map[*callerConn]struct{})}
}

// Accept implements net.Listener. Once the listener is closed, it returns the
// connections that are pending, and then net.ErrClosed.
func (l *callerListener) Accept() (net.Conn, error) {
	conn, err := l.AcceptTCP()
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case err == nil:
		return l.add(conn), nil
	case len(l.pending) > 0:
		next := l.pending[0]
		l.pending = l.pending[1:]
		return next, nil
	case l.closed:
		l.ended = true
		return nil, net.ErrClosed
	}
	return nil, err // The server handles temporary errors by their type.
}

// add adds a connection. The caller holds l.mu.
func (l *callerListener) add(conn *net.TCPConn) *callerConn {
	c := &callerConn{TCPConn: conn, listener: l, silent: true, silentSince: time.Now()}
	l.open[c] = struct{}{}
	return c
}

// stopListening closes the listener after it has taken all connections that the
// kernel accepted. Nothing runs between the last look for one and the closing.
func (l *callerListener) stopListening() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.closed = true
	raw, err := l.SyscallConn()
	if err != nil {
		return fmt.Errorf("stop listening: %w", err)
	}
	var files []*os.File
	err = raw.Control(func(fd uintptr) {
		for {
			conn, _, acceptErr := unix.Accept4(int(fd), unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC)
			switch {
			case errors.Is(acceptErr, unix.EINTR), errors.Is(acceptErr, unix.ECONNABORTED):
			case acceptErr != nil:
				_ = unix.Shutdown(int(fd), unix.SHUT_RD) // Stops listening; Close below does otherwise.
				return
			default:
				files = append(files, os.NewFile(uintptr(conn), "caller"))
			}
		}
	})
	for _, file := range files {
		conn, fileErr := net.FileConn(file)
		_ = file.Close()
		if tcp, ok := conn.(*net.TCPConn); ok {
			l.pending = append(l.pending, l.add(tcp))
		}
		err = errors.Join(err, fileErr)
	}
	if err = errors.Join(err, l.Close()); err != nil {
		return fmt.Errorf("stop listening: %w", err)
	}
	return nil
}

// openConnections returns the number of open connections.
func (l *callerListener) openConnections() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.open)
}

// drained reports whether all connections that were accepted are closed and there
// will be no more.
func (l *callerListener) drained() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.ended && len(l.open) == 0
}

// closeSilent makes connections close that have been silent since a time.
func (l *callerListener) closeSilent(since time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.open {
		c.closeIfSilent(since)
	}
}

// callerConn is a connection of a caller, or of a router that hands over requests.
type callerConn struct {
	*net.TCPConn
	listener *callerListener

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

// callerConnKey is the key of a request's context for its callerConn.
type callerConnKey struct{}

// withCallerConn adds the connection of a caller to the context of its requests.
func withCallerConn(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, callerConnKey{}, conn)
}

// callerEnding returns the error with which reading from the connection of a request ended, or nil
// if it goes on.
func callerEnding(ctx context.Context) error {
	conn, ok := ctx.Value(callerConnKey{}).(*callerConn)
	if !ok {
		return nil
	}
	conn.mu.Lock()
	defer conn.mu.Unlock()
	return conn.ending
}

// recordState is the hook of the server for changes of a connection's state.
func recordState(conn net.Conn, state http.ConnState) {
	if c, ok := conn.(*callerConn); ok && (state == http.StateActive || state == http.StateIdle) {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.setSilent(state == http.StateIdle)
	}
}

// setSilent records whether the connection is silent. One that is not is kept. The
// caller holds c.mu.
func (c *callerConn) setSilent(silent bool) {
	c.silent, c.silentSince = silent, time.Now()
	if c.closing && !silent {
		c.closing = false
		_ = c.SetReadDeadline(time.Time{}) // Fails only if the connection is closed.
	}
}

// closeIfSilent ends reading if the connection has been silent since a time, after
// which the server closes it.
func (c *callerConn) closeIfSilent(since time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.silent && !c.silentSince.After(since) {
		c.closing = true
		_ = c.SetReadDeadline(time.Unix(1, 0)) // Fails only if the connection is closed.
	}
}

// Read implements net.Conn. On a connection that is to be closed it looks once more
// for what has arrived, as the deadline may pass before the process can read that.
func (c *callerConn) Read(b []byte) (int, error) {
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
	return n, err
}

// readArrived reads what has arrived without waiting, whatever the deadline is. It
// returns zero if there is nothing.
func (c *callerConn) readArrived(b []byte) int {
	n := 0
	raw, err := c.SyscallConn()
	if err != nil {
		return 0 // The connection is closed.
	}
	_ = raw.Control(func(fd uintptr) { n, _ = unix.Read(int(fd), b) }) // Fails only if the connection is closed.
	return max(n, 0)
}

// Close implements net.Conn.
func (c *callerConn) Close() error {
	c.listener.mu.Lock()
	delete(c.listener.open, c)
	c.listener.mu.Unlock()
	return c.TCPConn.Close()
}
