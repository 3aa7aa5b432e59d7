// Package relay serves requests that callers address to a host and a path, and
// relays them to the backend servers of their class. It is for installations
// where operators publish a plan that arrives as a whole and backend servers
// register themselves. The code that talks to such an installation implements
// the small interfaces of this package.
//
// A request uses the plan that was in force when it arrived until it ends. No
// lock is held during network I/O.
package relay

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"

	"snipetally.example/coordination/feed"
	"snipetally.example/router/internal/decision"
	"snipetally.example/router/internal/inbound"
	"snipetally.example/router/internal/placement"
	"snipetally.example/router/internal/quarantine"
	"snipetally.example/router/internal/retrybudget"
	"snipetally.example/router/internal/sharedrate"
	"snipetally.example/router/internal/uplink"
)

// options configure a relay.
type options struct {
	codec    Codec
	migrator Migrator
	clock    feed.Clock
	zone     string

	// name is the address by which other routers know this one.
	name   string
	bounds Bounds

	// heartbeat is the interval at which servers renew their entries, or zero if it is not
	// known.
	heartbeat time.Duration

	// planAsOf returns the time on the clock up to which the plan is known to
	// be the newest, and false before the first plan.
	planAsOf func() (time.Duration, bool)

	// serversAsOf returns the same for the list of servers.
	serversAsOf func() (time.Duration, bool)

	// removalsAsOf returns the time on the clock up to which no server is known to have disappeared
	// from the table that the list had until now.
	removalsAsOf func() (time.Duration, bool)

	// planUnreachableFor returns for how long the plan has been unreachable, or
	// zero.
	planUnreachableFor func() time.Duration

	// planMissingFor returns for how long a newer plan has been known to exist
	// that this router lacks, or zero.
	planMissingFor func() time.Duration

	// peerHasFresherPlan reports whether the plan of another router was known
	// to be the newest less than the bound ago.
	peerHasFresherPlan func(bound time.Duration) bool

	// listensForPlans says that there are other routers that tell which plan they have.
	listensForPlans bool

	// storeEra returns the newest era of the store of the tables.
	storeEra func() int64

	// routers counts the routers that were heard.
	routers retrybudget.RouterCount

	// askLoads updates the balancer's loads of engines, given by their hashes,
	// and returns within milliseconds. If it is nil, the balancer uses the
	// other routers' reports.
	askLoads func(ctx context.Context, servers []uint32)

	log     *decision.Log
	metrics metrics.Registry
}

// relay is the HTTP handler that relays requests. Its methods are safe for
// concurrent use.
type relay struct {
	options     options
	balancer    *placement.Balancer
	retryBudget *retrybudget.Budget
	streams     *streamRegistry
	metrics     *requestMetrics
	crashes     *crashDetector

	// contacts record what exchanges show of the links to the servers, and uplink judges it.
	// uplink is set before the relay serves requests.
	contacts *uplink.Contacts
	uplink   *uplink.Monitor

	// peerRouters are those that requests are handed over to, and handedOver is the number of
	// requests of others in progress. peerRouters is set before the relay serves requests.
	peerRouters *peerRouters
	handedOver  atomic.Int64

	// quarantine is set before the relay serves requests.
	quarantine *quarantine.Exchange

	// limits keeps the limits that servers name. It is set before the relay serves
	// requests.
	limits        *sharedrate.Exchange
	limitRefusals *refusalPace

	// resting are the servers that want no requests of this router.
	resting *restingServers

	// brittleServices knows which services have brittle servers.
	brittleServices brittleServices

	// witness knows the plans of other routers, and planLost says that the store has lost
	// a newer one than that in force.
	witness  planWitness
	planLost atomic.Bool

	index    atomic.Pointer[planIndex]
	servers  atomic.Pointer[map[string]*backendServer]
	inflight atomic.Int64

	// canChoose says that there are a plan and servers, and that the balancer
	// knows them. Readiness depends on it and waits for no installation.
	canChoose atomic.Bool

	// canChooseSince is the time on the clock at which canChoose was first set, or
	// zero.
	canChooseSince atomic.Int64

	// lingerUntil is the time on the clock until which a stopping relay accepts
	// requests, or zero while it is not stopping. lingering ends then. cutOffAt is the time
	// on the clock at which it cuts off what is in progress.
	lingerUntil atomic.Int64
	cutOffAt    atomic.Int64
	lingering   context.Context
	endLinger   context.CancelFunc

	// runTimes are those of the requests that this router ran.
	runTimes runTimes

	// uploads ends when a stopping relay reads no more of requests' bodies.
	uploads    context.Context
	endUploads context.CancelFunc

	// bounds are the bounds in force. Operators may change them.
	bounds atomic.Pointer[Bounds]

	// installMu serializes changes of index and servers. It guards departures, and reinstall,
	// which installs the last list of servers again or is nil.
	installMu  sync.Mutex
	departures *departures
	reinstall  *time.Timer

	// leavingMu guards saidLeaving, the lifetimes of servers that are about to count as
	// leaving, as a response says so. It is a leaf.
	leavingMu   sync.Mutex
	saidLeaving map[sharedrate.Key]struct{}
}

