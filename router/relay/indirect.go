package relay

import (
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/rcrowley/go-metrics"

	"snipetally.example/coordination/feed"
)

const (
	// maxServedCalls is the number of calls of other routers to the tables that
	// a router makes at the same time. They share its link with callers.
	maxServedCalls = 2

	// freshPeerAge is the largest age of the plan of a router that is asked to
	// reach the tables.
	freshPeerAge = time.Second
)

// PeerTables reach the tables through other routers.
type PeerTables struct {
	// Serve makes the calls of other routers to the tables.
	Serve http.Handler

	// Plans and Servers return the tables as reached through the router at an
	// address.
	Plans   func(peer string) feed.Source[Plan]
	Servers func(peer string) feed.Source[Server]
}

// indirectTable returns a function that returns a table as reached through another router
// that is likely to reach it, or false if none is known.
func indirectTable[T any](n *Node, through func(peer string) feed.Source[T]) func() (feed.Source[T], bool) {
	return func() (feed.Source[T], bool) {
		peers := n.broadcaster.PeersWithPlan(freshPeerAge)
		if len(peers) == 0 {
			return nil, false
		}
		return through(peers[rand.IntN(len(peers))].String()), true
	}
}

// servesIndirectCalls reports whether the node makes calls to the tables for others.
func (n *Node) servesIndirectCalls() bool {
	return n.config.PeerTables != nil && n.config.PeerAddress.IsValid()
}

// serveIndirectCall makes a call of another router to the tables, unless this router can't
// reach them either or makes enough such calls already.
func (n *Node) serveIndirectCall(w http.ResponseWriter, r *http.Request) {
	if n.plans.OutageDuration() > 0 || n.servers.OutageDuration() > 0 {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	select {
	case n.indirectCalls <- struct{}{}:
		defer func() { <-n.indirectCalls }()
	default:
		w.WriteHeader(http.StatusTooManyRequests)
		return
	}
	metrics.GetOrRegisterCounter("indirect.served", n.metrics).Inc(1)
	n.config.PeerTables.Serve.ServeHTTP(w, r)
}
