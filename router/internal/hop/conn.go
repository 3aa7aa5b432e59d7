package hop

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// dialTimeout bounds the opening of a connection. A server opens one in
	// milliseconds; a packet that is lost is sent again only after a second.
	dialTimeout = 300 * time.Millisecond

	// unackedTimeout is how long bytes may stay unacknowledged before the
	// connection counts as broken.
	unackedTimeout = 1500 * time.Millisecond

	keepAliveIdle     = 2 * time.Second
	keepAliveInterval = 500 * time.Millisecond
	keepAliveCount    = 3

	// idleTime is how long an unused connection is kept if the server states
	// no time of its own, and idleMargin how much earlier than the server the
	// router gives it up, so that no request crosses the server's close.
	idleTime   = 3 * time.Second
	idleMargin = time.Second

	readBuffer = 4 << 10
)

// conn is a connection to a backend server. It carries one exchange at a time.
type conn struct {
	net.Conn
	reader *bufio.Reader
	reused bool

	// expires is when an unused connection is given up.
	expires time.Time
}

// dial opens a connection that notices a silent peer.
func dial(ctx context.Context, address string) (*conn, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	dialer := &net.Dialer{
		Control: func(_, _ string, raw syscall.RawConn) error { return limitUnacked(raw) },
		KeepAliveConfig: net.KeepAliveConfig{
			Enable:   true,
			Idle:     keepAliveIdle,
			Interval: keepAliveInterval,
			Count:    keepAliveCount,
		},
	}
	inner, err := dialer.DialContext(ctx, "tcp4", address)
	if err != nil {
		return nil, fmt.Errorf("connect to %s: %w", address, err)
	}
	return &conn{Conn: inner, reader: bufio.NewReaderSize(inner, readBuffer)}, nil
}

// limitUnacked bounds how long sent bytes may stay unacknowledged.
func limitUnacked(raw syscall.RawConn) error {
	var failed error
	err := raw.Control(func(fd uintptr) {
		failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unackedTimeout.Milliseconds()))
	})
	if err != nil {
		return fmt.Errorf("reach socket: %w", err)
	}
	if failed != nil {
		return fmt.Errorf("set timeout of unacknowledged bytes: %w", failed)
	}
	return nil
}

// quiet reports whether nothing has come on an unused connection: neither its
// end nor bytes that belong to no answer.
func (c *conn) quiet() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	tcp, ok := c.Conn.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, err := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		quiet = err == unix.EAGAIN
		return true
	})
	return err == nil && quiet
}

// keepTime returns how long the connection of an answer may be kept unused.
func keepTime(header http.Header) time.Duration {
	for _, field := range strings.Split(header.Get("Keep-Alive"), ",") {
		text, ok := strings.CutPrefix(strings.TrimSpace(field), "timeout=")
		if !ok {
			continue
		}
		if seconds, err := strconv.Atoi(text); err == nil {
			return time.Duration(seconds)*time.Second - idleMargin
		}
	}
	return idleTime
}