// newRelay returns a relay without a plan and servers.
func newRelay(options options) *relay {
	r := &relay{
		options:     options,
		balancer:    placement.NewBalancer(time.Now(), options.name, options.zone),
		streams:     newStreamRegistry(),
		retryBudget: retrybudget.NewBudget(options.bounds.RetryRatio, options.bounds.RetryWindow),
		metrics:     newRequestMetrics(options.metrics),
		departures:  newDepartures(options.heartbeat),
		crashes:     newCrashDetector(),
		contacts:    uplink.NewContacts(time.Now()),

		limitRefusals: newRefusalPace(),
		resting:       newRestingServers(),
	}
	r.lingering, r.endLinger = context.WithCancel(context.Background())
	r.uploads, r.endUploads = context.WithCancel(context.Background())
	r.servers.Store(&map[string]*backendServer{})
	r.setBounds(options.bounds)
	return r
}

// installPlan puts a plan in force. A plan that is not newer than the current
// one is ignored, so that a router never returns to an older plan. In the lines
// that it logs, the key version holds the version of the plan, kept the version
// that stays in force instead, classes and teams their numbers in the plan, and
// took the time of the installation in milliseconds.
func (r *relay) installPlan(plan Plan) {
	start := time.Now()
	r.installMu.Lock()
	defer r.installMu.Unlock()
	old := r.index.Load()
	if old != nil && plan.Version <= old.plan.Version {
		r.options.log.StateChange().Int64("version", plan.Version).Int64("kept", old.plan.Version).Msg("plan ignored: not newer")
		return
	}
	next := newPlanIndex(plan)
	r.metrics.updatePlan(plan)
	r.runTimes.keep(plan.Classes)
	r.index.Store(next)
	r.witness.listen(r.options.clock())
	r.updateBalancer()
	r.options.log.StateChange().Int64("version", plan.Version).Int("classes", len(plan.Classes)).
		Int("teams", len(plan.Teams)).Dur("took", time.Since(start)).Msg("plan in force")
}

// setBounds replaces the bounds in force.
func (r *relay) setBounds(bounds Bounds) {
	r.bounds.Store(&bounds)
	r.retryBudget.SetRatio(bounds.RetryRatio)
	r.retryBudget.SetExtra(bounds.RetryExtra, r.options.routers)
}

// leaving reports whether callers should send their next requests to another
// router.
func (r *relay) leaving() bool {
	return r.stopping() || r.disconnected() || r.cutOff() || r.planLost.Load()
}

// inProgress returns the number of requests in progress.
func (r *relay) inProgress() int64 { return r.inflight.Load() }

// ready reports whether callers should be sent to this router.
func (r *relay) ready() bool {
	return !r.stopping() && r.canChoose.Load() && !r.planOutdated() && !r.mayMissRevocations() && !r.disconnected() && !r.cutOff() &&
		r.quarantineSynced() && r.limits.Synced()
}

// ServeHTTP implements http.Handler.
func (r *relay) ServeHTTP(w http.ResponseWriter, request *http.Request) {
	r.inflight.Add(1)
	defer r.inflight.Add(-1)
	p := &proxiedRequest{
		relay: r, writer: w, request: request, conn: inbound.ConnOf(request.Context()), arrivedAt: time.Now(),
	}
	p.serve()
}
