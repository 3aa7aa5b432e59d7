package relay

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"syscall"
	"time"

	"github.com/juju/errors"

	"snipetally.example/router/internal/hop"
	"snipetally.example/router/internal/link"
	"snipetally.example/router/internal/loadreport"
	"snipetally.example/router/internal/uplink"
)

// useUplink creates the monitor of the links to the servers.
func (n *Node) useUplink() {
	r := n.relay
	n.uplink = uplink.NewMonitor(time.Now(), uplink.Config{
		Contacts:       r.contacts,
		Servers:        r.probableServers,
		Probe:          r.probe,
		LinkFailed:     linkFailed,
		PeerHeardAfter: n.broadcaster.PeerHeardAfter,
		Shuffle:        shuffle,
		OnChange:       r.logUplinkChange,
	})
	r.uplink = n.uplink
	r.peerRouters = newPeerRouters(n.config.HandoverAddress, n.broadcaster.PeersInReach)
}

// shuffle puts names in a random order.
func shuffle(names []string) {
	rand.Shuffle(len(names), func(i, j int) { names[i], names[j] = names[j], names[i] })
}

// reach returns what load reports say of the links to the servers. A router that stops takes no
// requests of others either.
func (r *relay) reach() loadreport.Reach {
	now := time.Now()
	heardAt, heard := r.contacts.HeardAt()
	return loadreport.Reach{Heard: heard, Unheard: max(now.Sub(heardAt), 0), Closed: r.outOfReach() || r.stopping()}
}

// probableServers returns the IDs of the servers that accept requests.
func (r *relay) probableServers() []string {
	var servers []string
	for id, s := range *r.servers.Load() {
		if !s.Draining {
			servers = append(servers, id)
		}
	}
	return servers
}

// probe asks a server for its health on a new connection. Any response will do, as only the
// link is in question.
func (r *relay) probe(ctx context.Context, server string) error {
	s, ok := (*r.servers.Load())[server]
	if !ok {
		return fmt.Errorf("probe %s: %w", server, errors.NotFound)
	}
	r.metrics.probes.Inc(1)
	pool := hop.NewPool(s.Address)
	defer pool.Close()
	response, err := pool.Send(ctx, hop.Request{
		Method: http.MethodGet, Target: r.healthPath(s.Service), Host: s.Address,
		Matches: func(http.Header, bool) bool { return true },
	})
	if err != nil {
		return fmt.Errorf("probe %s: %w", server, err)
	}
	response.Close()
	return nil
}

// defaultHealthPath is the path of health checks of a service whose plan names none.
const defaultHealthPath = "/"

// healthPath returns the path of a service's health checks.
func (r *relay) healthPath(service string) string {
	index := r.index.Load()
	if index == nil {
		return defaultHealthPath
	}
	if s, ok := index.servicesByName[service]; ok && s.HealthPath != "" {
		return s.HealthPath
	}
	return defaultHealthPath
}

// endContact records what an exchange that got no response shows of the link. One that was
// not sent for another reason, or that ended with its request, shows nothing by its end.
func (r *relay) endContact(ctx context.Context, contact *uplink.Exchange, err error) {
	if ctx.Err() != nil || !linkFailed(err) {
		contact.Cancel()
		return
	}
	contact.Failed()
	r.uplink.Doubt()
}

// linkFailed reports whether an exchange failed as its connection could not be made or broke
// without a response. A server that closes it in order is reached.
func linkFailed(err error) bool {
	var exchangeErr *link.ExchangeError
	if !errors.As(err, &exchangeErr) {
		return false
	}
	for _, failure := range []error{
		syscall.ECONNREFUSED, syscall.ECONNRESET, syscall.EPIPE, syscall.ETIMEDOUT, syscall.EHOSTUNREACH, syscall.ENETUNREACH,
		context.DeadlineExceeded,
	} {
		if errors.Is(err, failure) {
			return true
		}
	}
	return false
}

// logUplinkChange logs that the router reaches servers again, or does not. In the lines, state
// holds what the router takes the reason for, lasted how long the last state lasted and unheard
// the time since any server was heard, both in milliseconds, and failing the number of servers
// whose connections failed.
func (r *relay) logUplinkChange(change uplink.Change) {
	message := "servers out of reach"
	if change.State == uplink.Reached {
		message = "servers reached again"
	}
	r.options.log.StateChange().Stringer("state", change.State).Stringer("last", change.Last).Dur("lasted", change.Lasted).
		Dur("unheard", change.Unheard).Int("failing", change.Failing).Msg(message)
}
