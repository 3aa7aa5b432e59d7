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

// cluster connects the router to the other routers: membership, replication of
// revisions and the exchange of demand.
type cluster struct {
	node         *membership.Node
	replicator   *spread.Replicator
	client       *peer.Client
	roundTripper http.RoundTripper
	scheme       string
	exchange     *exchange.Exchange
}

// newCluster connects the router to the other routers. It sends nothing yet.
func newCluster(r *Router, peers *credential.PeerKeys) (*cluster, error) {
	transport, scheme, err := peerTransport(r.settings)
	if err != nil {
		return nil, err
	}
	c := &cluster{roundTripper: peers.AddKey(transport), scheme: scheme}
	c.client = peer.NewClient(c.roundTripper, scheme)
	self := membership.Member{
		Name:    r.settings.VM.Name,
		Address: r.endpoints.peers.address(),
		Zone:    r.settings.VM.Zone,
		Region:  r.settings.VM.Region,
	}
	c.replicator = spread.New(spread.Config{
		Self:      spread.Announcement{Name: self.Name, Address: self.Address},
		Source:    r.platform.source(),
		Transport: c.client,
		Installer: r.installer,
		Codec:     peer.HintCodec{},
	})
	c.node = membership.New(membership.Config{
		Self:      self,
		Transport: c.client,
		Lister:    &routerLister{watcher: r.platform.vmWatcher, router: r},
		Delegate:  c.replicator,
		OnEvent:   r.onMemberEvent,
	})
	c.replicator.SetMembership(c.node)
	c.exchange = exchange.New(self.Name, r.endpoints.datagrams, r.settings.PeerKeys, c)
	return c, nil
}

// peerTransport returns the HTTP transport to other routers and its URL scheme.
// It uses TLS if the settings name a certificate for the peer address.
func peerTransport(s *settings.Settings) (*http.Transport, string, error) {
	transport := peer.NewTransport()
	if s.Peers.Certificate == "" {
		return transport, "http", nil
	}
	pool, err := credential.LoadCertPool(s.PeerAuthority)
	if err != nil {
		return nil, "", fmt.Errorf("load peer authority: %w", err)
	}
	transport.TLSClientConfig = &tls.Config{RootCAs: pool, MinVersion: tls.VersionTLS12}
	return transport, "https", nil
}

// settingsFresh reports whether the settings in force are recent enough for the
// router to accept new requests.
func (r *Router) settingsFresh() bool {
	return r.cluster.replicator.Standing() != spread.Stopped
}

// handler serves requests from other routers.
func (c *cluster) handler(peers *credential.PeerKeys, recorder *record.Recorder) http.Handler {
	mux := http.NewServeMux()
	mux.Handle(peer.PeerPathPrefix, peer.NewHandler(c.node, c.replicator, peers.RequireKey))
	mux.Handle(records.RecordsPathPrefix, peers.RequireKey(http.MaxBytesHandler(records.NewHandler(recorder), peer.MaxRequestBytes)))
	return mux
}

// Routers returns the names of the live routers. It implements
// exchange.Directory.
func (c *cluster) Routers() []string {
	live := c.node.View().Live()
	names := make([]string, 0, len(live))
	for _, member := range live {
		names = append(names, member.Name)
	}
	return names
}

// Address returns the address of a live member. It implements
// exchange.Directory.
func (c *cluster) Address(vm string) (string, bool) {
	member, ok := c.node.View().Find(vm)
	return member.Address, ok && member.State.Live()
}

// onMemberEvent logs a change of a member's state. It removes a router that is
// no longer live from the gate.
func (r *Router) onMemberEvent(event membership.Event) {
	if !event.Member.State.Live() {
		r.gate.RemoveRouter(event.Member.Name)
	}
	r.log.Info().
		Str("member", event.Member.Name).
		Str("address", event.Member.Address).
		Str("before", event.Previous.String()).
		Str("state", event.Member.State.String()).
		Msg("member state changed")
}

// routerLister lists the router VMs: the entries of the platform's VM list whose
// address is not that of a backend server.
type routerLister struct {
	watcher *vm.Watcher
	router  *Router
}

// List implements membership.Lister.
func (l *routerLister) List(ctx context.Context) ([]membership.VM, error) {
	list, err := l.watcher.Latest(ctx)
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

// backendAddresses returns the addresses of the backend servers in the current
// snapshot.
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
