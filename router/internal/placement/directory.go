package placement

import (
	"slices"
	"time"
)

const (
	// maxSessions bounds the number of sessions in a directory.
	maxSessions = 8192

	// maxHolders bounds the number of engines that are recorded for one
	// session.
	maxHolders = 3

	// maxRetention and minRetention bound the time for which an engine is
	// expected to cache an unused session.
	maxRetention = time.Minute
	minRetention = 2 * time.Second
)

// SessionUse records that a request of a session was placed on a server. Both
// are named by hashes.
type SessionUse struct {
	Session uint32
	Server  uint32
}

// holder is an engine that has the shared parts of a session cached.
type holder struct {
	server uint32
	used   time.Time
}

// sessionDirectory records which engines recently processed the shared parts of
// which sessions, on behalf of any router. Engines keep the most recently used
// prefixes.
type sessionDirectory struct {
	sessions map[uint32][]holder
}

// record adds a use.
func (d *sessionDirectory) record(now time.Time, use SessionUse) {
	if d.sessions == nil {
		d.sessions = make(map[uint32][]holder)
	}
	holders, known := d.sessions[use.Session]
	if !known && len(d.sessions) >= maxSessions {
		d.evict(now)
	}
	holders = slices.DeleteFunc(holders, func(h holder) bool { return h.server == use.Server })
	if len(holders) >= maxHolders {
		holders = holders[1:]
	}
	d.sessions[use.Session] = append(holders, holder{server: use.Server, used: now})
}

// forget takes back a use.
func (d *sessionDirectory) forget(use SessionUse) {
	holders := slices.DeleteFunc(d.sessions[use.Session], func(h holder) bool { return h.server == use.Server })
	if len(holders) == 0 {
		delete(d.sessions, use.Session)
		return
	}
	d.sessions[use.Session] = holders
}

// evict drops the sessions that were unused for longer than maxRetention, or an
// arbitrary one if there are none, so that another one can be added.
func (d *sessionDirectory) evict(now time.Time) {
	before := len(d.sessions)
	for session, holders := range d.sessions {
		if now.Sub(holders[len(holders)-1].used) > maxRetention {
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

// holders returns the engines that last processed the session, the most recent
// one at the end.
func (d *sessionDirectory) holders(session uint32) []holder { return d.sessions[session] }

// retention returns for how long the engine is expected to cache unused parts:
// until as many tokens have arrived as fit beside its running requests.
func (r *Request) retention(m *server) time.Duration {
	if m.CacheTokens == 0 || r.tokenRate <= 0 {
		return maxRetention
	}
	free := max(float64(m.CacheTokens)-float64(m.reservedTokens+m.peers.reservedTokens), 0)
	seconds := free / r.tokenRate
	return min(max(time.Duration(seconds*float64(time.Second)), minRetention), maxRetention)
}

// cachedOn reports whether an engine is expected to have the request's session
// cached.
func (r *Request) cachedOn(now time.Time, m *server) bool {
	for _, h := range r.holders {
		if h.server == shortHash(m.hash) {
			return now.Sub(h.used) < r.retention(m)
		}
	}
	return false
}

// annotate sets the fields of the request that hold the balancer's estimates
// for its session and service. The caller holds b.mu.
func (b *Balancer) annotate(now time.Time, req *Request, svc *service) {
	req.commonTokens = svc.commonTokens(now, req, len(b.peers)+1)
	if req.commonTokens < req.sharedTokens() {
		req.sessionHash = req.hashSession()
		req.holders = b.sessions.holders(shortHash(req.sessionHash))
	}
	req.tokenRate = (svc.tokenRate.current(now) + svc.peerTokenRate) / float64(max(len(svc.members), 1))
}

// recordUse records that the request was placed on a server, and returns the use of its
// session if it has one. The caller holds b.mu.
func (b *Balancer) recordUse(now time.Time, req *Request, svc *service, s *server) SessionUse {
	if len(req.Parts) > 1 {
		svc.partUsage.record(now, req.Parts[0].ID)
	}
	if req.sessionHash == 0 {
		return SessionUse{}
	}
	use := SessionUse{Session: shortHash(req.sessionHash), Server: shortHash(s.hash)}
	b.sessions.record(now, use)
	b.newUses = append(b.newUses, use)
	return use
}
