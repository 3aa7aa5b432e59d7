package daemon

import (
	"context"
	"crypto/tls"
	"fmt"
	"net/http"

	"snipetally.example/coordination/membership"
	"snipetally.example/coordination/record"
	"snipetally.example/coordination/spread"
	"snipetally.example/router/internal/credential"
	"snipetally.example/router/internal/exchange"
	"snipetally.example/router/internal/settings"
	"snipetally.example/router/internal/vm"
	"snipetally.example/wire/peer"
	records "snipetally.example/wire/record"
)

// network is the router's part among the routers: membership and the spreading
// of revisions.
type network struct {
	pool     *membership.Node
	spreader *spread.Replicator
	client   *peer.Client
	tripper  http.RoundTripper
	scheme   string
	exchange *exchange.Exchange
}

// newNetwork returns the router's part among the routers.
func newNetwork(r *Router, peers *credential.PeerKeys) (*network, error) {
	transport, scheme, err := peerTransport(r.settings)
	if err != nil {
		return nil, err
	}
	n := &network{tripper: peers.AddKey(transport), scheme: scheme}
	n.client = peer.NewClient(n.tripper, scheme)
	self := membership.Member{
		Name:    r.settings.VM.Name,
		Address: r.endpoints.peers.address(),
		Zone:    r.settings.VM.Zone,
		Region:  r.settings.VM.Region,
	}
	n.spreader = spread.New(spread.Config{
		Self:      spread.Announcement{Name: self.Name, Address: self.Address},
		Source:    r.platform.source(),
		Transport: n.client,
		Installer: r.installer,
		Codec:     peer.HintCodec{},
	})
	n.pool = membership.New(membership.Config{
		Self:      self,
		Transport: n.client,
		Lister:    &lister{watch: r.platform.list, router: r},
		Delegate:  n.spreader,
		OnEvent:   r.notice,
	})
	n.spreader.SetMembership(n.pool)
	n.exchange = exchange.New(self.Name, r.endpoints.datagrams, r.settings.PeerKeys, n)
	return n, nil
}

// peerTransport returns the way to other routers, over TLS if the settings name
// a certificate for the address of peers.
func peerTransport(s *settings.Settings) (*http.Transport, string, error) {
	transport := peer.NewTransport()
	if s.Peers.Certificate == "" {
		return transport, "http", nil
	}
	pool, err := credential.LoadCertPool(s.PeerAuthority)
	if err != nil {
		return nil, "", fmt.Errorf("trust peers: %w", err)
	}
	transport.TLSClientConfig = &tls.Config{RootCAs: pool, MinVersion: tls.VersionTLS12}
	return transport, "https", nil
}

// fresh reports whether what is in force is known well enough to be the newest
// for the router to take new work.
func (r *Router) fresh() bool {
	return r.network.spreader.Standing() != spread.Stopped
}

// handler answers other routers.
func (n *network) handler(peers *credential.PeerKeys, book *record.Recorder) http.Handler {
	mux := http.NewServeMux()
	mux.Handle(peer.PeerPathPrefix, peer.NewHandler(n.pool, n.spreader, peers.RequireKey))
	mux.Handle(records.RecordsPathPrefix, peers.RequireKey(http.MaxBytesHandler(records.NewHandler(book), peer.MaxRequestBytes)))
	return mux
}

// Routers implements exchange.Group.
func (n *network) Routers() []string {
	live := n.pool.Members().Live()
	names := make([]string, 0, len(live))
	for _, member := range live {
		names = append(names, member.Name)
	}
	return names
}

// Address finds a live member. It implements exchange.Group.
func (n *network) Address(vm string) (string, bool) {
	member, ok := n.pool.Members().Find(vm)
	return member.Address, ok && member.State.Live()
}

// notice logs a change of a member's state.
func (r *Router) notice(event membership.Event) {
	if !event.Member.State.Live() {
		r.gate.RemoveRouter(event.Member.Name)
	}
	r.log.Info().
		Str("member", event.Member.Name).
		Str("address", event.Member.Address).
		Str("before", event.Previous.String()).
		Str("state", event.Member.State.String()).
		Msg("member changed")
}

// lister takes the router VMs from the platform's list. Entries whose address
// is that of a backend server are no router VMs.
type lister struct {
	watch  *vm.Watcher
	router *Router
}

// List implements membership.Lister.
func (l *lister) List(ctx context.Context) ([]membership.VM, error) {
	list, err := l.watch.Latest(ctx)
	if err != nil {
		return nil, fmt.Errorf("list router VMs: %w", err)
	}
	backends := l.router.backendAddresses()
	var vms []membership.VM
	for _, entry := range list.VMs {
		if _, ok := backends[entry.Address]; ok {
			continue
		}
		vms = append(vms, membership.VM{
			Name:    entry.Name,
			Address: entry.Address,
			Zone:    entry.Zone,
			Region:  entry.Region,
			Leaving: entry.State == vm.Leaving,
		})
	}
	return vms, nil
}

// backendAddresses returns the addresses of the backend servers in force.
func (r *Router) backendAddresses() map[string]struct{} {
	addresses := make(map[string]struct{})
	snapshot := r.fleet.Acquire()
	if snapshot == nil {
		return addresses
	}
	defer snapshot.Release()
	for _, server := range snapshot.Servers {
		addresses[server.Address] = struct{}{}
	}
	return addresses
}
