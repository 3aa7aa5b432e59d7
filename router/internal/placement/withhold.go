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
// asked this router for that. It replaces an earlier time.
func (b *Balancer) Rest(id string, until time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if s, ok := b.servers[id]; ok {
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
	tooLarge := false
	for _, m := range s.members {
		switch {
		case slices.Contains(tried, m.ID):
		case !m.fits(req):
			tooLarge = true
		case m.withholds(now, req):
			if until := m.withheldFor(now, req); first.IsZero() || until.Before(first) {
				first = until
			}
		}
	}
	switch {
	case !first.IsZero():
		return nil, Choice{LimitWait: first.Sub(now)}, ErrLimited
	case tooLarge:
		return nil, Choice{}, ErrTooLarge
	}
	return nil, Choice{}, ErrNoServer
}

// PickSoonest reserves capacity at the server that is withheld for the shortest time, or not at all, although
// it may be withheld: the request is to wait for it. It skips the servers in tried, and those that
// asked for nothing.
func (b *Balancer) PickSoonest(now time.Time, req Request, tried []string) (*Reservation, Choice, error) {
	reservation, choice, err := b.pickSoonest(now, req, tried)
	if err == nil {
		reservation.notifyLoadChange()
	}
	return reservation, choice, err
}

// pickSoonest does the work of PickSoonest except for the notification.
func (b *Balancer) pickSoonest(now time.Time, req Request, tried []string) (*Reservation, Choice, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	svc := b.service(req.Service)
	var chosen *server
	var least time.Duration
	start := int(req.Draw % uint64(max(len(svc.members), 1)))
	for i := range svc.members {
		m := svc.members[(start+i)%len(svc.members)]
		if slices.Contains(tried, m.ID) || now.Before(m.restingUntil) || now.Before(m.suspendedUntil) || !m.fits(&req) {
			continue
		}
		wait := max(m.withheldUntil.Sub(now), 0)
		if chosen == nil || wait < least {
			chosen, least = m, wait
		}
	}
	if chosen == nil {
		return nil, Choice{}, ErrNoServer
	}
	if chosen.Engine {
		b.annotate(now, &req, svc)
	}
	cached := chosen.Engine && req.cachedOn(now, chosen)
	choice := Choice{Server: chosen.ID, NextCost: -1, Cached: cached, QueuedTokens: chosen.queuedTokens(), Running: chosen.load()}
	return b.reserve(now, &req, svc, chosen, cached), choice, nil
}

// ServiceRate returns the number of requests a second that the servers of a service can take that
// a function accepts, if each works on as many at a time as it has slots.
func (b *Balancer) ServiceRate(service string, accepts func(id string) bool) float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	svc := b.service(service)
	rate := 0.0
	for _, m := range svc.members {
		if !accepts(m.ID) {
			continue
		}
		usual := svc.plainLatency.Seconds()
		if m.Engine {
			usual = svc.residence[shortGroup]
		}
		rate += float64(max(m.Slots, 1)) / max(usual, time.Millisecond.Seconds())
	}
	return rate
}

// Withdraw releases a reservation whose request is not sent to the server. It leaves no
// trace, unlike Done: the session was not processed there.
func (r *Reservation) Withdraw(now time.Time) {
	r.release(now, Canceled)
	r.withdrawUse()
	r.notifyEnd()
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
