// Package exchange sends demand for backend servers and messages about team
// limits between routers, in datagrams. Lost datagrams are not retransmitted;
// the next period sends the current state. The package imports share, limit and
// the protocol package demand.
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
	// maxTeamsPerDatagram is the maximum number of teams in one datagram.
	maxTeamsPerDatagram = 40

	// maxAge is the age of a packet, by the clocks of the two VMs, beyond which
	// it is dropped, as is one from that far in the future. It bounds the effect
	// of a replayed datagram.
	maxAge = time.Minute

	// maxSenders is the maximum number of senders, counted for each kind of
	// packet, whose last packet times are remembered. All are forgotten when it
	// is reached.
	maxSenders = 4096
)

// Receiver processes the messages of other routers. *schedule.Gate implements
// it.
type Receiver interface {
	ReceiveDemand(report share.DemandReport)
	ReceiveLimits(message limit.Message)
}

// Directory looks up the other routers.
type Directory interface {
	// Routers returns the names of the live routers.
	Routers() []string

	// Address returns the IP address and port of a router.
	Address(router string) (address string, ok bool)
}

// Statistics counts datagrams and their bytes.
type Statistics struct {
	Sent          uint64
	SentBytes     uint64
	Received      uint64
	ReceivedBytes uint64

	// Dropped counts datagrams that were old, repeated, malformed or had no
	// valid MAC.
	Dropped uint64
}

// Exchange sends and receives datagrams. It implements schedule.Exchange.
type Exchange struct {
	self      string
	conn      net.PacketConn
	signer    *demand.Signer
	directory Directory

	// mu guards the fields below.
	mu sync.Mutex

	// lastAtMs holds the time of the newest packet of each sender and kind, as
	// Unix time in milliseconds.
	lastAtMs   map[senderKey]int64
	statistics Statistics
}

// senderKey identifies a router and a kind of packet.
type senderKey struct {
	router string
	limits bool
}

// New returns an exchange over a datagram connection, of which it takes
// ownership. It signs datagrams with the first of the keys, and accepts those
// signed with any of them.
func New(self string, conn net.PacketConn, keys []string, directory Directory) *Exchange {
	return &Exchange{
		self:      self,
		conn:      conn,
		signer:    demand.NewSigner(keys),
		directory: directory,
		lastAtMs:  make(map[senderKey]int64),
	}
}

// Routers implements schedule.Exchange.
func (e *Exchange) Routers() []string {
	return e.directory.Routers()
}

// SendDemand implements schedule.Exchange.
func (e *Exchange) SendDemand(to string, report share.DemandReport) {
	e.send(to, &demand.Packet{Body: &demand.Packet_Note{Note: reportToWire(report)}})
}

// SendLimits implements schedule.Exchange.
func (e *Exchange) SendLimits(message limit.Message) {
	teams := message.Teams
	for len(teams) > 0 {
		n := min(len(teams), maxTeamsPerDatagram)
		e.send(message.To, &demand.Packet{Body: &demand.Packet_Limits{Limits: limitsToWire(teams[:n])}})
		teams = teams[n:]
	}
}

// Statistics returns the counts so far.
func (e *Exchange) Statistics() Statistics {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.statistics
}

// send signs a packet and sends it to a router. Errors are ignored: a packet
// that is not sent counts as lost.
func (e *Exchange) send(to string, packet *demand.Packet) {
	text, ok := e.directory.Address(to)
	if !ok {
		return
	}
	address, err := netip.ParseAddrPort(text)
	if err != nil {
		return
	}
	packet.From = e.self
	packet.AtMs = time.Now().UnixMilli()
	datagram, err := e.signer.Sign(packet)
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

// Run passes received packets to the receiver until ctx ends, and then returns
// nil, or until a packet can't be received. It closes the connection.
func (e *Exchange) Run(ctx context.Context, receiver Receiver) error {
	closeConn := func() { _ = e.conn.Close() }
	defer closeConn()
	defer context.AfterFunc(ctx, closeConn)()
	buffer := make([]byte, demand.MaxDatagram)
	for {
		n, _, err := e.conn.ReadFrom(buffer)
		if ctx.Err() != nil || errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			return fmt.Errorf("receive datagram: %w", err)
		}
		if packet, ok := e.verify(buffer[:n]); ok {
			deliver(receiver, e.self, packet)
		}
	}
}

// verify counts a received datagram, checks its signature and time, and returns
// its packet. It reports false if the datagram must be dropped.
func (e *Exchange) verify(datagram []byte) (*demand.Packet, bool) {
	packet, err := e.signer.Verify(datagram)
	e.mu.Lock()
	defer e.mu.Unlock()
	e.statistics.Received++
	e.statistics.ReceivedBytes += uint64(len(datagram))
	if err != nil || !e.isNew(packet) {
		e.statistics.Dropped++
		return nil, false
	}
	return packet, true
}

// isNew reports whether a packet is newer than the last one of its kind from
// its sender. The datagrams of one message about limits may have the same time.
// The caller holds e.mu.
func (e *Exchange) isNew(packet *demand.Packet) bool {
	age := time.Since(time.UnixMilli(packet.GetAtMs()))
	if age > maxAge || age < -maxAge {
		return false
	}
	key := senderKey{router: packet.GetFrom(), limits: packet.GetLimits() != nil}
	last := e.lastAtMs[key]
	if packet.GetAtMs() < last || packet.GetAtMs() == last && !key.limits {
		return false
	}
	if len(e.lastAtMs) >= maxSenders {
		clear(e.lastAtMs)
	}
	e.lastAtMs[key] = packet.GetAtMs()
	return true
}

// deliver passes a packet to the receiver.
func deliver(receiver Receiver, self string, packet *demand.Packet) {
	switch {
	case packet.GetNote() != nil:
		receiver.ReceiveDemand(reportFromWire(packet.GetFrom(), packet.GetNote()))
	case packet.GetLimits() != nil:
		receiver.ReceiveLimits(limitsFromWire(packet.GetFrom(), self, packet.GetLimits()))
	}
}
