// Package exchange carries demand for backend servers and the use of teams'
// limits between routers, in datagrams. What is lost is told again in the next
// period. It imports share, limit and the wire contract.
package exchange

import (
	"context"
	"fmt"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/juju/errors"

	"snipetally.example/router/internal/limit"
	"snipetally.example/router/internal/share"
	"snipetally.example/wire/demand"
)

const (
	// usagesEach is the number of teams in one datagram.
	usagesEach = 40

	// maxAge is the age at which a packet is dropped, by the clocks of the two
	// VMs. It bounds what a repeated datagram can do.
	maxAge = time.Minute

	// forget is the number of senders whose last packets are remembered.
	forget = 4096
)

// Receiver takes in what other routers tell. *schedule.Receiver is one.
type Receiver interface {
	Hear(note share.DemandReport)
	HearLimit(message limit.Message)
}

// Directory finds the other routers.
type Directory interface {
	// Routers returns the names of the live routers.
	Routers() []string

	// Address returns the address of a router, an IP address and port.
	Address(router string) (address string, ok bool)
}

// Statistics counts datagrams and their bytes.
type Statistics struct {
	Sent          uint64
	SentBytes     uint64
	Received      uint64
	ReceivedBytes uint64

	// Dropped counts datagrams that were old, repeated or not sealed.
	Dropped uint64
}

// Exchange sends and receives datagrams. It implements schedule.Exchange.
type Exchange struct {
	self   string
	conn   net.PacketConn
	sealer *demand.Signer
	group  Directory

	// mu guards the fields below.
	mu         sync.Mutex
	last       map[sender]int64
	statistics Statistics
}

// sender is a router and a kind of packet.
type sender struct {
	router string
	limits bool
}

// New returns an exchange over a datagram connection, which it owns.
func New(self string, conn net.PacketConn, keys []string, group Directory) *Exchange {
	return &Exchange{
		self:   self,
		conn:   conn,
		sealer: demand.NewSigner(keys),
		group:  group,
		last:   make(map[sender]int64),
	}
}

// Routers implements schedule.Exchange.
func (e *Exchange) Routers() []string {
	return e.group.Routers()
}

// SendDemand implements schedule.Exchange.
func (e *Exchange) SendDemand(to string, note share.DemandReport) {
	e.send(to, &demand.Packet{Body: &demand.Packet_Note{Note: noteToWire(note)}})
}

// SendLimit implements schedule.Exchange.
func (e *Exchange) SendLimit(message limit.Message) {
	usages := message.Teams
	for len(usages) > 0 {
		n := min(len(usages), usagesEach)
		e.send(message.To, &demand.Packet{Body: &demand.Packet_Limits{Limits: limitsToWire(usages[:n])}})
		usages = usages[n:]
	}
}

// Statistics returns the counts so far.
func (e *Exchange) Statistics() Statistics {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.statistics
}

func (e *Exchange) send(to string, packet *demand.Packet) {
	text, ok := e.group.Address(to)
	if !ok {
		return
	}
	address, err := netip.ParseAddrPort(text)
	if err != nil {
		return
	}
	packet.From = e.self
	packet.AtMs = time.Now().UnixMilli()
	datagram, err := e.sealer.Sign(packet)
	if err != nil {
		return
	}
	if _, err := e.conn.WriteTo(datagram, net.UDPAddrFromAddrPort(address)); err != nil {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.statistics.Sent++
	e.statistics.SentBytes += uint64(len(datagram))
}

// Run passes what arrives to the gate until the context ends, and closes the
// connection.
func (e *Exchange) Run(ctx context.Context, gate Receiver) error {
	stop := context.AfterFunc(ctx, func() { _ = e.conn.Close() })
	defer stop()
	buffer := make([]byte, demand.MaxDatagram)
	for {
		n, _, err := e.conn.ReadFrom(buffer)
		if ctx.Err() != nil || errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			return fmt.Errorf("receive datagram: %w", err)
		}
		if packet, ok := e.open(buffer[:n]); ok {
			deliver(gate, e.self, packet)
		}
	}
}

// open returns the packet of a datagram, unless it is to be dropped.
func (e *Exchange) open(datagram []byte) (*demand.Packet, bool) {
	packet, err := e.sealer.Verify(datagram)
	e.mu.Lock()
	defer e.mu.Unlock()
	e.statistics.Received++
	e.statistics.ReceivedBytes += uint64(len(datagram))
	if err != nil || !e.fresh(packet) {
		e.statistics.Dropped++
		return nil, false
	}
	return packet, true
}

// fresh reports whether a packet is newer than the last of its sender. Parts of
// one message about limits share a time. The caller holds e.mu.
func (e *Exchange) fresh(packet *demand.Packet) bool {
	age := time.Since(time.UnixMilli(packet.GetAtMs()))
	if age > maxAge || age < -maxAge {
		return false
	}
	key := sender{router: packet.GetFrom(), limits: packet.GetLimits() != nil}
	last := e.last[key]
	if packet.GetAtMs() < last || packet.GetAtMs() == last && !key.limits {
		return false
	}
	if len(e.last) >= forget {
		clear(e.last)
	}
	e.last[key] = packet.GetAtMs()
	return true
}

// deliver passes a packet to the gate.
func deliver(gate Receiver, self string, packet *demand.Packet) {
	switch {
	case packet.GetNote() != nil:
		gate.Hear(noteFromWire(packet.GetFrom(), packet.GetNote()))
	case packet.GetLimits() != nil:
		gate.HearLimit(limitsFromWire(packet.GetFrom(), self, packet.GetLimits()))
	}
}
