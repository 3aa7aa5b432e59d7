package relay

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"snipetally.example/router/internal/placement"
	"snipetally.example/router/internal/sharedrate"
)

const (
	// placeWaitFraction is the fraction of its target latency that a request which has not run waits
	// for a place at a brittle server. The rest is for its work.
	placeWaitFraction = 1.0 / 2

	// maxPlaceWithholding bounds the time for which a router asks for no place at a server that has
	// none, as that may change at any moment.
	maxPlaceWithholding = 100 * time.Millisecond

	// presumptionDelay is how long after the first word of a service its other servers are not taken for
	// brittle that were listed before. Brittle servers have room for a while after their first word,
	// and most servers are heard in that time.
	presumptionDelay = time.Second

	// brittleMemory is how long after the last word of a brittle server its service is taken for
	// brittle: servers that fell over are away for some seconds, and say nothing.
	brittleMemory = 10 * time.Second
)

// brittleServices holds since when the servers of services say that they are brittle. A server that
// has not been heard since then is taken for brittle, too: most routers hear rarely of each server
// where there are many, and one that is back after it fell over is a new lifetime.
type brittleServices struct {
	// mu guards words.
	mu    sync.Mutex
	words map[string]brittleWords
}

// brittleWords is when the first and the last word came that a server of a service is brittle, in a
// time in which these words never stopped for brittleMemory.
type brittleWords struct{ first, last time.Duration }

// record records a word that a server of a service is brittle, from a time on.
func (b *brittleServices) record(at time.Duration, service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	w, ok := b.words[service]
	if !ok || at-w.last > brittleMemory {
		w.first = at
	}
	w.last = max(w.last, at)
	if b.words == nil {
		b.words = make(map[string]brittleWords)
	}
	b.words[service] = w
}

// since returns since when servers of a service are brittle, and false if none is.
func (b *brittleServices) since(now time.Duration, service string) (time.Duration, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	w, ok := b.words[service]
	return w.first, ok && now-w.last <= brittleMemory
}

// isBrittle reports whether servers of a service are brittle.
func (r *relay) isBrittle(service string) bool {
	if r.limits.BrittleServers() == 0 {
		return false
	}
	_, brittle := r.brittleServices.since(r.options.clock(), service)
	return brittle
}

// needsPlace reports whether a request needs a place at a server, as that says that it is brittle or
// may be.
func (r *relay) needsPlace(s *backendServer) bool {
	if r.limits.BrittleServers() == 0 {
		return false
	}
	since, brittle := r.brittleServices.since(r.options.clock(), s.Service)
	if !brittle {
		return false
	}
	if said, known := r.limits.Brittleness(s.usage.placeKey); known && said.Brittle {
		return true
	}
	if time.Duration(s.usage.heardAt.Load()) >= since {
		return false
	}
	return s.usage.listedAt > since || r.options.clock()-since > presumptionDelay
}

// isBackInBrittleService reports whether a server was listed only after the first word of its brittle service: it
// may have fallen over, and what it can do is unknown.
func (r *relay) isBackInBrittleService(s *backendServer) bool {
	since, brittle := r.brittleServices.since(r.options.clock(), s.Service)
	return brittle && s.usage.listedAt > since
}

// observeBrittleness records whether a response says that its server is brittle.
func (r *relay) observeBrittleness(target *backendServer, said ServerBrittleness, sentAt time.Duration) {
	if said.Named {
		r.brittleServices.record(r.options.clock(), target.Service)
	}
	r.limits.ObserveBrittleness(target.usage.placeKey, sharedrate.Brittleness{Brittle: said.Named, Tolerated: said.Tolerated}, sentAt)
	target.usage.heardAt.Store(int64(sentAt))
	r.logBrittleness(target, said)
}

// hearBrittleness records that another router says that a server begins or ends to be brittle.
func (r *relay) hearBrittleness(key sharedrate.Key, said sharedrate.Brittleness, teller netip.AddrPort) {
	s := r.serverByKey(key)
	if s == nil {
		return
	}
	if said.Brittle {
		r.brittleServices.record(said.At, s.Service)
	}
	r.options.log.Request(time.Now(), nil).Str("server", s.ID).Str("service", s.Service).Bool("brittle", said.Brittle).
		Int("tolerated", said.Tolerated).Dur("heard", r.options.clock()-said.At).Str("teller", teller.Addr().String()).
		Msg("brittle server heard of")
}

// recallBrittleness records the words about servers that other routers said before these servers
// were listed here.
func (r *relay) recallBrittleness() {
	if r.limits.BrittleServers() == 0 {
		return
	}
	for _, s := range *r.servers.Load() {
		if said, known := r.limits.Brittleness(s.usage.placeKey); known && said.Brittle {
			r.brittleServices.record(said.At, s.Service)
		}
	}
}

// acquirePlace gets a place at a brittle server, for which the request may wait for a time.
func (p *proxiedRequest) acquirePlace(ctx context.Context, at *place, target *backendServer, patience time.Duration) (sharedrate.Denial, bool) {
	lease, denial, ok := p.relay.limits.AcquirePlace(ctx, target.usage.placeKey, sharedrate.PlaceRequest{
		Slots: max(target.Slots, 1), Opened: !p.relay.isBackInBrittleService(target), Level: sharedrate.Level(p.placementRequest.Level), Patience: max(patience, 0),
	})
	if !ok {
		denial.Level = sharedrate.Level(p.placementRequest.Level)
		denial.Wait = min(denial.Wait, maxPlaceWithholding)
		p.recordDenial(target, denial)
		return denial, false
	}
	p.relay.releaseLease(at) // One that ran out.
	at.lease = lease
	return sharedrate.Denial{}, true
}

// awaitPlace waits for a place at a server of a brittle service as long as the target of the request
// bears, or up to a time if that is longer: at the server that is expected to have one first.
func (p *proxiedRequest) awaitPlace(ctx context.Context, request placement.Request, tried []string, limit time.Duration) (*place, placement.Choice, error) {
	limit = max(limit, time.Duration(placeWaitFraction*float64(request.Target)))
	waitEnd := p.arrivedAt.Add(limit)
	if request.Admitted {
		waitEnd = time.Now().Add(limit)
	}
	if latest := p.deadline.Add(-minAttemptTime); waitEnd.After(latest) {
		waitEnd = latest
	}
	var full []string
	for questions := 0; questions < maxPermitQuestions; {
		patience := time.Until(waitEnd)
		if ctx.Err() != nil || patience <= 0 {
			break
		}
		reservation, choice, err := p.relay.balancer.PickSoonest(time.Now(), request, append(full, tried...))
		if err != nil {
			break
		}
		next := p.newPlace(reservation, choice)
		target, ok := p.target(next)
		if !ok {
			return next, choice, nil
		}
		denial, ok := p.acquire(ctx, next, target, patience)
		if ok {
			return next, choice, nil
		}
		if !denial.Unasked || len(full) >= maxSkipped {
			questions++
		}
		full = append(full, choice.Server)
		reservation.Withdraw(time.Now())
	}
	return nil, placement.Choice{LimitWait: shortRetryDelay}, placement.ErrLimited
}

// brittleRate returns the number of requests a second that the brittle servers of a service can take.
func (r *relay) brittleRate(service string) float64 {
	if !r.isBrittle(service) {
		return 0
	}
	servers := *r.servers.Load()
	return r.balancer.ServiceRate(service, func(id string) bool {
		s, ok := servers[id]
		return ok && r.needsPlace(s)
	})
}
