package relay

import (
	"maps"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/rs/zerolog"

	"snipetally.example/router/internal/hop"
	"snipetally.example/router/internal/placement"
	"snipetally.example/router/internal/sharedrate"
)

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
// response yet, and those whose response has begun. limit and brittle are what it said of its need.
type serverUsage struct {
	// key names the limit of this lifetime of the server. placeKey names its places: one that is back
	// under its ID has the same ones, as some routers may still send to the lifetime before.
	key      sharedrate.Key
	placeKey sharedrate.Key

	unanswered atomic.Int64
	answering  atomic.Int64

	limit   limitUsage
	brittle brittleUsage

	// listedAt is the time on the clock at which the server of this lifetime was first listed.
	listedAt time.Duration

	// heardAt is the time on the clock at which the request of the last response was sent.
	heardAt atomic.Int64

	// leavingSince is the earliest time on the clock at which the server can have begun to leave,
	// longAgo if it was leaving when it was first listed, or zero while it is not known to leave.
	leavingSince atomic.Int64

	// leavingSaid says that a response said that the server leaves.
	leavingSaid atomic.Bool
}

// newServerUsage returns the usage of a lifetime of a server.
func newServerUsage(s Server) *serverUsage {
	return &serverUsage{key: s.key(), placeKey: sharedrate.Key(xxhash.Sum64String(s.ID))}
}

// serverLifetime identifies one lifetime of a server, from its start to its end.
type serverLifetime struct {
	id        string
	startedAt time.Time
}

// lifetime returns the lifetime that an entry is about.
func (s Server) lifetime() serverLifetime { return serverLifetime{id: s.ID, startedAt: s.StartedAt} }

// engineHash identifies a lifetime of a server between routers.
func (s Server) engineHash() uint64 {
	return xxhash.Sum64String(s.ID + "\x00" + strconv.FormatInt(s.StartedAt.UnixMilli(), 10))
}

// key identifies a lifetime of a server in what routers tell each other of it.
func (s Server) key() sharedrate.Key { return sharedrate.Key(s.engineHash()) }

// serverByKey returns the listed server of a lifetime or of places, or nil.
func (r *relay) serverByKey(key sharedrate.Key) *backendServer {
	for _, s := range *r.servers.Load() {
		if s.usage.key == key || s.usage.placeKey == key {
			return s
		}
	}
	return nil
}

// installServers replaces the set of backend servers by a list of an era. Requests in progress
// at servers that are gone continue.
func (r *relay) installServers(servers map[string]Server, era int64) {
	r.installMu.Lock()
	defer r.installMu.Unlock()
	r.install(serverList{servers: servers, era: era})
}

// serverList is the list of backend servers as the table has it. It is immutable.
type serverList struct {
	servers map[string]Server
	era     int64
}

// install does the work of installServers. The caller holds r.installMu.
func (r *relay) install(list serverList) {
	old := *r.servers.Load()
	now := r.options.clock()
	servers := maps.Clone(list.servers)
	outdated := r.departures.correct(now, servers, list.era, old)
	r.installAgain(now, list)
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
			b.usage.listedAt = r.options.clock()
			if s.Draining {
				b.usage.leavingSince.Store(longAgo)
			}
		}
		_, corrected := outdated[id]
		next[id] = &backendServer{Server: s, pool: b.pool, entryDraining: s.Draining && !corrected, usage: b.usage}
		r.handleServerUpdate(old[id], next[id], r.options.serversAsOf)
	}
	for id, b := range old {
		if kept, ok := next[id]; !ok || kept.pool != b.pool {
			b.pool.Close()
			r.recordLeaving(b, r.options.removalsAsOf)
			r.migrateStreams(b)
			r.logLeaving(b).Msg("backend server removed")
		}
	}
	r.servers.Store(&next)
	r.updateBalancer()
	r.recallBrittleness()
	r.recallRests()
}

// installAgain installs a list again when the first doubt about its entries ends, unless
// another one was installed before. The caller holds r.installMu.
func (r *relay) installAgain(now time.Duration, list serverList) {
	if r.reinstall != nil {
		r.reinstall.Stop()
		r.reinstall = nil
	}
	after, ok := r.departures.nextEnd(now)
	if !ok {
		return
	}
	var timer *time.Timer
	timer = time.AfterFunc(after, func() {
		r.installMu.Lock()
		defer r.installMu.Unlock()
		if r.reinstall == timer {
			r.install(list)
		}
	})
	r.reinstall = timer
}

// accepts reports whether a server that was chosen earlier still accepts new
// requests.
func (r *relay) accepts(chosen *backendServer) bool {
	current, ok := (*r.servers.Load())[chosen.ID]
	return ok && !current.Draining && current.pool == chosen.pool
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
// lifetime with the same ID. knownUntil is as for recordLeaving.
func (r *relay) handleServerUpdate(old, s *backendServer, knownUntil func() (time.Duration, bool)) {
	switch {
	case old == nil:
		r.options.log.StateChange().Str("server", s.ID).Str("service", s.Service).Str("address", s.Address).
			Bool("leaving", s.Draining).Msg("backend server added")
	case s.Draining && !old.Draining:
		r.logLeaving(old).Msg("backend server draining")
		r.recordLeaving(s, knownUntil)
		r.migrateStreams(s)
	case !s.Draining && old.Draining:
		s.usage.leavingSince.Store(0)
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
