package relay

import (
	"context"
	"fmt"
	"io"
	"net/netip"
	"runtime/debug"
	"sync/atomic"
	"time"

	"github.com/juju/errors"
	"github.com/oklog/run"
	"github.com/rcrowley/go-metrics"

	"snipetally.example/coordination/feed"
	"snipetally.example/router/internal/decision"
	"snipetally.example/router/internal/inbound"
	"snipetally.example/router/internal/loadreport"
	"snipetally.example/router/internal/quarantine"
	"snipetally.example/router/internal/roster"
	"snipetally.example/router/internal/sharedrate"
	"snipetally.example/router/internal/uplink"
)

// Config configures a node.
type Config struct {
	// VM and Zone name the VM and the availability zone that the node runs in.
	VM   string
	Zone string

	// CallerAddress, ReadinessAddress and OperatorAddress are the addresses to
	// listen on: for callers' requests, for readiness checks, and for metrics
	// and the state dump. ReadinessPath is the path of the readiness check.
	// Without an OperatorAddress, metrics and the state dump are not served.
	CallerAddress    string
	ReadinessAddress string
	ReadinessPath    string
	OperatorAddress  string

	// PeerAddress is where load reports of other routers are received; if it is
	// not valid, no reports are exchanged. PeerSeeds are the addresses of some
	// of the other routers.
	PeerAddress netip.AddrPort
	PeerSeeds   []netip.AddrPort

	// DirectoryAddress is where other routers publish loads and ask for them;
	// if it is not valid, only the load reports are used. All routers use the
	// same port.
	DirectoryAddress netip.AddrPort

	// QuarantineAddress is where other routers report crashes of engines and the
	// verdicts on prompt parts that cause them; if it is not valid, this router judges
	// by itself. All routers use the same port. Quarantine keeps the verdicts.
	QuarantineAddress netip.AddrPort
	Quarantine        RowStore

	// Routers keeps a list of some routers, in which those find each other that have no seed
	// that runs. If it is nil, there is none.
	Routers RowStore

	// LimitAddress is where other routers ask for permits to send requests to servers that
	// name a limit; if it is not valid, this router keeps to the limits by itself. All
	// routers use the same port.
	LimitAddress netip.AddrPort

	// HandoverAddress is where other routers hand over requests while they don't reach the
	// servers; if it is not valid, requests are neither taken nor handed over. All routers use
	// the same port.
	HandoverAddress netip.AddrPort

	// SettingsErrors are faults in the settings with which the node can still
	// run. They are logged at the start.
	SettingsErrors []error

	// MemoryBytes is the VM's memory for the process, and Descriptors the number of its
	// descriptors. Either is zero if it is not known.
	MemoryBytes int64
	Descriptors int

	Bounds Bounds

	// Heartbeat is the interval at which backend servers renew their entries, or
	// zero if it is not known.
	Heartbeat time.Duration

	// Reload reads the settings that may change again. It is called on SIGHUP
	// and periodically. If it is nil, they never change.
	Reload func() (Settings, error)

	Codec Codec

	// Migrator migrates runs between model engines. If it is nil, runs are not
	// migrated.
	Migrator Migrator

	// Plans and Servers are the tables of the plan and of the backend servers.
	Plans   feed.Source[Plan]
	Servers feed.Source[Server]

	// Eras knows the newest era of the store of all tables. If it is nil, the store has
	// only one.
	Eras *feed.Eras

	// PeerTables reach these tables through other routers while this one can't
	// reach them itself. If it is nil, that is not done.
	PeerTables *PeerTables

	// Clock must not stop while the VM is suspended; see SinceBoot.
	Clock feed.Clock

	// Log receives one JSON object per line.
	Log io.Writer
}

const (
	// gcPercent is the heap growth in percent that triggers a garbage
	// collection. It is low because memory costs more than the time for
	// collections.
	gcPercent = 40

	// heapLimitFraction is the fraction of the VM's memory set as the runtime's
	// memory limit, near which the heap is collected more often.
	heapLimitFraction = 0.6
)

// Node is one router process.
type Node struct {
	config      Config
	log         *decision.Log
	metrics     metrics.Registry
	relay       *relay
	plans       *feed.Follower[Plan]
	servers     *feed.Follower[Server]
	broadcaster *loadreport.Broadcaster
	quarantine  *quarantine.Exchange
	limits      *sharedrate.Exchange
	uplink      *uplink.Monitor

	// seeds are the seeds in force; see peerSeeds.
	seeds atomic.Pointer[[]netip.AddrPort]

	// callers and handovers are the listeners for callers and for routers that hand over requests.
	// They are set by Run; handovers is nil if requests are not taken.
	callers   *inbound.Listener
	handovers *inbound.Listener

	// inbound decides what the connections at all addresses of the node hold.
	inbound *inbound.Guard

	// indirectCalls holds a value for each call to the tables that is being made for
	// another router.
	indirectCalls chan struct{}

	// roster is nil if the node has no address for peers or no list of routers.
	roster *roster.Roster

	// directory is nil if the node has no address for it.
	directory *loadreport.Directory
}

