package sharedrate_test

import (
	"context"
	"net"
	"net/netip"
	"time"
)

// udpHeader is the size of the headers of a datagram, in bytes.
const udpHeader = 28

// datagram is a datagram on its way.
type datagram struct {
	from netip.AddrPort
	data []byte
}

// fakeConn is the socket of a router in virtual time.
type fakeConn struct {
	net.PacketConn
	router   *router
	incoming chan datagram
	ended    context.Context
}

// ReadFrom implements net.PacketConn.
func (c *fakeConn) ReadFrom(b []byte) (int, net.Addr, error) {
	select {
	case <-c.ended.Done():
		return 0, nil, net.ErrClosed
	case d := <-c.incoming:
		<-c.router.whenRunning()
		return copy(b, d.data), net.UDPAddrFromAddrPort(d.from), nil
	}
}

// WriteTo implements net.PacketConn.
func (c *fakeConn) WriteTo(b []byte, to net.Addr) (int, error) {
	<-c.router.whenRunning()
	f := c.router.fleet
	c.router.sent.Add(int64(len(b) + udpHeader))
	target := f.router(to.(*net.UDPAddr).AddrPort())
	if target == nil || f.float() < f.loss {
		return len(b), nil
	}
	d := datagram{from: c.router.address, data: append([]byte(nil), b...)}
	time.AfterFunc(time.Duration(f.float()*float64(f.delay)), func() { target.deliver(c.router.number, d) })
	return len(b), nil
}

// router returns the router with an address, or nil.
func (f *fleet) router(address netip.AddrPort) *router {
	a := address.Addr().Unmap().As4()
	if n := int(a[2])<<8 | int(a[3]); n < len(f.routers) {
		return f.routers[n]
	}
	return nil
}

// deliver passes a datagram to the present process of a router.
func (r *router) deliver(from int, d datagram) {
	if !r.fleet.isConnected(from, r.number) {
		return
	}
	r.mu.Lock()
	conn := r.conn
	r.mu.Unlock()
	select {
	case conn.incoming <- d:
	default: // The buffer is full.
	}
}
