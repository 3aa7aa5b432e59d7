package relay

import (
	"maps"
	"math/rand/v2"
	"net/netip"
	"slices"
	"sync"
	"time"

	"snipetally.example/router/internal/hop"
)

const (
	// maxHandoverTries is the number of routers that a request is offered to. Only one takes it.
	maxHandoverTries = 3

	// minKeptRouters is the number of entries for other routers up to which none is dropped.
	minKeptRouters = 64

	// declineTime is how long a router that declined is asked only if there is no other.
	declineTime = 500 * time.Millisecond
)

// peerRouters are the routers that requests are handed over to. The methods are safe for
// concurrent use.
type peerRouters struct {
	own netip.AddrPort

	// inReach returns the addresses of the other routers that are alive and reach servers.
	inReach func(now time.Time) []netip.AddrPort

	// mu guards the fields below. declinedUntil is until when a router that declined is
	// avoided.
	mu            sync.Mutex
	pools         map[netip.AddrPort]*hop.Pool
	declinedUntil map[netip.AddrPort]time.Time
}

// newPeerRouters returns the routers that requests are handed over to at the port of an own
// address. If that is not valid, there are none.
func newPeerRouters(own netip.AddrPort, inReach func(time.Time) []netip.AddrPort) *peerRouters {
	return &peerRouters{
		own: own, inReach: inReach,
		pools: make(map[netip.AddrPort]*hop.Pool), declinedUntil: make(map[netip.AddrPort]time.Time),
	}
}

// candidates returns routers in the order in which a request is offered to them: at random, as
// that spreads the load of routers that are cut off over all others, and those that declined
// lately last.
func (r *peerRouters) candidates(now time.Time) []netip.AddrPort {
	if !r.own.IsValid() {
		return nil
	}
	peers := withPort(r.inReach(now), r.own.Port())
	rand.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	r.mu.Lock()
	defer r.mu.Unlock()
	r.forgetGone(peers)
	declined := func(p netip.AddrPort) int64 { return int64(max(r.declinedUntil[p].Sub(now), 0)) }
	slices.SortStableFunc(peers, func(a, b netip.AddrPort) int { return int(min(declined(a), 1) - min(declined(b), 1)) })
	return peers[:min(len(peers), maxHandoverTries)]
}

// forgetGone drops what is kept for routers that are gone, once that is much. The caller holds
// r.mu.
func (r *peerRouters) forgetGone(peers []netip.AddrPort) {
	if len(r.pools)+len(r.declinedUntil) <= 4*len(peers)+minKeptRouters {
		return
	}
	for peer, pool := range r.pools {
		if !slices.Contains(peers, peer) {
			pool.Close()
			delete(r.pools, peer)
		}
	}
	maps.DeleteFunc(r.declinedUntil, func(peer netip.AddrPort, _ time.Time) bool { return !slices.Contains(peers, peer) })
}

// pool returns the connections to a router.
func (r *peerRouters) pool(peer netip.AddrPort) *hop.Pool {
	r.mu.Lock()
	defer r.mu.Unlock()
	p, ok := r.pools[peer]
	if !ok {
		p = hop.NewPoolFrom(r.own.Addr(), peer.String())
		r.pools[peer] = p
	}
	return p
}

// recordDecline records that a router did not take a request.
func (r *peerRouters) recordDecline(now time.Time, peer netip.AddrPort) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.declinedUntil[peer] = now.Add(declineTime)
}
