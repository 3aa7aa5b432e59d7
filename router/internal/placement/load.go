package placement

import "time"

// Candidates returns the engines that Pick would consider for the request, by
// their hashes. It returns none if the service has no engines.
func (b *Balancer) Candidates(now time.Time, req Request, tried []string) []uint32 {
	b.mu.Lock()
	defer b.mu.Unlock()
	svc := b.service(req.Service)
	candidates := svc.candidates(now, &req, tried)
	if len(candidates) == 0 || !candidates[0].Engine {
		return nil
	}
	b.annotate(now, &req, svc)
	_, preferred, spillover := svc.considered(now, &req, candidates)
	hashes := make([]uint32, 0, len(preferred)+len(spillover))
	for _, m := range append(preferred, spillover...) {
		hashes = append(hashes, shortHash(m.hash))
	}
	return hashes
}

// Load returns this router's load at a server.
func (b *Balancer) Load(server uint32) Load {
	b.mu.Lock()
	defer b.mu.Unlock()
	s, ok := b.serversByHash[server]
	if !ok {
		return Load{}
	}
	return s.ownLoad()
}

// EngineLoads returns this router's load at the engines where it has requests.
func (b *Balancer) EngineLoads() []ServerLoad {
	b.mu.Lock()
	defer b.mu.Unlock()
	var loads []ServerLoad
	for _, s := range b.servers {
		if s.Engine && s.running > 0 {
			loads = append(loads, ServerLoad{Server: shortHash(s.hash), Load: s.ownLoad()})
		}
	}
	return loads
}

// SetPeerLoad sets the sum of the other routers' loads at a server, which is
// newer than their reports. It has no failure rate.
func (b *Balancer) SetPeerLoad(now time.Time, server uint32, load Load) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s, ok := b.serversByHash[server]
	if !ok {
		return
	}
	s.asked = peerLoad{}
	s.asked.accumulate(load, 1)
	s.askedAt = now
}

// OnLoadChange sets a function that is called with the hash of an engine after
// this router's load there has changed. It is called without locks held and
// must not block. It must be set before the first request.
func (b *Balancer) OnLoadChange(changed func(server uint32)) { b.loadChanged = changed }

// notifyLoadChange calls the function that OnLoadChange set. The caller must not
// hold the balancer's mutex.
func (r *Reservation) notifyLoadChange() {
	if r.balancer.loadChanged != nil && r.engine {
		r.balancer.loadChanged(shortHash(r.server.hash))
	}
}

// ownLoad returns this router's load at the server.
func (s *server) ownLoad() Load {
	return Load{
		Queued: s.queued.entries(), Running: s.running, Streams: s.streams.present(),
		ReservedTokens: s.reservedTokens, FailureRate: s.failureRate,
	}
}

// SumLoads returns the sum of loads, without failure rates.
func SumLoads(loads ...Load) Load {
	var sum peerLoad
	for _, l := range loads {
		sum.accumulate(l, 1)
	}
	return Load{Queued: sum.queued.entries(), Running: sum.running, Streams: sum.streams.present(), ReservedTokens: sum.reservedTokens}
}
