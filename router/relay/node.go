package relay

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/gorilla/mux"
	"github.com/juju/errors"
	"github.com/oklog/run"
	"github.com/rcrowley/go-metrics"

	"snipetally.example/coordination/feed"
	"snipetally.example/router/internal/decision"
	"snipetally.example/router/internal/notice"
)

// Config is what a node is started with.
type Config struct {
	// VM and Zone say where the node runs.
	VM   string
	Zone string

	// CallerAddress, Readiness and Operators are the addresses that are served:
	// requests, the question whether callers should come here, and metrics
	// and the state dump. ReadyPath is the path of that question.
	CallerAddress    string
	ReadinessAddress string
	ReadinessPath    string
	OperatorAddress  string

	// PeerAddress is where other routers' notes are taken, Seeds are the addresses
	// of some of them.
	PeerAddress netip.AddrPort
	PeerSeeds   []netip.AddrPort

	// SettingsErrors are what is wrong with the settings though the node can run. They
	// are logged at the start.
	SettingsErrors []error

	// MemoryBytes is the VM's memory for the process in bytes, or zero.
	MemoryBytes int64

	Bounds Bounds

	// Reload reads the bounds anew from the settings. It is called when the
	// process is told that they changed, and from time to time. Nil means that
	// they never change.
	Reload func() (Bounds, error)

	Codec Codec

	// Migrator moves runs between engines. Without one, runs are not moved.
	Migrator Migrator
	Plans    feed.Source[Plan]
	Servers  feed.Source[Server]

	// Clock goes on while the VM is suspended; see SinceBoot.
	Clock feed.Clock

	// Log receives one JSON object a line.
	Log io.Writer
}

const (
	// planWait is the part of the revocation bound that a watch of the plan
	// waits. With the timeout of the watch and a second call the age of the
	// plan stays below the bound if one answer is lost.
	planWait = 0.5

	// longestWait bounds a watch where there is no such bound. Calls cost, and
	// probes of the connection notice sooner that it is silent.
	longestWait = 8 * time.Second

	// planGap gathers plans that come together. drainGap is the part of the
	// drain time for which changes of servers are gathered; a leaving server
	// then gets no more work well within its bound. serverGap is used where
	// there is no such bound.
	planGap   = 50 * time.Millisecond
	drainGap  = 0.4
	serverGap = 500 * time.Millisecond

	// serverSettle is how long after an outage of the table a server whose
	// entry lapsed has time to write it again.
	serverSettle = 2 * time.Second

	// drainLinger is the part of the drain time for which a server is kept
	// whose entry goes in that time, but after the table was read once.
	drainLinger = 0.35

	// lingerPart is the part of the grace time in which a stopping node still
	// takes requests, as callers find out late; finishPart is the part after
	// which it ends whatever is in progress.
	lingerPart = 0.37
	finishPart = 0.93

	// reloadPeriod is the time between two looks at the settings, which may
	// change without a signal.
	reloadPeriod = 5 * time.Second

	// drainStep is the time between two looks at the requests in progress.
	drainStep = 50 * time.Millisecond

	// idleTimeout is how long a caller's connection is kept unused. It is
	// longer than plans allow callers to count on.
	idleTimeout = 5 * time.Minute

	// headerTimeout bounds the reading of a request's header, headerBytes its
	// size.
	headerTimeout = 30 * time.Second
	headerBytes   = 64 << 10

	// writeTimeout bounds the writing of an answer until a stream sets a
	// bound of its own.
	writeTimeout = 2 * time.Minute

	// garbage is the growth of the heap in percent at which memory is
	// collected. Memory costs more than the time for it.
	garbage = 40

	// roomPart is the part of the VM's memory that bodies of requests may take.
	roomPart = 0.25

	// memoryPart is the part of the VM's memory that the heap may take before
	// it is collected more often.
	memoryPart = 0.6
)

// Node is one router process.
type Node struct {
	config  Config
	log     *decision.Log
	metrics metrics.Registry
	relay   *relay
	plans   *feed.Follower[Plan]
	servers *feed.Follower[Server]
	notices *notice.Broadcaster
}

// NewNode returns a node. It binds nothing before Run.
func NewNode(config Config) *Node {
	n := &Node{
		config:  config,
		log:     decision.New(config.Log, config.VM),
		metrics: metrics.NewRegistry(),
	}
	n.plans = feed.NewFollower(feed.Config[Plan]{
		Source:     config.Plans,
		Clock:      config.Clock,
		WatchWait:  watchWait(config.Bounds),
		WatchPause: planGap,
		Apply:      n.applyPlans,
		OnEvent:    n.reporter("plan"),
		OnCall:     n.callCounter("plan"),
	})
	n.servers = feed.NewFollower(feed.Config[Server]{
		Source:       config.Servers,
		Clock:        config.Clock,
		WatchWait:    longestWait,
		WatchPause:   gatherServers(config.Bounds),
		LapseGrace:   serverSettle,
		RemovalGrace: time.Duration(drainLinger * float64(config.Bounds.DrainTimeout)),
		Apply:        func(rows map[string]Server) { n.relay.installServers(rows) },
		OnEvent:      n.reporter("servers"),
		OnCall:       n.callCounter("servers"),
	})
	n.relay = newRelay(options{
		codec:   config.Codec,
		mover:   config.Migrator,
		clock:   config.Clock,
		zone:    config.Zone,
		name:    config.PeerAddress.String(),
		bounds:  config.Bounds,
		room:    int64(roomPart * float64(config.MemoryBytes)),
		asOf:    n.plans.AsOf,
		away:    n.plans.OutageDuration,
		others:  func(bound time.Duration) bool { return n.notices.AnyFresherPlan(bound) },
		log:     n.log,
		metrics: n.metrics,
	})
	n.notices = notice.New(notice.Config{
		Address:  config.PeerAddress,
		Seeds:    config.PeerSeeds,
		Balancer: n.relay.board,
		PlanAge:  n.relay.age,
		ReportError: func(err error) {
			n.log.RepeatedFailure(time.Now(), "note", err).Msg("note lost")
		},
	})
	n.registerGauges()
	return n
}

