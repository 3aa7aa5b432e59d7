package loadreport

import (
	"net/netip"
	"time"
)

// Reach is what a router hears of the backend servers.
type Reach struct {
	// Heard says that the router has heard a server, and Unheard is the time since then.
	Heard   bool
	Unheard time.Duration

	// Closed says that the router takes no requests of others, as no server answers it or it stops.
	Closed bool
}

// peerReach is what another router said of its links to the servers. heardAt is when it last
// heard one, or the zero time.
type peerReach struct {
	heardAt time.Time
	closed  bool
}

// newPeerReach returns what a report says that is received now.
func newPeerReach(now time.Time, reach Reach) peerReach {
	p := peerReach{closed: reach.Closed}
	if reach.Heard {
		p.heardAt = now.Add(-reach.Unheard)
	}
	return p
}

// ownReach returns what this router says of its links.
func (b *Broadcaster) ownReach() Reach {
	if b.config.Reach == nil {
		return Reach{}
	}
	return b.config.Reach()
}

// PeerHeardAfter reports whether another router has heard a backend server after a time.
func (b *Broadcaster) PeerHeardAfter(t time.Time) bool {
	now := time.Now()
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, peer := range b.live(now) {
		if b.reaches[peer].heardAt.After(t) {
			return true
		}
	}
	return false
}

// PeersInReach returns the addresses of the routers that are alive and take requests of
// others as far as they said.
func (b *Broadcaster) PeersInReach(now time.Time) []netip.AddrPort {
	b.mu.Lock()
	defer b.mu.Unlock()
	var peers []netip.AddrPort
	for _, peer := range b.live(now) {
		if !b.reaches[peer].closed {
			peers = append(peers, peer)
		}
	}
	return peers
}
