package loadreport

import (
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"
)

const (
	// peerTimeout is how long reports are sent to a router after its last
	// message, and introducedTimeout how long to a new seed or to a router named by
	// another one from which no message has come.
	peerTimeout       = 10 * time.Second
	introducedTimeout = 3 * time.Second

	// seedInterval is the interval at which a seed gets reports that isn't heard since it
	// was named, and seedReports the number of these reports.
	seedInterval = time.Second
	seedReports  = 2

	// introductionTime is the least time for which a router gets reports that this one
	// introduces itself to, and introductionReports the least number of them.
	introductionTime    = 300 * time.Millisecond
	introductionReports = 2

	// introducedPeers is the number of other routers that a message names.
	introducedPeers = 3
)

// activePeers drops the peers whose time is over and returns the others,
// with the seeds at times.
func (b *Broadcaster) activePeers(now time.Time) []netip.AddrPort {
	seeds := b.config.Seeds()
	b.mu.Lock()
	defer b.mu.Unlock()
	for peer, until := range b.peers {
		if now.After(until) {
			delete(b.peers, peer)
			delete(b.planAges, peer)
			delete(b.heard, peer)
			delete(b.reaches, peer)
		}
	}
	if live := len(b.live(now)); live > b.mostLive {
		b.mostLive, b.mostLiveSince = live, now
	}
	b.addSeeds(now, seeds)
	peers := make([]netip.AddrPort, 0, len(b.peers))
	for peer := range b.peers {
		peers = append(peers, peer)
	}
	return peers
}

// addSeeds adds the seeds to the peers: new ones for a while, and after that, as they may have
// ended, for a few reports at a time. The caller holds b.mu.
func (b *Broadcaster) addSeeds(now time.Time, seeds []netip.AddrPort) {
	if !slices.Equal(seeds, b.seeds) {
		b.seeds, b.seedsNamedAt = seeds, now
	}
	if now.Sub(b.seedsNamedAt) > introducedTimeout && now.Sub(b.seedsAddedAt) < seedInterval {
		return
	}
	b.seedsAddedAt = now
	for _, seed := range seeds {
		b.addPeer(seed, now.Add(seedReports*interval(len(b.peers)+1)))
	}
}

// Introduce sends a few reports to routers that may be alive. Those that get one report back.
func (b *Broadcaster) Introduce(routers []netip.AddrPort) {
	now := time.Now()
	b.mu.Lock()
	defer b.mu.Unlock()
	length := max(introductionTime, introductionReports*interval(len(b.peers)+len(routers)))
	for _, router := range routers {
		b.addPeer(router, now.Add(length))
	}
}

// addPeer adds a router that gets reports until a time, or extends its time.
// The caller holds b.mu.
func (b *Broadcaster) addPeer(peer netip.AddrPort, until time.Time) {
	if peer == b.config.Address || !until.After(b.peers[peer]) {
		return
	}
	b.peers[peer] = until
}

// samplePeers returns a random sample of the routers that are heard. Others are not named:
// one that has ended would be named from router to router for good.
func samplePeers(peers []netip.AddrPort) []netip.AddrPort {
	if len(peers) <= introducedPeers {
		return peers
	}
	sample := make([]netip.AddrPort, 0, introducedPeers)
	for _, i := range rand.Perm(len(peers))[:introducedPeers] {
		sample = append(sample, peers[i])
	}
	return sample
}
