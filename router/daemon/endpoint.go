package daemon

import (
	"context"
	"crypto/tls"
	"fmt"
	"net"
	"net/http"
	"time"

	"snipetally.example/router/internal/attempt"
	"snipetally.example/router/internal/caller"
	"snipetally.example/router/internal/credential"
	"snipetally.example/router/internal/operators"
	"snipetally.example/router/internal/settings"
)

const (
	idleTimeout  = 2 * time.Minute
	innerHeader  = 64 << 10
	innerTimeout = 10 * time.Second
)

// endpoint is one bound address and the server on it.
type endpoint struct {
	listener net.Listener
	server   *http.Server
}

func (f *endpoint) address() string {
	return f.listener.Addr().String()
}

// endpoints are the three addresses of a router.
type endpoints struct {
	callers   *endpoint
	operators *endpoint
	peers     *endpoint

	// datagrams has the address and port of peers.
	datagrams net.PacketConn
}

// listen binds the addresses.
func listen(ctx context.Context, s *settings.Settings) (*endpoints, error) {
	f := &endpoints{}
	for _, item := range []struct {
		name     string
		endpoint settings.Endpoint
		target   **endpoint
	}{
		{"callers", s.Caller, &f.callers},
		{"operators", s.Operators, &f.operators},
		{"peers", s.Peers, &f.peers},
	} {
		bound, err := bind(ctx, item.endpoint)
		if err != nil {
			f.close()
			return nil, fmt.Errorf("listen for %s: %w", item.name, err)
		}
		*item.target = bound
	}
	var config net.ListenConfig
	var err error
	f.datagrams, err = config.ListenPacket(ctx, "udp", f.peers.address())
	if err != nil {
		f.close()
		return nil, fmt.Errorf("listen for datagrams: %w", err)
	}
	return f, nil
}

// bind binds one address, with TLS if the settings name a certificate.
func bind(ctx context.Context, s settings.Endpoint) (*endpoint, error) {
	var config net.ListenConfig
	listener, err := config.Listen(ctx, "tcp", s.Listen)
	if err != nil {
		return nil, fmt.Errorf("bind: %w", err)
	}
	if s.Certificate == "" {
		return &endpoint{listener: listener}, nil
	}
	certificate, err := credential.LoadCertificate(s.Certificate, s.Key)
	if err != nil {
		_ = listener.Close()
		return nil, fmt.Errorf("start TLS: %w", err)
	}
	return &endpoint{listener: tls.NewListener(listener, certificate.TLSConfig())}, nil
}

func (f *endpoints) all() []*endpoint {
	return []*endpoint{f.callers, f.operators, f.peers}
}

// close unbinds what was bound.
func (f *endpoints) close() {
	for _, one := range f.all() {
		if one != nil {
			_ = one.listener.Close()
		}
	}
	if f.datagrams != nil {
		_ = f.datagrams.Close()
	}
}

// serve sets what answers on each address.
func (f *endpoints) serve(r *Router, peers *credential.PeerKeys) {
	bounds := r.settings.CallerLimits
	f.callers.server = &http.Server{
		Handler: caller.New(caller.Options{
			Fleet:            r.fleet,
			Gate:             r.gate,
			Inflight:         r.inflight,
			Log:              r.log,
			Attempts:         r.attempts,
			Links:            r.links,
			RetryBudget:      attempt.NewRetryBudget(0, 0),
			Recorder:         r.book,
			SettingsFresh:    r.fresh,
			Metrics:          r.metrics,
			MaxBodyBytes:     bounds.MaxBodyBytes,
			MaxBufferedBytes: bounds.MaxBufferedBytes,
			WriteTimeout:     bounds.WriteTimeout,
		}),
		ReadHeaderTimeout: bounds.ReadTimeout,
		ReadTimeout:       bounds.ReadTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    bounds.MaxHeaderBytes,
	}
	f.operators.server = inner(operators.New(operators.Options{
		VM:          r.settings.VM.Name,
		Accounts:    r.settings.Accounts,
		Replicator:  r.network.spreader,
		Log:         r.log,
		Metrics:     r.metrics,
		Writer:      r.platform.revisions,
		TableStatus: r.platform.tableState,
		Ready:       r.Ready,
		Dump:        r.state,
	}))
	f.peers.server = inner(r.network.handler(peers, r.book))
}

// inner returns a server for operators or peers.
func inner(handler http.Handler) *http.Server {
	return &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: innerTimeout,
		ReadTimeout:       innerTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    innerHeader,
	}
}
