package hop

import (
	"fmt"
	"syscall"
	"time"

	"github.com/juju/errors"
	"golang.org/x/sys/unix"
)

const (
	// maxSingleWrite is the length up to which a request is written before its
	// response is read, in bytes. Socket buffers hold that much even if the peer
	// does not read.
	maxSingleWrite = 16 << 10

	// deliveryPollInterval is the interval at which the end of a connection is checked for what the
	// server's system has not taken.
	deliveryPollInterval = time.Millisecond

	// errNotTaken means that a connection ended before its server had the whole request.
	errNotTaken = errors.ConstError("connection ended before the request was delivered")
)

// requestWrite is the writing of one request. A long one is written while its response is read, as
// the server may respond before it has read the whole body.
type requestWrite struct {
	// done is closed when the writing has ended, with err or with nil.
	done chan struct{}
	err  error
}

// startWrite writes a request: a short one before it returns, and a long one meanwhile. n is the
// number of bytes of a short one that were written.
func startWrite(c *conn, head, body []byte) (write *requestWrite, n int, err error) {
	write = &requestWrite{done: make(chan struct{})}
	if len(head)+len(body) > maxSingleWrite {
		go write.run(c, head, body)
		return write, 0, nil
	}
	defer close(write.done)
	n, write.err = c.Write(append(head, body...))
	return write, n, write.err
}

// run writes a long request. The goroutine that reads the response sees a broken connection too.
func (w *requestWrite) run(c *conn, head, body []byte) {
	defer close(w.done)
	for _, part := range [][]byte{head, body} {
		if _, err := c.Write(part); err != nil {
			w.err = err
			return
		}
	}
}

// complete reports whether the whole request was written.
func (w *requestWrite) complete() bool {
	select {
	case <-w.done:
		return w.err == nil
	default:
		return false
	}
}

// delivered waits until the server's system has taken the whole request. It returns an error if the
// connection ended before. A reset is reported to a reader or to a writer, but not to both: a reader
// that sees an end can't tell it from a reset that a writer saw. The connection is closed when the
// exchange has to end.
func (w *requestWrite) delivered(c *conn) error {
	<-w.done
	if w.err != nil {
		return fmt.Errorf("%w: %w", errNotTaken, w.err)
	}
	tcp, ok := c.Conn.(syscall.Conn)
	if !ok {
		return nil
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return fmt.Errorf("%w: %w", errNotTaken, err)
	}
	for {
		unsent, err := pending(raw)
		if err != nil {
			return fmt.Errorf("%w: %w", errNotTaken, err)
		}
		if unsent == 0 {
			return nil
		}
		time.Sleep(deliveryPollInterval)
	}
}

// pending returns the number of bytes that the peer's system has not taken. The error is that of the
// socket. Where the system does not tell the number, it is zero.
func pending(raw syscall.RawConn) (bytes int, err error) {
	controlErr := raw.Control(func(fd uintptr) {
		if n, ioctlErr := unix.IoctlGetInt(int(fd), unix.SIOCOUTQ); ioctlErr == nil {
			bytes = n
		}
		code, optErr := unix.GetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_ERROR)
		if optErr == nil && code != 0 {
			err = unix.Errno(code)
		}
	})
	if controlErr != nil {
		return 0, fmt.Errorf("access socket: %w", controlErr)
	}
	return bytes, err
}
