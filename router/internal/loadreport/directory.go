package loadreport

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/netip"
	"sync"
	"time"

	"snipetally.example/router/internal/datagram"
	"snipetally.example/router/internal/home"
	"snipetally.example/router/internal/placement"
)

const (
	// publishInterval is the interval at which a router publishes all its loads
	// again, since a datagram may be lost and homes change. heldTTL is how long
	// a home uses a load that is not published again.
	publishInterval = 500 * time.Millisecond
	heldTTL         = 3 * publishInterval

	// membersTTL is how long a list of the members is used.
	membersTTL = 100 * time.Millisecond
)

// LoadSource is a router's view of the load of engines. placement.Balancer
// implements it.
type LoadSource interface {
	// Load returns this router's load at an engine, and EngineLoads those at
	// all engines where it has requests.
	Load(server uint32) placement.Load
	EngineLoads() []placement.ServerLoad

	// SetPeerLoad takes the sum of the other routers' loads at an engine.
	SetPeerLoad(now time.Time, server uint32, load placement.Load)
}

// DirectoryConfig configures a directory.
type DirectoryConfig struct {
	// Address is the address to listen on. Members returns the addresses of the
	// directories of the other routers that are alive.
	Address netip.AddrPort
	Members func(now time.Time) []netip.AddrPort
	Loads   LoadSource

	// ReportError is called with failures. It must not block.
	ReportError func(error)
}

// Directory knows the current load of engines at all routers. One router, its
// home, is responsible for each engine; a hash decides which. Routers publish
// each change of their load at an engine to its home and ask the home before
// they choose, so that two of them do not choose the same idle engine at once.
// The cost of a request does not depend on the number of routers. If a home does
// not answer, the loads in the last reports are used.
type Directory struct {
	config DirectoryConfig

	// mu guards the fields below. It is held while Members is called. conn is
	// nil until Run has opened it.
	mu        sync.Mutex
	conn      net.PacketConn
	members   []netip.AddrPort
	membersAt time.Time

	// held are the loads at the engines whose home this router is, by engine and
	// router.
	held map[uint32]map[netip.AddrPort]heldLoad

	// questions are the questions that wait for answers, by their numbers;
	// lastQuestion is the number of the last one.
	questions    map[uint32]*question
	lastQuestion uint32

	// silentUntil is until when homes that did not answer are not asked.
	silentUntil map[netip.AddrPort]time.Time
}

// NewDirectory returns a directory. It opens no socket before Run.
func NewDirectory(config DirectoryConfig) *Directory {
	return &Directory{
		config:      config,
		held:        make(map[uint32]map[netip.AddrPort]heldLoad),
		questions:   make(map[uint32]*question),
		silentUntil: make(map[netip.AddrPort]time.Time),
	}
}

// Run receives and answers messages until the context ends.
func (d *Directory) Run(ctx context.Context) error {
	conn, err := datagram.Listen(ctx, d.config.Address)
	if err != nil {
		return fmt.Errorf("exchange loads: %w", err)
	}
	d.mu.Lock()
	d.conn = conn
	d.mu.Unlock()
	go d.publishLoop(ctx)
	if err := datagram.ReceiveAll(ctx, conn, d.receive, d.config.ReportError); err != nil {
		return fmt.Errorf("exchange loads: %w", err)
	}
	return nil
}

// publishLoop periodically publishes all loads until the context ends.
func (d *Directory) publishLoop(ctx context.Context) {
	ticker := time.NewTicker(publishInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		now := time.Now()
		d.dropExpired(now)
		for home, loads := range d.byHome(now, d.config.Loads.EngineLoads()) {
			d.publishTo(home, loads)
		}
	}
}

// Publish tells the home of an engine this router's load there.
func (d *Directory) Publish(server uint32) {
	load := placement.ServerLoad{Server: server, Load: d.config.Loads.Load(server)}
	d.publishTo(d.home(time.Now(), server), []placement.ServerLoad{load})
}

// publishTo sends loads to a home, or stores them if it is this router.
func (d *Directory) publishTo(home netip.AddrPort, loads []placement.ServerLoad) {
	if home == d.config.Address {
		d.hold(time.Now(), home, loads)
		return
	}
	if err := d.send(home, directoryMessage{Loads: loads}); err != nil {
		d.config.ReportError(err)
	}
}

// receive handles a message of another router.
func (d *Directory) receive(sender netip.AddrPort, data []byte) error {
	m, err := decodeDirectory(data)
	if err != nil {
		return err
	}
	now := time.Now()
	if m.Answer {
		for _, l := range m.Loads {
			d.config.Loads.SetPeerLoad(now, l.Server, l.Load)
		}
		d.recordAnswer(sender, m.Question)
		return nil
	}
	d.hold(now, sender, m.Loads)
	if m.Question == 0 {
		return nil
	}
	return d.send(sender, directoryMessage{Question: m.Question, Answer: true, Loads: d.sums(now, sender, m.Loads)})
}

// byHome groups loads by the homes of their engines.
func (d *Directory) byHome(now time.Time, loads []placement.ServerLoad) map[netip.AddrPort][]placement.ServerLoad {
	homes := make(map[netip.AddrPort][]placement.ServerLoad)
	for _, l := range loads {
		home := d.home(now, l.Server)
		homes[home] = append(homes[home], l)
	}
	return homes
}

// home returns the home of an engine.
func (d *Directory) home(now time.Time, server uint32) netip.AddrPort {
	d.mu.Lock()
	defer d.mu.Unlock()
	if now.Sub(d.membersAt) > membersTTL {
		d.members, d.membersAt = d.config.Members(now), now
	}
	return home.Of(uint64(server), d.config.Address, d.members)
}

// send sends a message, in several datagrams if there are too many loads for one. The first answer to one of them
// answers the question; all are applied.
func (d *Directory) send(to netip.AddrPort, m directoryMessage) error {
	d.mu.Lock()
	conn := d.conn
	d.mu.Unlock()
	if conn == nil {
		return nil // Not running yet; the loads are published again.
	}
	data, err := encodeDirectory(m)
	if err != nil {
		return err
	}
	if half := len(m.Loads) / 2; len(data) > datagram.MaxSize && half > 0 {
		rest := m
		m.Loads, rest.Loads = m.Loads[:half], m.Loads[half:]
		return errors.Join(d.send(to, m), d.send(to, rest))
	}
	if _, err := conn.WriteTo(data, net.UDPAddrFromAddrPort(to)); err != nil {
		return fmt.Errorf("send load to %s: %w", to, err)
	}
	return nil
}
