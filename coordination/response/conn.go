package response

import (
	"bytes"
	"context"
	"fmt"
	"net"
	"sync/atomic"
)

// DialFunc opens connections, like net.Dialer's DialContext.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// Checked returns a function that opens connections on which the head of each response is checked
// before a client gets any of it. It is for http.Transport, which has one exchange on a connection
// at a time, without TLS.
func Checked(dial DialFunc) DialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &checkedConn{Conn: conn}, nil
	}
}

// checkedConn checks the head of each response that it reads. One goroutine reads, and others may
// write.
type checkedConn struct {
	net.Conn

	// requested says that something was written since the head of the last response. What arrives
	// next is the head of another one.
	requested atomic.Bool

	// The fields below belong to the goroutine that reads. complete says that the head of the
	// current response was checked, and line is the part of the current line that has arrived.
	complete bool
	head     Head
	line     []byte
}

// Write implements net.Conn.
func (c *checkedConn) Write(b []byte) (int, error) {
	c.requested.Store(true)
	return c.Conn.Write(b) //nolint:wrapcheck // The transport tells the errors of sockets apart.
}

// Read implements net.Conn. It returns nothing of what is no head.
func (c *checkedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 0 && c.requested.Swap(false) && c.complete {
		c.complete, c.head = false, Head{}
	}
	if checkErr := c.check(b[:n]); checkErr != nil {
		return 0, fmt.Errorf("read response: %w", checkErr)
	}
	return n, err //nolint:wrapcheck // As above; a reader passes on io.EOF.
}

// check checks what arrived, up to the end of a head.
func (c *checkedConn) check(data []byte) error {
	for !c.complete && len(data) > 0 {
		length := bytes.IndexByte(data, '\n') + 1
		if length == 0 {
			length = len(data)
		}
		c.line = append(c.line, data[:length]...)
		ended := data[length-1] == '\n'
		data = data[length:]
		switch {
		case len(c.line) > MaxHeadBytes:
			return ErrTooLong
		case !ended:
			return nil
		}
		complete, err := c.head.AddLine(c.line)
		if err != nil {
			return err
		}
		c.complete, c.line = complete, c.line[:0]
	}
	return nil
}