// watchWait returns how long a watch of the plan waits.
func watchWait(bounds Bounds) time.Duration {
	if bounds.MaxRevocationDelay == 0 {
		return longestWait
	}
	return min(time.Duration(planWait*float64(bounds.MaxRevocationDelay)), longestWait)
}

// gatherServers returns for how long changes of servers are gathered.
func gatherServers(bounds Bounds) time.Duration {
	if bounds.DrainTimeout == 0 {
		return serverGap
	}
	return time.Duration(drainGap * float64(bounds.DrainTimeout))
}

// applyPlans puts the newest plan in force.
func (n *Node) applyPlans(plans map[string]Plan) {
	for _, plan := range plans {
		n.relay.installPlan(plan)
	}
}

// reporter returns a function that logs what happened to a follower.
func (n *Node) reporter(table string) func(feed.Event) {
	return func(e feed.Event) {
		switch {
		case e.Lost:
			n.log.Failure(e.Err).Str("table", table).Msg("table lost")
		case e.Regained:
			n.log.StateChange().Str("table", table).Dur("away", e.Outage).Msg("table regained")
		default:
			n.log.RepeatedFailure(time.Now(), table+" "+e.Key, e.Err).Str("table", table).Str("key", e.Key).Msg("row can't be used")
		}
	}
}

// Run serves until the process is told to stop. It ends within the grace time.
func (n *Node) Run(ctx context.Context) error {
	debug.SetGCPercent(garbage)
	if n.config.MemoryBytes > 0 {
		debug.SetMemoryLimit(int64(memoryPart * float64(n.config.MemoryBytes)))
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	n.log.StateChange().Str("zone", n.config.Zone).Str("callers", n.config.CallerAddress).Msg("router started")
	for _, problem := range n.config.SettingsErrors {
		n.log.Failure(problem).Msg("settings used in part")
	}
	var group run.Group
	group.Add(func() error { return n.awaitStop(ctx) }, func(error) { cancel() })
	group.Add(func() error { return n.followSettings(ctx) }, func(error) { cancel() })
	group.Add(func() error { return n.plans.Run(ctx) }, func(error) { cancel() })
	group.Add(func() error { return n.servers.Run(ctx) }, func(error) { cancel() })
	if n.config.PeerAddress.IsValid() {
		group.Add(func() error { return n.notices.Run(ctx) }, func(error) { cancel() })
	}
	for address, handler := range n.handlers() {
		if err := n.serve(ctx, &group, address, handler); err != nil {
			return err
		}
	}
	err := group.Run()
	n.log.StateChange().Int64("inflight", n.relay.inProgress()).Msg("router stopped")
	if closing := n.log.Close(); closing != nil {
		return fmt.Errorf("close log: %w", closing)
	}
	if errors.Is(err, errStopped) {
		return nil
	}
	return err
}

// errStopped is why the run group ends when the process was told to stop.
const errStopped = errors.ConstError("stopped")

// handlers returns what is served at each address.
func (n *Node) handlers() map[string]http.Handler {
	readiness := mux.NewRouter()
	readiness.HandleFunc(n.config.ReadinessPath, n.serveReady)
	handlers := map[string]http.Handler{
		n.config.CallerAddress:    n.relay,
		n.config.ReadinessAddress: readiness,
	}
	if n.config.OperatorAddress != "" {
		operators := mux.NewRouter()
		operators.HandleFunc("/metrics", n.serveMetrics)
		operators.HandleFunc("/state", n.serveState)
		handlers[n.config.OperatorAddress] = operators
	}
	return handlers
}

// serve adds an HTTP server to the group.
func (n *Node) serve(ctx context.Context, group *run.Group, address string, handler http.Handler) error {
	var listen net.ListenConfig
	listener, err := listen.Listen(ctx, "tcp4", address)
	if err != nil {
		return fmt.Errorf("listen at %s: %w", address, err)
	}
	server := &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: headerTimeout,
		WriteTimeout:      writeTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    headerBytes,
		ErrorLog:          n.log.StdLogger(),
	}
	group.Add(func() error {
		if err := server.Serve(listener); err != nil {
			return fmt.Errorf("serve %s: %w", address, err)
		}
		return nil
	}, func(error) {
		if err := server.Close(); err != nil {
			n.log.Failure(err).Str("address", address).Msg("listener not closed")
		}
	})
	return nil
}

// awaitStop waits for the signal to stop, lets the requests in progress end,
// and returns. Callers are turned away at once; those that have not noticed
// are served for the linger time.
func (n *Node) awaitStop(ctx context.Context) error {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	defer signal.Stop(signals)
	select {
	case <-ctx.Done():
		return fmt.Errorf("await stop: %w", ctx.Err())
	case <-signals:
	}
	grace := n.relay.bounds.Load().GracePeriod
	linger := time.Duration(lingerPart * float64(grace))
	finish := n.config.Clock() + time.Duration(finishPart*float64(grace))
	n.relay.stop(linger)
	n.log.StateChange().Int64("inflight", n.relay.inProgress()).Dur("linger", linger).Msg("router stopping")
	pause(ctx, linger)
	for n.relay.inProgress() > 0 && n.config.Clock() < finish {
		pause(ctx, drainStep)
	}
	return errStopped
}

// pause waits for d or for the end of the context.
func pause(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
