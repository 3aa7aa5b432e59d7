package relay

import (
	"maps"
	"net/http"
	"net/netip"
	"time"

	"snipetally.example/router/internal/hop"
	"snipetally.example/router/internal/sharedrate"
)

// observeStatements records what a response says of its server. The response of another server
// at the same address says nothing about this one.
func (p *proxiedRequest) observeStatements(target *backendServer, response *hop.Response) {
	info := p.relay.options.codec.ParseResponse(response.Status, response.Header)
	if response.Status == http.StatusMisdirectedRequest || info.AttemptID != p.info.AttemptID {
		return
	}
	said := sharedrate.Statement{Limited: info.Limit.Named, PerSecond: info.Limit.PerSecond, Leaving: info.Leaving}
	p.relay.limits.Observe(target.usage.key, said, p.sentAt)
	p.relay.logNamedLimit(target, info.Limit)
	p.relay.observeBrittleness(target, info.Brittle, p.sentAt)
	if wait := restTime(response); wait > 0 {
		p.relay.rest(target, wait)
	}
	if info.Leaving && target.usage.leavingSaid.CompareAndSwap(false, true) {
		p.relay.logLeaving(target).Str("request", p.info.AttemptID).Msg("backend server says in a response that it leaves")
		p.relay.leavingLater(target.usage.key)
	}
}

// hearLeaving records that another router says that a server leaves. The key teller of the line
// holds that router.
func (r *relay) hearLeaving(key sharedrate.Key, teller netip.AddrPort) {
	event := r.options.log.Request(time.Now(), nil)
	if s := r.serverByKey(key); s != nil {
		event = event.Str("server", s.ID).Str("service", s.Service)
	}
	event.Str("teller", teller.Addr().String()).Msg("backend server heard of to leave")
	r.leavingLater(key)
}

// leavingBatchDelay is the time for which servers that say that they leave are collected, as
// many may say so at once and each change copies the list of servers.
const leavingBatchDelay = 10 * time.Millisecond

// leavingLater makes a lifetime of a server count as leaving soon.
func (r *relay) leavingLater(key sharedrate.Key) {
	r.leavingMu.Lock()
	defer r.leavingMu.Unlock()
	if r.saidLeaving == nil {
		r.saidLeaving = make(map[sharedrate.Key]struct{})
		time.AfterFunc(leavingBatchDelay, r.installLeaving)
	}
	r.saidLeaving[key] = struct{}{}
}

// installLeaving marks the servers as draining that say in responses that they leave.
func (r *relay) installLeaving() {
	r.leavingMu.Lock()
	keys := r.saidLeaving
	r.saidLeaving = nil
	r.leavingMu.Unlock()
	r.installMu.Lock()
	defer r.installMu.Unlock()
	r.departures.announce(r.options.clock(), keys)
	next := maps.Clone(*r.servers.Load())
	for id, s := range next {
		if _, leaving := keys[s.usage.key]; !leaving || s.Draining {
			continue
		}
		marked := *s
		marked.Draining = true
		r.handleServerUpdate(s, &marked, r.options.removalsAsOf) // Its entry may be gone, and be kept for a while.
		next[id] = &marked
	}
	r.servers.Store(&next)
	r.updateBalancer()
}
