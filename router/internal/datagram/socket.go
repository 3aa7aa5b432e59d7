package datagram

import (
	"context"
	"fmt"
	"net"
	"net/netip"
	"sync"
)

// Socket exchanges datagrams with other routers. Its methods are safe for concurrent use.
type Socket struct {
	own    netip.AddrPort
	report func(error)

	// mu guards conn, which is nil until the socket is open.
	mu   sync.Mutex
	conn net.PacketConn
}

// NewSocket returns a socket of a router that is not open yet. Failures to send and to
// receive are passed to report, which must not block.
func NewSocket(own netip.AddrPort, report func(error)) *Socket {
	return &Socket{own: own, report: report}
}

// Open opens the socket with a function such as Listen.
func (s *Socket) Open(ctx context.Context, listen func(context.Context, netip.AddrPort) (net.PacketConn, error)) error {
	conn, err := listen(ctx, s.own)
	if err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.conn = conn
	return nil
}

// IsOpen reports whether the socket is open.
func (s *Socket) IsOpen() bool { return s.current() != nil }

// current returns the connection, or nil.
func (s *Socket) current() net.PacketConn {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.conn
}

// ReceiveAll passes each datagram with its sender to a function until the context ends.
// The socket must be open.
func (s *Socket) ReceiveAll(ctx context.Context, handle func(netip.AddrPort, []byte) error) error {
	return ReceiveAll(ctx, s.current(), handle, s.report)
}

// Send sends a datagram to routers, but not to this one. Before the socket is open it
// sends nothing.
func (s *Socket) Send(data []byte, routers []netip.AddrPort) {
	conn := s.current()
	if conn == nil {
		return
	}
	for _, router := range routers {
		if router == s.own {
			continue
		}
		if _, err := conn.WriteTo(data, net.UDPAddrFromAddrPort(router)); err != nil {
			s.report(fmt.Errorf("send to %s: %w", router, err))
		}
	}
}
