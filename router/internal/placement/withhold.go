package placement

import (
	"slices"
	"time"
)

// Withhold keeps requests of a level and later ones from a server until a time, whether or
// not there are others, as its limit is used up.
func (b *Balancer) Withhold(id string, until time.Time, level float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if s, ok := b.servers[id]; ok {
		s.withheldUntil, s.withheldLevel = until, level
	}
}

// Rest keeps all requests from a server until a time, whether or not there are others, as it
// asked this router for that.
func (b *Balancer) Rest(id string, until time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if s, ok := b.servers[id]; ok && until.After(s.restingUntil) {
		s.restingUntil = until
	}
}

// withholds reports whether a request is kept from the server.
func (s *server) withholds(now time.Time, req *Request) bool {
	return now.Before(s.restingUntil) || now.Before(s.withheldUntil) && req.Level >= s.withheldLevel
}

// withheldFor returns until when a request that is kept from the server is kept from it.
func (s *server) withheldFor(now time.Time, req *Request) time.Time {
	if now.Before(s.withheldUntil) && req.Level >= s.withheldLevel && s.withheldUntil.After(s.restingUntil) {
		return s.withheldUntil
	}
	return s.restingUntil
}

// pickNone returns why no member may get a request. If some are only withheld, the choice
// has the time until the first of them may be asked for again.
func (s *service) pickNone(now time.Time, req *Request, tried []string) (*Reservation, Choice, error) {
	var first time.Time
	for _, m := range s.members {
		if slices.Contains(tried, m.ID) || !m.withholds(now, req) {
			continue
		}
		if until := m.withheldFor(now, req); first.IsZero() || until.Before(first) {
			first = until
		}
	}
	if first.IsZero() {
		return nil, Choice{}, ErrNoServer
	}
	return nil, Choice{LimitWait: first.Sub(now)}, ErrLimited
}

// Withdraw releases a reservation whose request is not sent to the server. It leaves no
// trace, unlike Done: the session was not processed there.
func (r *Reservation) Withdraw(now time.Time) {
	r.release(now, Canceled)
	r.withdrawUse()
	r.notifyLoadChange()
}

// withdrawUse takes back what the directory learned of the session, unless the server was
// expected to have it cached before.
func (r *Reservation) withdrawUse() {
	if r.cached || r.use == (SessionUse{}) {
		return
	}
	b := r.balancer
	b.mu.Lock()
	defer b.mu.Unlock()
	b.sessions.forget(r.use)
	if i := slices.Index(b.newUses, r.use); i >= 0 {
		b.newUses = slices.Delete(b.newUses, i, i+1)
	}
}
