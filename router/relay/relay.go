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
	"github.com/rs/zerolog"

	"snipetally.example/coordination/feed"
	"snipetally.example/router/internal/decision"
	"snipetally.example/router/internal/hop"
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

	// maxBodyMemory bounds the bytes of request bodies held at once, or is zero
	// for no bound.
	maxBodyMemory int64

	// planAsOf returns the time on the clock up to which the plan is known to
	// be the newest, and false before the first plan.
	planAsOf func() (time.Duration, bool)

	// serversAsOf returns the same for the list of servers.
	serversAsOf func() (time.Duration, bool)

	// planUnreachableFor returns for how long the plan has been unreachable, or
	// zero.
	planUnreachableFor func() time.Duration

	// planMissingFor returns for how long a newer plan has been known to exist
	// that this router lacks, or zero.
	planMissingFor func() time.Duration

	// peerHasFresherPlan reports whether the plan of another router was known
	// to be the newest less than the bound ago.
	peerHasFresherPlan func(bound time.Duration) bool

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

	index    atomic.Pointer[planIndex]
	servers  atomic.Pointer[map[string]*backendServer]
	inflight atomic.Int64

	// canChoose says that there are a plan and servers, and that the balancer
	// knows them. Readiness depends on it and waits for no installation.
	canChoose atomic.Bool

	// canChooseSince is the time on the clock at which canChoose was first set, or
	// zero.
	canChooseSince atomic.Int64

	// bodyBytes is the memory reserved for request bodies.
	bodyBytes atomic.Int64

	// lingerUntil is the time on the clock until which a stopping relay accepts
	// requests, or zero while it is not stopping.
	lingerUntil atomic.Int64

	// uploads ends when a stopping relay reads no more of requests' bodies.
	uploads    context.Context
	endUploads context.CancelFunc

	// bounds are the bounds in force. Operators may change them.
	bounds atomic.Pointer[Bounds]

	// installMu serializes changes of index and servers. It guards departures.
	installMu  sync.Mutex
	departures *departures

	// leavingMu guards saidLeaving, the lifetimes of servers that are about to count as
	// leaving, as a response says so. It is a leaf.
	leavingMu   sync.Mutex
	saidLeaving map[sharedrate.Key]struct{}
}

// backendServer is a backend server with the pool of connections to it.
type backendServer struct {
	Server
	pool *hop.Pool

	// entryDraining says that the server's entry says that it drains. Draining may be known
	// otherwise.
	entryDraining bool

	// usage outlives changes of the server's entry.
	usage *serverUsage
}

// serverUsage counts the attempts in progress at a server: those without a
// response yet, and those whose response has begun. limit is the limit that it named.
type serverUsage struct {
	// key names the limit of this lifetime of the server.
	key sharedrate.Key

	unanswered atomic.Int64
	answering  atomic.Int64

	limit limitUsage

	// restingUntil is the time on the clock until which the server wants no requests of this
	// router.
	restingUntil atomic.Int64

	// leavingSaid says that a response said that the server leaves.
	leavingSaid atomic.Bool
}

// newServerUsage returns the usage of a lifetime of a server.
func newServerUsage(s Server) *serverUsage {
	return &serverUsage{key: s.key()}
}

// newRelay returns a relay without a plan and servers.
func newRelay(options options) *relay {
	r := &relay{
		options:     options,
		balancer:    placement.NewBalancer(time.Now(), options.name, options.zone),
		streams:     newStreamRegistry(),
		retryBudget: retrybudget.NewBudget(options.bounds.RetryRatio, options.bounds.RetryWindow),
		metrics:     newRequestMetrics(options.metrics),
		departures:  newDepartures(),
		crashes:     newCrashDetector(),
		contacts:    uplink.NewContacts(time.Now()),

		limitRefusals: newRefusalPace(),
	}
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
	r.index.Store(next)
	r.updateBalancer()
	r.options.log.StateChange().Int64("version", plan.Version).Int("classes", len(plan.Classes)).
		Int("teams", len(plan.Teams)).Dur("took", time.Since(start)).Msg("plan in force")
}

// installServers replaces the set of backend servers, and takes over the map.
// Requests in progress at servers that are gone continue.
func (r *relay) installServers(servers map[string]Server) {
	r.installMu.Lock()
	defer r.installMu.Unlock()
	old := *r.servers.Load()
	outdated := r.departures.correct(r.options.clock(), servers)
	for id := range outdated {
		if b, ok := old[id]; !ok || b.entryDraining || !b.sameLifetime(servers[id]) {
			r.options.log.StateChange().Str("server", id).Msg("outdated entry of leaving server")
		}
	}
	next := make(map[string]*backendServer, len(servers))
	for id, s := range servers {
		b, ok := old[id]
		if !ok || !b.sameLifetime(s) {
			b = &backendServer{pool: hop.NewPool(s.Address), usage: newServerUsage(s)}
		}
		_, corrected := outdated[id]
		next[id] = &backendServer{Server: s, pool: b.pool, entryDraining: s.Draining && !corrected, usage: b.usage}
		r.handleServerUpdate(old[id], s)
	}
	for id, b := range old {
		if kept, ok := next[id]; !ok || kept.pool != b.pool {
			b.pool.Close()
			r.migrateStreams(b.Server)
			r.logLeaving(b).Msg("backend server removed")
		}
	}
	r.servers.Store(&next)
	r.updateBalancer()
}

