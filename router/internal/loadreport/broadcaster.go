// Package loadreport exchanges the load of backend servers between the routers of
// an installation in UDP datagrams. It affects how evenly load is distributed,
// where callers are sent while the plan is unreachable, and how soon a router
// finds out that its copy of a table is outdated. The reports also carry proofs
// that copies are current, which spare the routers calls to the tables.
//
// A Broadcaster periodically reports to every other router the load that this
// one puts on the backend servers. A lost report is replaced by the next one,
// and a router that sends no more messages is removed. Routers discover each
// other from a few seeds: each message names some of the routers that its sender
// hears, and a router that receives a message from an unknown router starts
// sending its own reports there.
//
// A Directory answers what the load of an engine is now. With many routers,
// reports are too rare for that.
package loadreport

import (
	"context"
	"fmt"
	"net"
	"net/netip"
	"sync"
	"time"

	"snipetally.example/coordination/feed"
	"snipetally.example/router/internal/datagram"
	"snipetally.example/router/internal/placement"
)

const (
	// minInterval is the time between two reports in a small installation.
	minInterval = 100 * time.Millisecond

	// maxSendsPerSecond bounds the datagrams that a router sends per second.
	// With many routers the interval between reports grows.
	maxSendsPerSecond = 100

	// liveReports is the number of reports that a router may miss before it
	// counts as gone, and minLiveTime the least time until then.
	liveReports = 3
	minLiveTime = time.Second

	// planAgeTimeout is how long the plan age that a router reported is used.
	planAgeTimeout = 2 * time.Second
)

// Balancer provides this router's load reports and receives those of others.
// placement.Balancer implements it.
type Balancer interface {
	LoadReport(now time.Time) placement.LoadReport
	ApplyReport(now time.Time, name string, report placement.LoadReport)
}

// Config configures a broadcaster.
type Config struct {
	// Address is the address to listen on. Seeds returns the addresses of some
	// other routers, which may change; if it is nil, there are none.
	Address  netip.AddrPort
	Seeds    func() []netip.AddrPort
	Balancer Balancer

	// PlanAge returns the time since the router's plan was last known to be the
	// newest, and false without a plan.
	PlanAge func() (time.Duration, bool)

	// Proofs returns the router's proofs that its copies of the tables are
	// current, and HearProofs receives those of other routers. They must not
	// block.
	Proofs     func() Proofs
	HearProofs func(Proofs)

	// PlanInForce returns the version of the plan that the router has in force, or zero, and
	// HearPlanInForce receives those of other routers. They must not block. If they are nil,
	// nothing is said about that.
	PlanInForce     func() int64
	HearPlanInForce func(version int64)

	// Reach returns what the router hears of the backend servers. If it is nil, nothing is
	// said about that.
	Reach func() Reach

	// ReportError is called with failures. It must not block.
	ReportError func(error)

	// Listen opens the socket. If it is nil, it is a UDP socket at Address.
	Listen func(ctx context.Context, address netip.AddrPort) (net.PacketConn, error)
}

// Proofs holds a proof for each table that all routers follow.
type Proofs struct {
	Plan    feed.Proof
	Servers feed.Proof
}

// Broadcaster sends and receives load reports.
type Broadcaster struct {
	config Config

	// announce receives a signal to send the proofs before the next report.
	announce chan struct{}

	// mu guards the fields below. peers holds the time until which reports are
	// sent to each address, heard when each router last sent one, and planAges
	// the plan age that each router last reported. Routers without a plan are
	// not in planAges. reaches holds what each router last said of its links to the
	// servers. seeds are the seeds of the last report, seedsNamedAt when they were named, and
	// seedsAddedAt when they were last added to the peers. mostLive is the largest number of other routers that were
	// alive at the same time, and mostLiveSince when it last grew.
	mu            sync.Mutex
	peers         map[netip.AddrPort]time.Time
	heard         map[netip.AddrPort]time.Time
	planAges      map[netip.AddrPort]planAge
	reaches       map[netip.AddrPort]peerReach
	seeds         []netip.AddrPort
	seedsNamedAt  time.Time
	seedsAddedAt  time.Time
	mostLive      int
	mostLiveSince time.Time
}

// planAge is a plan age reported by a router and the time of its receipt.
type planAge struct {
	receivedAt time.Time
	age        time.Duration
}

// New returns a broadcaster. It opens no socket before Run.
func New(config Config) *Broadcaster {
	if config.Seeds == nil {
		config.Seeds = func() []netip.AddrPort { return nil }
	}
	if config.Listen == nil {
		config.Listen = datagram.Listen
	}
	return &Broadcaster{
		config:   config,
		announce: make(chan struct{}, 1),
		peers:    make(map[netip.AddrPort]time.Time),
		heard:    make(map[netip.AddrPort]time.Time),
		planAges: make(map[netip.AddrPort]planAge),
		reaches:  make(map[netip.AddrPort]peerReach),
	}
}

// Run sends and receives reports until the context ends.
func (b *Broadcaster) Run(ctx context.Context) error {
	conn, err := b.config.Listen(ctx, b.config.Address)
	if err != nil {
		return fmt.Errorf("exchange load reports: %w", err)
	}
	go b.sendLoop(ctx, conn)
	if err := datagram.ReceiveAll(ctx, conn, b.receive, b.config.ReportError); err != nil {
		return fmt.Errorf("exchange load reports: %w", err)
	}
	return nil
}

