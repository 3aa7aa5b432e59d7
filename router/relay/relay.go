// Package relay serves requests that callers address to a host and a path, and
// relays them to the backend servers of their class. It is the router's part
// for installations where operators hand over a plan that arrives whole and
// backend servers register themselves; what speaks to such an installation
// stays behind the package's small interfaces.
//
// A request holds the view of the plan that it began with to its end. Relay
// keeps no lock while it waits for a network.
package relay

import (
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"

	"snipetally.example/coordination/feed"
	"snipetally.example/router/internal/decision"
	"snipetally.example/router/internal/hop"
	"snipetally.example/router/internal/placement"
	"snipetally.example/router/internal/repeat"
)

// options are what a relay is made with.
type options struct {
	codec Codec
	mover Migrator
	clock feed.Clock
	zone  string

	// name is the address by which other routers hear of this one.
	name   string
	bounds Bounds

	// room is the number of bytes of bodies that are held at once, or zero if
	// there is no bound.
	room int64

	// asOf returns the time on the clock up to which the plan is known to be
	// the newest, and false before the first one.
	asOf func() (time.Duration, bool)

	// away returns for how long the plan has been out of reach, or zero.
	away func() time.Duration

	// others reports whether another router has a plan that is known to be
	// newer than the bound.
	others func(bound time.Duration) bool

	log     *decision.Log
	metrics metrics.Registry
}

// relay relays requests. Its methods are safe for concurrent use.
type relay struct {
	options options
	board   *placement.Balancer
	repeats *repeat.Budget
	streams *streams
	meters  *meters

	view     atomic.Pointer[view]
	servers  atomic.Pointer[map[string]*target]
	inflight atomic.Int64
	bodies   atomic.Int64
	stopping atomic.Int64

	// bounds are the promises in force. Operators may change them.
	bounds atomic.Pointer[Bounds]

	// install orders the changes of view and servers.
	install sync.Mutex
}

// target is a backend server with the connections to it.
type target struct {
	Server
	pool *hop.Pool
}

// newRelay returns a relay that knows no plan and no servers.
func newRelay(options options) *relay {
	r := &relay{
		options: options,
		board:   placement.NewBalancer(time.Now(), options.name, options.zone),
		streams: newStreams(),
		repeats: repeat.NewBudget(options.bounds.RetryRatio, options.bounds.RetryWindow),
		meters:  newMeters(options.metrics),
	}
	r.servers.Store(&map[string]*target{})
	r.bounds.Store(&options.bounds)
	return r
}

// installPlan puts a plan in force. A plan that is not newer than the one in
// force is passed over, so that a router never goes back.
func (r *relay) installPlan(plan Plan) {
	r.install.Lock()
	defer r.install.Unlock()
	old := r.view.Load()
	if old != nil && plan.Version <= old.plan.Version {
		r.options.log.StateChange().Int64("version", plan.Version).Int64("kept", old.plan.Version).Msg("plan passed over")
		return
	}
	next := newView(plan)
	for name, targets := range targetsByService(plan) {
		r.board.SetTargets(name, targets)
	}
	r.meters.follow(plan)
	r.view.Store(next)
	r.place()
	r.options.log.StateChange().Int64("version", plan.Version).Int("classes", len(plan.Classes)).
		Int("teams", len(plan.Teams)).Msg("plan in force")
}

// targetsByService returns the targets of the classes of each model service.
func targetsByService(plan Plan) map[string][]time.Duration {
	targets := make(map[string][]time.Duration)
	for _, class := range plan.Classes {
		if class.Kind != Stream {
			continue
		}
		for _, split := range class.Splits {
			targets[split.Service] = append(targets[split.Service], class.TargetLatency)
		}
	}
	return targets
}

// installServers replaces the backend servers. Requests in progress at servers
// that left go on.
func (r *relay) installServers(servers map[string]Server) {
	r.install.Lock()
	defer r.install.Unlock()
	old := *r.servers.Load()
	next := make(map[string]*target, len(servers))
	for id, s := range servers {
		t, ok := old[id]
		if !ok || t.Address != s.Address {
			t = &target{pool: hop.NewPool(s.Address)}
		}
		next[id] = &target{Server: s, pool: t.pool}
		r.logServer(old[id], s)
	}
	for id, t := range old {
		if kept, ok := next[id]; !ok || kept.pool != t.pool {
			t.pool.Close()
			r.evacuate(t.Server)
			r.options.log.StateChange().Str("server", id).Msg("backend server gone")
		}
	}
	r.servers.Store(&next)
	r.place()
}

// setBounds puts other promises in force.
func (r *relay) setBounds(bounds Bounds) {
	r.bounds.Store(&bounds)
	r.repeats.SetRatio(bounds.RetryRatio)
}

// place tells the board which servers take work and what kind they are. The
// plan knows the kind and may come after the servers. The caller holds
// r.install.
func (r *relay) place() {
	v := r.view.Load()
	if v == nil {
		return
	}
	var open []placement.Server
	for _, s := range *r.servers.Load() {
		if s.Draining {
			continue
		}
		placed := placement.Server{
			ID: s.ID, Service: s.Service, Zone: s.Zone, Slots: s.Slots, WarmupLeft: s.WarmupRemaining,
		}
		if service, ok := v.services[s.Service]; ok {
			placed.Engine, placed.CacheTokens = service.IsEngine(), service.CacheTokens
		}
		open = append(open, placed)
	}
	r.board.SetServers(time.Now(), open)
}

// logServer tells what became known of a server.
func (r *relay) logServer(old *target, s Server) {
	switch {
	case old == nil:
		r.options.log.StateChange().Str("server", s.ID).Str("service", s.Service).Str("address", s.Address).
			Bool("leaving", s.Draining).Msg("backend server learned")
	case s.Draining && !old.Draining:
		r.options.log.StateChange().Str("server", s.ID).Msg("backend server leaving")
		r.evacuate(s)
	}
}

// stop makes the relay say goodbye: answers tell callers to use another
// connection, and after the linger time requests are refused.
func (r *relay) stop(linger time.Duration) {
	r.stopping.Store(int64(r.options.clock() + linger))
}

// inProgress returns the number of requests in progress.
func (r *relay) inProgress() int64 { return r.inflight.Load() }

// refuses reports whether a stopping relay takes no more requests.
func (r *relay) refuses() bool {
	until := r.stopping.Load()
	return until != 0 && r.options.clock() >= time.Duration(until)
}

// ready reports whether callers should be sent here.
func (r *relay) ready() bool {
	if r.stopping.Load() != 0 || r.view.Load() == nil || len(*r.servers.Load()) == 0 {
		return false
	}
	return !r.cutOff()
}

// ServeHTTP implements http.Handler.
func (r *relay) ServeHTTP(w http.ResponseWriter, request *http.Request) {
	r.inflight.Add(1)
	defer r.inflight.Add(-1)
	if r.stopping.Load() != 0 || r.cutOff() {
		w.Header().Set("Connection", "close")
	}
	x := &exchange{relay: r, writer: w, request: request, arrived: time.Now()}
	x.serve()
}
