package loadreport_test

import (
	"context"
	"encoding/binary"
	"net"
	"net/netip"
	"sync"
	"time"

	"snipetally.example/router/internal/loadreport"
	"snipetally.example/router/internal/placement"
)

// networkDelay is the time of a datagram between two routers in virtual time.
const networkDelay = time.Millisecond

// memoryNetwork carries datagrams between routers in virtual time, in a synctest bubble.
type memoryNetwork struct {
	// mu guards the fields below. received is the number of datagrams sent to each address.
	mu       sync.Mutex
	sockets  map[netip.AddrPort]*memorySocket
	received map[netip.AddrPort]int
}

// newMemoryNetwork returns a network without sockets.
func newMemoryNetwork() *memoryNetwork {
	return &memoryNetwork{sockets: make(map[netip.AddrPort]*memorySocket), received: make(map[netip.AddrPort]int)}
}

// memoryDatagram is a datagram on its way.
type memoryDatagram struct {
	from netip.AddrPort
	data []byte
}

// memorySocket is the socket of a router.
type memorySocket struct {
	net.PacketConn
	network  *memoryNetwork
	address  netip.AddrPort
	incoming chan memoryDatagram
	ended    context.Context
}

// listen opens the socket of a router until the context ends.
func (n *memoryNetwork) listen(ctx context.Context, address netip.AddrPort) (net.PacketConn, error) {
	s := &memorySocket{network: n, address: address, incoming: make(chan memoryDatagram, 4096), ended: ctx}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.sockets[address] = s
	return s, nil
}

// sentTo returns how many datagrams were sent to an address so far.
func (n *memoryNetwork) sentTo(address netip.AddrPort) int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.received[address]
}

// ReadFrom implements net.PacketConn.
func (s *memorySocket) ReadFrom(b []byte) (int, net.Addr, error) {
	select {
	case <-s.ended.Done():
		return 0, nil, net.ErrClosed
	case d := <-s.incoming:
		return copy(b, d.data), net.UDPAddrFromAddrPort(d.from), nil
	}
}

// WriteTo implements net.PacketConn.
func (s *memorySocket) WriteTo(b []byte, to net.Addr) (int, error) {
	n, target := s.network, to.(*net.UDPAddr).AddrPort()
	n.mu.Lock()
	defer n.mu.Unlock()
	n.received[target]++
	socket := n.sockets[target]
	if socket == nil || socket.ended.Err() != nil {
		return len(b), nil
	}
	d := memoryDatagram{from: s.address, data: append([]byte(nil), b...)}
	time.AfterFunc(networkDelay, func() {
		select {
		case socket.incoming <- d:
		default: // The buffer is full.
		}
	})
	return len(b), nil
}

// Close implements net.PacketConn.
func (s *memorySocket) Close() error { return nil }

// routerAddress returns the address of a router by its number.
func routerAddress(number int) netip.AddrPort {
	var ip [4]byte
	binary.BigEndian.PutUint32(ip[:], 0x0a000000+uint32(number)+1)
	return netip.AddrPortFrom(netip.AddrFrom4(ip), 7340)
}

// idleBalancer has no loads to report.
type idleBalancer struct{}

// LoadReport implements loadreport.Balancer.
func (idleBalancer) LoadReport(time.Time) placement.LoadReport { return placement.LoadReport{} }

// ApplyReport implements loadreport.Balancer.
func (idleBalancer) ApplyReport(time.Time, string, placement.LoadReport) {}

// newIdleBroadcaster returns the broadcaster of a router on the network.
func (n *memoryNetwork) newIdleBroadcaster(number int, seeds func() []netip.AddrPort) *loadreport.Broadcaster {
	return loadreport.New(loadreport.Config{
		Address: routerAddress(number), Seeds: seeds, Balancer: idleBalancer{}, Listen: n.listen,
		PlanAge:     func() (time.Duration, bool) { return 0, true },
		Proofs:      func() loadreport.Proofs { return loadreport.Proofs{} },
		HearProofs:  func(loadreport.Proofs) {},
		ReportError: func(error) {},
	})
}