// NewNode returns a node. It opens no listener before Run.
func NewNode(config Config) *Node {
	if config.Eras == nil {
		config.Eras = &feed.Eras{}
	}
	n := &Node{
		config:        config,
		log:           decision.New(config.Log, config.VM),
		metrics:       metrics.NewRegistry(),
		indirectCalls: make(chan struct{}, maxServedCalls),
	}
	n.inbound = inbound.NewGuard(inbound.LimitsOf(config.MemoryBytes, config.Descriptors), n.reportNoRoom)
	n.seeds.Store(&config.PeerSeeds)
	n.followTables()

	n.relay = newRelay(options{
		codec:              config.Codec,
		migrator:           config.Migrator,
		clock:              config.Clock,
		zone:               config.Zone,
		name:               config.PeerAddress.String(),
		bounds:             config.Bounds,
		heartbeat:          config.Heartbeat,
		planAsOf:           n.plans.AsOf,
		serversAsOf:        n.servers.AsOf,
		removalsAsOf:       n.servers.RemovalsAsOf,
		planUnreachableFor: n.plans.OutageDuration,
		planMissingFor:     n.plans.MissingFor,
		listensForPlans:    len(otherSeeds(config)) > 0,
		storeEra:           config.Eras.Newest,
		routers:            func() (int, time.Time) { return n.broadcaster.MostRouters() },
		peerHasFresherPlan: func(bound time.Duration) bool { return n.broadcaster.AnyFresherPlan(bound) },
		log:                n.log,
		metrics:            n.metrics,
	})
	n.useBroadcaster()
	n.useQuarantine()
	n.useLimits()
	n.useUplink()
	if config.PeerAddress.IsValid() && config.Routers != nil {
		n.useRoster()
	}
	if config.PeerAddress.IsValid() && config.DirectoryAddress.IsValid() {
		n.useDirectory()
	}
	n.registerGauges()
	return n
}

// Run serves requests until the context ends or the process gets SIGTERM or
// SIGINT, and then returns within the grace period. The last line that it logs
// holds the number of requests that are still in progress in the key inflight.
func (n *Node) Run(ctx context.Context) error {
	debug.SetGCPercent(gcPercent)
	if n.config.MemoryBytes > 0 {
		debug.SetMemoryLimit(int64(heapLimitFraction * float64(n.config.MemoryBytes)))
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	n.log.StateChange().Str("zone", n.config.Zone).Str("callers", n.config.CallerAddress).Msg("router started")
	for _, problem := range n.config.SettingsErrors {
		n.log.Failure(problem).Msg("settings partly invalid")
	}
	var group run.Group
	group.Add(func() error { return n.awaitStop(ctx) }, func(error) { cancel() })
	group.Add(func() error { return n.followSettings(ctx) }, func(error) { cancel() })
	group.Add(func() error { return n.plans.Run(ctx) }, func(error) { cancel() })
	group.Add(func() error { return n.servers.Run(ctx) }, func(error) { cancel() })
	group.Add(func() error { return n.uplink.Run(ctx) }, func(error) { cancel() })
	if n.config.PeerAddress.IsValid() {
		group.Add(func() error { return n.broadcaster.Run(ctx) }, func(error) { cancel() })
	}
	if n.roster != nil {
		group.Add(func() error { return n.roster.Run(ctx) }, func(error) { cancel() })
	}
	if n.config.QuarantineAddress.IsValid() {
		group.Add(func() error { return n.quarantine.Run(ctx) }, func(error) { cancel() })
	}
	if n.config.LimitAddress.IsValid() {
		group.Add(func() error { return n.limits.Run(ctx) }, func(error) { cancel() })
	}
	if n.directory != nil {
		group.Add(func() error { return n.directory.Run(ctx) }, func(error) { cancel() })
	}
	for address, handler := range n.handlers() {
		if err := n.serve(ctx, &group, address, handler); err != nil {
			return err
		}
	}
	err := group.Run()
	n.log.StateChange().Int64("inflight", n.relay.inProgress()).Msg("router stopped")
	if closeErr := n.log.Close(); closeErr != nil {
		return fmt.Errorf("close log: %w", closeErr)
	}
	if errors.Is(err, errStopped) {
		return nil
	}
	return err
}
