package relay

import (
	"net/netip"
	"time"

	"snipetally.example/coordination/feed"
	"snipetally.example/router/internal/loadreport"
)

// useBroadcaster creates the exchange of load reports.
func (n *Node) useBroadcaster() {
	n.broadcaster = loadreport.New(loadreport.Config{
		Address:  n.config.PeerAddress,
		Seeds:    n.peerSeeds,
		Balancer: n.relay.balancer,
		PlanAge:  n.relay.planAge,
		Proofs:   n.proofs,
		HearProofs: func(p loadreport.Proofs) {
			n.plans.Learn(p.Plan)
			n.servers.Learn(p.Servers)
		},
		PlanInForce:     n.relay.planInForce,
		HearPlanInForce: n.relay.hearPlanInForce,

		Reach: n.relay.reach,
		ReportError: func(err error) {
			n.log.RepeatedFailure(time.Now(), "load report", err).Msg("load report lost")
		},
	})
}

// otherSeeds returns the addresses of other routers that a router is told at its start.
func otherSeeds(config Config) []netip.AddrPort {
	if !config.PeerAddress.IsValid() {
		return nil
	}
	var others []netip.AddrPort
	for _, seed := range config.PeerSeeds {
		if seed != config.PeerAddress {
			others = append(others, seed)
		}
	}
	return others
}

// proofs returns the newest proofs that this node has.
func (n *Node) proofs() loadreport.Proofs {
	return loadreport.Proofs{Plan: n.plans.Proof(), Servers: n.servers.Proof()}
}

// learner is a follower of any table.
type learner interface{ Learn(feed.Proof) }

// shareProof tells the follower of the other table, and unless the call was a
// watch also the other routers, what a response proves. The others then need not
// check their copies. Watches end often enough at some router, and their proofs
// go out with the next load report.
func (n *Node) shareProof(other learner, call feed.Call, covered feed.Proof) {
	other.Learn(covered)
	if call != feed.WatchCall {
		n.broadcaster.AnnounceProofs()
	}
}

// useDirectory creates the directory and connects it with the relay.
func (n *Node) useDirectory() {
	n.directory = loadreport.NewDirectory(loadreport.DirectoryConfig{
		Address: n.config.DirectoryAddress,
		Members: n.directoryMembers,
		Loads:   n.relay.balancer,
		ReportError: func(err error) {
			n.log.RepeatedFailure(time.Now(), "load directory", err).Msg("load not exchanged")
		},
	})
	n.relay.options.askLoads = n.directory.Ask
	n.relay.balancer.OnLoadChange(n.directory.Publish)
}

// directoryMembers returns the addresses of the directories of the other routers
// that are alive.
func (n *Node) directoryMembers(now time.Time) []netip.AddrPort {
	live := n.broadcaster.Live(now)
	for i, peer := range live {
		live[i] = netip.AddrPortFrom(peer.Addr(), n.config.DirectoryAddress.Port())
	}
	return live
}
