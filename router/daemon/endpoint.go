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
	idleTimeout            = 2 * time.Minute
	internalMaxHeaderBytes = 64 << 10
	internalReadTimeout    = 10 * time.Second
)

// endpoint is a bound address and the server that listens on it.
type endpoint struct {
	listener net.Listener
	server   *http.Server
}

func (e *endpoint) address() string {
	return e.listener.Addr().String()
}

// endpoints are the addresses of a router.
type endpoints struct {
	callers   *endpoint
	operators *endpoint
	peers     *endpoint

	// datagrams is bound to the same address and port as peers, over UDP.
	datagrams net.PacketConn
}

// listen binds the addresses.
func listen(ctx context.Context, s *settings.Settings) (*endpoints, error) {
	e := &endpoints{}
	for _, item := range []struct {
		name     string
		endpoint settings.Endpoint
		target   **endpoint
	}{
		{"callers", s.Caller, &e.callers},
		{"operators", s.Operators, &e.operators},
		{"peers", s.Peers, &e.peers},
	} {
		bound, err := bind(ctx, item.endpoint)
		if err != nil {
			e.close()
			return nil, fmt.Errorf("listen for %s: %w", item.name, err)
		}
		*item.target = bound
	}
	var config net.ListenConfig
	var err error
	e.datagrams, err = config.ListenPacket(ctx, "udp", e.peers.address())
	if err != nil {
		e.close()
		return nil, fmt.Errorf("listen for datagrams: %w", err)
	}
	return e, nil
}

// bind binds an address. It uses TLS if the settings name a certificate.
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

func (e *endpoints) all() []*endpoint {
	return []*endpoint{e.callers, e.operators, e.peers}
}

// close closes the listeners that have been bound.
func (e *endpoints) close() {
	for _, ep := range e.all() {
		if ep != nil {
			_ = ep.listener.Close()
		}
	}
	if e.datagrams != nil {
		_ = e.datagrams.Close()
	}
}

// createServers creates the HTTP server of each endpoint.
func (e *endpoints) createServers(r *Router, peers *credential.PeerKeys) {
	limits := r.settings.CallerLimits
	e.callers.server = &http.Server{
		Handler: caller.New(caller.Options{
			Fleet:            r.fleet,
			Gate:             r.gate,
			Inflight:         r.inflight,
			Log:              r.log,
			Attempts:         r.attempts,
			Links:            r.links,
			RetryBudget:      attempt.NewRetryBudget(0, 0),
			Recorder:         r.recorder,
			SettingsFresh:    r.settingsFresh,
			Metrics:          r.metrics,
			MaxBodyBytes:     limits.MaxBodyBytes,
			MaxBufferedBytes: limits.MaxBufferedBytes,
			WriteTimeout:     limits.WriteTimeout,
		}),
		ReadHeaderTimeout: limits.ReadTimeout,
		ReadTimeout:       limits.ReadTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    limits.MaxHeaderBytes,
	}
	e.operators.server = internalServer(operators.New(operators.Options{
		VM:          r.settings.VM.Name,
		Accounts:    r.settings.Accounts,
		Replicator:  r.cluster.replicator,
		Log:         r.log,
		Metrics:     r.metrics,
		Writer:      r.platform.revisions,
		TableStatus: r.platform.tableState,
		Ready:       r.Ready,
		Dump:        r.dumpState,
	}))
	e.peers.server = internalServer(r.cluster.handler(peers, r.recorder))
}

// internalServer returns a server for the operator or peer address.
func internalServer(handler http.Handler) *http.Server {
	return &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: internalReadTimeout,
		ReadTimeout:       internalReadTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    internalMaxHeaderBytes,
	}
}