// AnnounceProofs sends the router's proofs to all active peers soon, without
// waiting for the next report. It does not block.
func (b *Broadcaster) AnnounceProofs() {
	select {
	case b.announce <- struct{}{}:
	default: // An announcement is due already.
	}
}

// sendLoop periodically sends a report to all active peers, and between reports
// the proofs to be announced, until the context ends.
func (b *Broadcaster) sendLoop(ctx context.Context, conn net.PacketConn) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		var err error
		now := time.Now()
		select {
		case <-ctx.Done():
			return
		case <-b.announce:
			err = b.send(conn, b.activePeers(now), report{PlanInForce: b.planInForce(), Proofs: b.config.Proofs()})
		case <-timer.C:
			peers := b.activePeers(now)
			timer.Reset(interval(len(peers)))
			err = b.sendReport(conn, peers, now)
		}
		if err != nil {
			b.config.ReportError(err)
		}
	}
}

// interval returns the time between two reports to a number of peers.
func interval(peers int) time.Duration {
	return max(minInterval, time.Duration(peers)*time.Second/maxSendsPerSecond)
}

// sendReport sends one report to the peers. It returns the last error.
func (b *Broadcaster) sendReport(conn net.PacketConn, peers []netip.AddrPort, now time.Time) error {
	age, hasPlan := b.config.PlanAge()
	return b.send(conn, peers, report{
		HasReport: true, Report: b.config.Balancer.LoadReport(now), Peers: samplePeers(b.Live(now)),
		PlanAge: age, HasPlan: hasPlan, PlanInForce: b.planInForce(), Proofs: b.config.Proofs(), Reach: b.ownReach(),
	})
}

// planInForce returns the version of the router's plan, or zero.
func (b *Broadcaster) planInForce() int64 {
	if b.config.PlanInForce == nil {
		return 0
	}
	return b.config.PlanInForce()
}

// send sends a message to the peers. It returns the last error.
func (b *Broadcaster) send(conn net.PacketConn, peers []netip.AddrPort, m report) error {
	data, err := encode(m)
	if err != nil {
		return fmt.Errorf("encode load report: %w", err)
	}
	var lastErr error
	for _, peer := range peers {
		if _, err := conn.WriteTo(data, net.UDPAddrFromAddrPort(peer)); err != nil {
			lastErr = fmt.Errorf("send load report to %s: %w", peer, err)
		}
	}
	return lastErr
}

// Live returns the addresses of the other routers that recently sent a report.
func (b *Broadcaster) Live(now time.Time) []netip.AddrPort {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.live(now)
}

// live does the work of Live. The caller holds b.mu.
func (b *Broadcaster) live(now time.Time) []netip.AddrPort {
	live := make([]netip.AddrPort, 0, len(b.heard))
	for peer, at := range b.heard {
		if now.Sub(at) <= b.liveTime() {
			live = append(live, peer)
		}
	}
	return live
}

// MostRouters returns the largest number of routers, with this one, that were alive
// at the same time since the start, and when that number last grew. The number is
// zero if no other router was ever heard.
func (b *Broadcaster) MostRouters() (routers int, grownAt time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.mostLive == 0 {
		return 0, time.Time{}
	}
	return b.mostLive + 1, b.mostLiveSince
}

// LiveTime returns how long after its last report a router counts as alive.
func (b *Broadcaster) LiveTime() time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.liveTime()
}

// liveTime returns how long after its last report a router counts as alive. The
// caller holds b.mu.
func (b *Broadcaster) liveTime() time.Duration {
	return max(minLiveTime, liveReports*interval(len(b.peers)))
}

// AnyFresherPlan reports whether the plan of a router that recently sent a
// message was known to be the newest less than the bound ago.
func (b *Broadcaster) AnyFresherPlan(bound time.Duration) bool {
	return len(b.PeersWithPlan(bound)) > 0
}

// PeersWithPlan returns the addresses of the routers that recently sent a message and
// whose plan was known to be the newest less than the bound ago.
func (b *Broadcaster) PeersWithPlan(bound time.Duration) []netip.AddrPort {
	now := time.Now()
	b.mu.Lock()
	defer b.mu.Unlock()
	var peers []netip.AddrPort
	for peer, reported := range b.planAges {
		since := now.Sub(reported.receivedAt)
		if since <= planAgeTimeout && reported.age+since < bound {
			peers = append(peers, peer)
		}
	}
	return peers
}

// receive decodes a message, records its sender and the routers that it names,
// and passes the report to the balancer.
func (b *Broadcaster) receive(sender netip.AddrPort, data []byte) error {
	m, err := decode(data)
	if err != nil {
		return err
	}
	if m.PlanInForce > 0 && b.config.HearPlanInForce != nil {
		b.config.HearPlanInForce(m.PlanInForce)
	}
	b.config.HearProofs(m.Proofs)
	if !m.HasReport {
		return nil
	}
	now := time.Now()
	b.mu.Lock()
	b.addPeer(sender, now.Add(peerTimeout))
	b.heard[sender] = now
	b.reaches[sender] = newPeerReach(now, m.Reach)
	delete(b.planAges, sender)
	if m.HasPlan {
		b.planAges[sender] = planAge{receivedAt: now, age: m.PlanAge}
	}
	for _, other := range m.Peers {
		b.addPeer(other, now.Add(introducedTimeout))
	}
	b.mu.Unlock()
	b.config.Balancer.ApplyReport(now, sender.String(), m.Report)
	return nil
}
