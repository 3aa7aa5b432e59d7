package hop

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"snipetally.example/router/internal/inbound"
)

const (
	// dialTimeout bounds the opening of a connection. A server accepts one
	// within milliseconds, while a lost packet is retransmitted only after a
	// second.
	dialTimeout = 300 * time.Millisecond

	// unresponsiveTimeout is how long the host of a server may acknowledge
	// nothing, neither sent bytes nor keep-alive probes, before the connection
	// counts as broken. A host that is silent for less may go on, and a request
	// may run on it only once. After a silence of up to 1.5 s TCP sends again
	// what was lost up to 3 s after it began.
	unresponsiveTimeout = 4 * time.Second

	// keepAliveIdle is the time without input after which the first probe is
	// sent. With unresponsiveTimeout set, Linux drops a connection with an
	// unanswered probe as soon as there has been no input for that time,
	// whatever the number of probes. Other systems count the probes.
	keepAliveIdle     = time.Second
	keepAliveInterval = time.Second
	keepAliveCount    = 3

	// defaultIdleTime is how long an idle connection is kept if the server
	// states no timeout. idleMargin is how much earlier than the server the
	// router closes an idle connection, so that no request is sent while the
	// server closes it.
	defaultIdleTime = 3 * time.Second
	idleMargin      = time.Second

	// maxIdleSeconds bounds the timeout that a server states, in seconds.
	maxIdleSeconds = 3600

	readBufferSize = 4 << 10
)

// conn is a connection to a backend server. It carries one exchange at a time.
type conn struct {
	net.Conn

	reader *bufio.Reader
	reused bool

	// expires is the time from which an idle connection is not reused.
	expires time.Time
}

// dial opens a connection from a local address, or any if that is invalid, that detects an unresponsive peer with keep-alive
// probes and a limit on unacknowledged bytes.
func dial(ctx context.Context, local netip.Addr, address string) (*conn, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	dialer := &net.Dialer{
		Control: func(_, _ string, raw syscall.RawConn) error {
			return errors.Join(setUserTimeout(raw), inbound.LimitReceiveBuffer(raw))
		},
		KeepAliveConfig: net.KeepAliveConfig{
			Enable:   true,
			Idle:     keepAliveIdle,
			Interval: keepAliveInterval,
			Count:    keepAliveCount,
		},
	}
	if local.IsValid() {
		dialer.LocalAddr = net.TCPAddrFromAddrPort(netip.AddrPortFrom(local, 0))
	}
	inner, err := dialer.DialContext(ctx, "tcp4", address)
	if err != nil {
		return nil, fmt.Errorf("connect to %s: %w", address, err)
	}
	return &conn{Conn: inner, reader: bufio.NewReaderSize(inner, readBufferSize)}, nil
}

// setUserTimeout bounds how long sent bytes may stay unacknowledged.
func setUserTimeout(raw syscall.RawConn) error {
	var optErr error
	err := raw.Control(func(fd uintptr) {
		optErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unresponsiveTimeout.Milliseconds()))
	})
	if err != nil {
		return fmt.Errorf("access socket: %w", err)
	}
	if optErr != nil {
		return fmt.Errorf("set TCP_USER_TIMEOUT: %w", optErr)
	}
	return nil
}

// usable reports whether nothing has arrived on an idle connection: neither its
// end nor bytes that belong to no response.
func (c *conn) usable() bool {
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
	empty := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, err := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		empty = err == unix.EAGAIN
		return true
	})
	return err == nil && empty
}

// keepAliveTime returns how long the connection may be kept idle after a
// response with this header.
func keepAliveTime(header http.Header) time.Duration {
	for _, field := range strings.Split(header.Get("Keep-Alive"), ",") {
		text, ok := strings.CutPrefix(strings.TrimSpace(field), "timeout=")
		if !ok {
			continue
		}
		if seconds, err := strconv.Atoi(text); err == nil {
			return time.Duration(min(seconds, maxIdleSeconds))*time.Second - idleMargin
		}
	}
	return defaultIdleTime
}