// accepts reports whether a server that was chosen earlier still accepts new
// requests.
func (r *relay) accepts(chosen *backendServer) bool {
	current, ok := (*r.servers.Load())[chosen.ID]
	return ok && !current.Draining && current.pool == chosen.pool
}

// setBounds replaces the bounds in force.
func (r *relay) setBounds(bounds Bounds) {
	r.bounds.Store(&bounds)
	r.retryBudget.SetRatio(bounds.RetryRatio)
	r.retryBudget.SetExtra(bounds.RetryExtra, r.options.routers)
}

// updateBalancer gives the balancer the servers that accept requests, after which
// the relay can choose one. Whether they are model engines depends on the plan,
// which may arrive after the servers. The caller holds r.installMu.
func (r *relay) updateBalancer() {
	index := r.index.Load()
	if index == nil {
		return
	}
	var accepting []placement.Server
	for _, s := range *r.servers.Load() {
		if s.Draining {
			continue
		}
		server := placement.Server{
			ID: s.ID, Service: s.Service, Zone: s.Zone, Slots: s.Slots, WarmupRemaining: s.WarmupRemaining,
		}
		if service, ok := index.servicesByName[s.Service]; ok {
			server.Engine, server.CacheTokens = service.IsEngine(), service.CacheTokens
			server.TokensPerEvent = service.TokensPerEvent
		}
		accepting = append(accepting, server)
	}
	r.balancer.SetServers(time.Now(), accepting)
	if len(*r.servers.Load()) > 0 {
		r.canChooseSince.CompareAndSwap(0, int64(r.options.clock()))
	}
	r.canChoose.Store(len(*r.servers.Load()) > 0)
}

// handleServerUpdate logs that a server is new or began to drain, and in the
// latter case starts to migrate its streams. The key leaving says whether a new
// server is draining. A draining server accepts requests again only in another
// lifetime with the same ID.
func (r *relay) handleServerUpdate(old *backendServer, s Server) {
	switch {
	case old == nil:
		r.options.log.StateChange().Str("server", s.ID).Str("service", s.Service).Str("address", s.Address).
			Bool("leaving", s.Draining).Msg("backend server added")
	case s.Draining && !old.Draining:
		r.logLeaving(old).Msg("backend server draining")
		r.migrateStreams(s)
	case !s.Draining && old.Draining:
		r.logLeaving(old).Msg("backend server accepting again")
	}
}

// logLeaving starts a line about a server that stops or resumes accepting
// requests. The key listed holds the time in milliseconds since the list of
// servers was last known to be current, which is how much earlier the change may
// have been made. unanswered and answering hold the numbers of attempts in
// progress there without a response and with one that has begun.
func (r *relay) logLeaving(b *backendServer) *zerolog.Event {
	return r.options.log.StateChange().Str("server", b.ID).Dur("listed", r.serversAge()).
		Int64("unanswered", b.usage.unanswered.Load()).Int64("answering", b.usage.answering.Load())
}

// stop starts the shutdown: from now on responses tell callers to close the
// connection, and after the linger time requests are refused.
func (r *relay) stop(linger time.Duration) {
	r.lingerUntil.Store(int64(r.options.clock() + linger))
}

// leaving reports whether callers should send their next requests to another
// router.
func (r *relay) leaving() bool {
	return r.lingerUntil.Load() != 0 || r.disconnected() || r.cutOff()
}

// inProgress returns the number of requests in progress.
func (r *relay) inProgress() int64 { return r.inflight.Load() }

// refusesRequests reports whether the relay is stopping and its linger time is
// over.
func (r *relay) refusesRequests() bool {
	until := r.lingerUntil.Load()
	return until != 0 && r.options.clock() >= time.Duration(until)
}

// ready reports whether callers should be sent to this router.
func (r *relay) ready() bool {
	return r.lingerUntil.Load() == 0 && r.canChoose.Load() && !r.disconnected() && !r.cutOff() && r.quarantineSynced() && r.limits.Synced()
}

// ServeHTTP implements http.Handler.
func (r *relay) ServeHTTP(w http.ResponseWriter, request *http.Request) {
	r.inflight.Add(1)
	defer r.inflight.Add(-1)
	p := &proxiedRequest{relay: r, writer: w, request: request, arrivedAt: time.Now()}
	p.serve()
}
