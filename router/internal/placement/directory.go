package placement

import (
	"slices"
	"time"
)

const (
	// knownSessions bounds the sessions that a directory knows.
	knownSessions = 8192

	// knownKeepers bounds the engines that are known to keep one session.
	knownKeepers = 3

	// longestKept and shortestKept bound the time for which an engine is
	// believed to keep a session that nobody uses.
	longestKept  = time.Minute
	shortestKept = 2 * time.Second
)

// SessionUse says that a request of a session was placed on a server. Both are named by
// hashes.
type SessionUse struct {
	Session uint32
	Server  uint32
}

// keeper is an engine that keeps the shared parts of a session.
type keeper struct {
	server uint32
	used   time.Time
}

// directory knows which engines read the shared parts of which sessions lately,
// on behalf of any router. Engines keep what was used last.
type directory struct {
	sessions map[uint32][]keeper
}

// see notes a use.
func (d *directory) see(now time.Time, use SessionUse) {
	if d.sessions == nil {
		d.sessions = make(map[uint32][]keeper)
	}
	keepers, known := d.sessions[use.Session]
	if !known && len(d.sessions) >= knownSessions {
		d.forgetSome(now)
	}
	keepers = slices.DeleteFunc(keepers, func(k keeper) bool { return k.server == use.Server })
	if len(keepers) >= knownKeepers {
		keepers = keepers[1:]
	}
	d.sessions[use.Session] = append(keepers, keeper{server: use.Server, used: now})
}

// forgetSome makes room for a session: it drops those that were not used for
// long, or any one if there are none.
func (d *directory) forgetSome(now time.Time) {
	before := len(d.sessions)
	for session, keepers := range d.sessions {
		if now.Sub(keepers[len(keepers)-1].used) > longestKept {
			delete(d.sessions, session)
		}
	}
	if len(d.sessions) < before {
		return
	}
	for session := range d.sessions {
		delete(d.sessions, session)
		return
	}
}

// keepers returns the engines that got the session last, the latest one at the
// end.
func (d *directory) keepers(session uint32) []keeper { return d.sessions[session] }

// keptFor returns for how long the engine is believed to keep parts that nobody
// uses: until as many tokens came as it has room for beside its requests.
func (w *Request) keptFor(m *server) time.Duration {
	if m.CacheTokens == 0 || w.flow <= 0 {
		return longestKept
	}
	room := max(float64(m.CacheTokens)-float64(m.held+m.peers.held), 0)
	seconds := room / w.flow
	return min(max(time.Duration(seconds*float64(time.Second)), shortestKept), longestKept)
}

// keptBy reports whether an engine is believed to keep the session of the work.
func (w *Request) keptBy(now time.Time, m *server) bool {
	for _, k := range w.keepers {
		if k.server == short(m.hash) {
			return now.Sub(k.used) < w.keptFor(m)
		}
	}
	return false
}

// inform adds to the work what is believed of its session and of the service.
// The caller holds b.mu.
func (b *Balancer) inform(now time.Time, work *Request, of *service) {
	work.routers = len(b.peers) + 1
	work.common = of.common(now, work, work.routers)
	if work.common < work.shared() {
		work.name = work.session()
		work.keepers = b.sessions.keepers(short(work.name))
	}
	work.flow = (of.flow.current(now) + of.peerFlow) / float64(max(len(of.members), 1))
}

// use notes that the work was placed on a server. The caller holds b.mu.
func (b *Balancer) use(now time.Time, work *Request, of *service, s *server) {
	if len(work.Parts) > 1 {
		of.usage.see(now, work.Parts[0].ID)
	}
	if work.name == 0 {
		return
	}
	use := SessionUse{Session: short(work.name), Server: short(s.hash)}
	b.sessions.see(now, use)
	b.uses = append(b.uses, use)
}
