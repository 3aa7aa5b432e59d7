// Package notice exchanges notes between the routers of an installation, in
// datagrams. Each router tells every other one what it has at the backend
// servers. A lost note is replaced by the next one, and a router that is
// silent is forgotten, so that nothing rests on a note but how well work is
// spread.
//
// Routers find each other from a few seeds: a note names some routers that its
// sender heard of, and who gets a note from an unknown router answers with its
// own.
package notice

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/juju/errors"

	"snipetally.example/router/internal/placement"
)

const (
	// shortestPeriod is the time between two notes in a small installation.
	shortestPeriod = 100 * time.Millisecond

	// sendsPerSecond bounds the datagrams that a router sends; with many
	// routers the period grows.
	sendsPerSecond = 100

	// silence is how long a router that is not heard still gets notes, and
	// hearsay how long one that was only heard of.
	silence = 10 * time.Second
	hearsay = 3 * time.Second

	// recent is how long what a router told of its plan counts.
	recent = 2 * time.Second

	// introductions is the number of other routers that a note names.
	introductions = 3

	// largestNote bounds a datagram, in bytes.
	largestNote = 16 << 10
)

// Balancer takes and gives the notes. placement.Balancer implements it.
type Balancer interface {
	Note(now time.Time) placement.LoadReport
	Hear(now time.Time, name string, note placement.LoadReport)
}

// Config describes an exchange.
type Config struct {
	// Address is where the router listens, Seeds are some others.
	Address  netip.AddrPort
	Seeds    []netip.AddrPort
	Balancer Balancer

	// PlanAge returns how old the router's plan may be, or a negative time while
	// there is none.
	PlanAge func() time.Duration

	// ReportError gets failures. It must not block.
	ReportError func(error)
}

// Broadcaster sends and receives notes.
type Broadcaster struct {
	config Config

	// mu guards the fields below. peers holds the time until which each
	// address gets notes, ages what each router last told of its plan.
	mu    sync.Mutex
	peers map[netip.AddrPort]time.Time
	ages  map[netip.AddrPort]planAge
}

// planAge is the age of a plan at a time.
type planAge struct {
	at  time.Time
	age time.Duration
}

// New returns an exchange. It binds nothing before Run.
func New(config Config) *Broadcaster {
	return &Broadcaster{config: config, peers: make(map[netip.AddrPort]time.Time), ages: make(map[netip.AddrPort]planAge)}
}

// Run exchanges notes until the context ends.
func (e *Broadcaster) Run(ctx context.Context) error {
	var listen net.ListenConfig
	conn, err := listen.ListenPacket(ctx, "udp4", e.config.Address.String())
	if err != nil {
		return fmt.Errorf("listen for notes: %w", err)
	}
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer stop()
	go e.send(ctx, conn)
	buffer := make([]byte, largestNote)
	for {
		n, from, err := conn.ReadFrom(buffer)
		if ctx.Err() != nil {
			return fmt.Errorf("exchange notes: %w", ctx.Err())
		}
		if err != nil {
			e.config.ReportError(fmt.Errorf("receive note: %w", err))
			continue
		}
		e.receive(from, buffer[:n])
	}
}

// send tells all known routers, again and again.
func (e *Broadcaster) send(ctx context.Context, conn net.PacketConn) {
	for ctx.Err() == nil {
		now := time.Now()
		peers := e.known(now)
		if err := e.tell(conn, peers, now); err != nil {
			e.config.ReportError(err)
		}
		period := max(shortestPeriod, time.Duration(len(peers))*time.Second/sendsPerSecond)
		timer := time.NewTimer(period)
		select {
		case <-ctx.Done():
		case <-timer.C:
		}
		timer.Stop()
	}
}

// tell sends one note to the routers. It returns the last failure.
func (e *Broadcaster) tell(conn net.PacketConn, peers []netip.AddrPort, now time.Time) error {
	data, err := encode(message{Note: e.config.Balancer.Note(now), Known: some(peers), Age: e.config.PlanAge()})
	if err != nil {
		return fmt.Errorf("encode note: %w", err)
	}
	var failed error
	for _, peer := range peers {
		if _, err := conn.WriteTo(data, net.UDPAddrFromAddrPort(peer)); err != nil {
			failed = fmt.Errorf("send note to %s: %w", peer, err)
		}
	}
	return failed
}

// known returns the seeds and the routers that are to get notes.
func (e *Broadcaster) known(now time.Time) []netip.AddrPort {
	e.mu.Lock()
	defer e.mu.Unlock()
	for peer, until := range e.peers {
		if now.After(until) {
			delete(e.peers, peer)
			delete(e.ages, peer)
		}
	}
	for _, seed := range e.config.Seeds {
		e.meet(seed, now.Add(hearsay))
	}
	peers := make([]netip.AddrPort, 0, len(e.peers))
	for peer := range e.peers {
		peers = append(peers, peer)
	}
	return peers
}

// AnyFresherPlan reports whether a router that was heard lately has a plan that is
// known to be newer than the bound.
func (e *Broadcaster) AnyFresherPlan(bound time.Duration) bool {
	now := time.Now()
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, told := range e.ages {
		since := now.Sub(told.at)
		if since <= recent && told.age >= 0 && told.age+since < bound {
			return true
		}
	}
	return false
}

// meet adds a router that gets notes until a time. The caller holds e.mu.
func (e *Broadcaster) meet(peer netip.AddrPort, until time.Time) {
	if peer == e.config.Address || !until.After(e.peers[peer]) {
		return
	}
	e.peers[peer] = until
}

// receive takes a note.
func (e *Broadcaster) receive(from net.Addr, data []byte) {
	udp, ok := from.(*net.UDPAddr)
	if !ok {
		e.config.ReportError(errors.NotValidf("sender %v", from))
		return
	}
	m, err := decode(data)
	if err != nil {
		e.config.ReportError(fmt.Errorf("decode note of %s: %w", from, err))
		return
	}
	now := time.Now()
	address := udp.AddrPort()
	sender := netip.AddrPortFrom(address.Addr().Unmap(), address.Port())
	e.mu.Lock()
	e.meet(sender, now.Add(silence))
	e.ages[sender] = planAge{at: now, age: m.Age}
	for _, other := range m.Known {
		e.meet(other, now.Add(hearsay))
	}
	e.mu.Unlock()
	e.config.Balancer.Hear(now, sender.String(), m.Note)
}

// some returns a few of the routers, drawn at random.
func some(peers []netip.AddrPort) []netip.AddrPort {
	if len(peers) <= introductions {
		return peers
	}
	drawn := make([]netip.AddrPort, 0, introductions)
	for _, i := range rand.Perm(len(peers))[:introductions] {
		drawn = append(drawn, peers[i])
	}
	return drawn
}
