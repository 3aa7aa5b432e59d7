package inbound

import (
	"context"
	"errors"
	"fmt"
	"net"
	"os"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Listener accepts connections within the limits of a guard, and knows those that are open. A
// process that stops closes the listener first, and its connections once they are silent;
// http.Server.Shutdown is not used, as it drops requests that it reads.
type Listener struct {
	*net.TCPListener
	guard *Guard

	// mu guards the fields below. It may be locked before the mutex of a connection, and before the
	// guard's, not after them.
	mu   sync.Mutex
	open map[*Conn]struct{}

	// pending are connections that the kernel had accepted when the listener
	// was closed. ended says that Accept returns no more connections.
	closed  bool
	pending []*Conn
	ended   bool
}

// Listen listens at a TCP address. Connections have small socket buffers, which peers can fill.
func (g *Guard) Listen(ctx context.Context, address string) (*Listener, error) {
	config := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error { return limitBuffers(raw) }}
	listener, err := config.Listen(ctx, "tcp4", address)
	if err != nil {
		return nil, fmt.Errorf("listen at %s: %w", address, err)
	}
	return &Listener{TCPListener: listener.(*net.TCPListener), guard: g, open: make(map[*Conn]struct{})}, nil
}

// LimitReceiveBuffer bounds what a socket receives ahead, which the system would let grow. It is
// called before the socket is connected or listens.
func LimitReceiveBuffer(raw syscall.RawConn) error {
	return setBuffer(raw, unix.SO_RCVBUF, receiveBufferBytes)
}

// limitBuffers bounds both buffers of a socket.
func limitBuffers(raw syscall.RawConn) error {
	return errors.Join(LimitReceiveBuffer(raw), setBuffer(raw, unix.SO_SNDBUF, sendBufferBytes))
}

// setBuffer sets the size of a buffer of a socket.
func setBuffer(raw syscall.RawConn, option, bytes int) error {
	var optErr error
	err := raw.Control(func(fd uintptr) { optErr = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, option, bytes) })
	if err = errors.Join(err, optErr); err != nil {
		return fmt.Errorf("set buffer of socket: %w", err)
	}
	return nil
}

// Accept implements net.Listener. Once the listener is closed, it returns the
// connections that are pending, and then net.ErrClosed.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		conn, err := l.AcceptTCP()
		if (errors.Is(err, unix.EMFILE) || errors.Is(err, unix.ENFILE)) && l.guard.evictLongestWaiting() {
			continue
		}
		c, err := l.accepted(conn, err)
		if err != nil {
			return nil, err // The server handles temporary errors by their type.
		}
		if l.guard.admit(c) {
			return c, nil
		}
		_ = c.Close() // Its request was not read.
	}
}

// accepted returns the connection that the listener has accepted, or the next one that is pending.
func (l *Listener) accepted(conn *net.TCPConn, err error) (*Conn, error) {
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
	return nil, err //nolint:wrapcheck // The server tells the errors of sockets apart.
}

// add adds a connection. The caller holds l.mu.
func (l *Listener) add(conn *net.TCPConn) *Conn {
	c := &Conn{TCPConn: conn, listener: l, guard: l.guard, silent: true, silentSince: time.Now()}
	l.open[c] = struct{}{}
	return c
}

// forget removes a connection that is closed.
func (l *Listener) forget(c *Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.open, c)
}

// StopListening closes the listener after it has taken all connections that the
// kernel accepted. Nothing runs between the last look for one and the closing.
func (l *Listener) StopListening() error {
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

// OpenConnections returns the number of open connections.
func (l *Listener) OpenConnections() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.open)
}

// Drained reports whether all connections that were accepted are closed and there
// will be no more.
func (l *Listener) Drained() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.ended && len(l.open) == 0
}

// CloseSilent makes connections close that have been silent since a time.
func (l *Listener) CloseSilent(since time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.open {
		c.closeIfSilent(since)
	}
}
