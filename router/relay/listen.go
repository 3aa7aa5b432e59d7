package relay

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/gorilla/mux"
	"github.com/juju/errors"
	"github.com/oklog/run"
	"github.com/rcrowley/go-metrics"

	"snipetally.example/router/internal/inbound"
)

const (
	// idleTimeout is how long an idle connection of a caller is kept open. It
	// is longer than plans allow callers to rely on.
	idleTimeout = 5 * time.Minute

	// headerTimeout bounds the time for reading a request's header, and
	// maxHeaderBytes its size.
	headerTimeout  = 30 * time.Second
	maxHeaderBytes = 64 << 10

	// writeTimeout bounds the writing of a response, unless a stream sets a
	// deadline of its own.
	writeTimeout = 2 * time.Minute
)

// handlers returns the HTTP handlers by address.
func (n *Node) handlers() map[string]http.Handler {
	readiness := mux.NewRouter()
	readiness.HandleFunc(n.config.ReadinessPath, n.serveReady)
	handlers := map[string]http.Handler{
		n.config.CallerAddress:    n.relay,
		n.config.ReadinessAddress: readiness,
	}
	if n.servesIndirectCalls() {
		handlers[n.config.PeerAddress.String()] = http.HandlerFunc(n.serveIndirectCall)
	}
	if n.config.HandoverAddress.IsValid() {
		handlers[n.config.HandoverAddress.String()] = http.HandlerFunc(n.serveHandover)
	}
	if n.config.OperatorAddress != "" {
		operators := mux.NewRouter()
		operators.HandleFunc("/metrics", n.serveMetrics)
		operators.HandleFunc("/state", n.serveState)
		operators.HandleFunc("/quarantine/{name}", n.serveLift).Methods(http.MethodDelete)
		handlers[n.config.OperatorAddress] = operators
	}
	return handlers
}

// keepListener keeps a listener whose connections a stopping node lets end, as requests come on
// them.
func (n *Node) keepListener(address string, listener *inbound.Listener) {
	switch {
	case address == n.config.CallerAddress:
		n.callers = listener
	case n.config.HandoverAddress.IsValid() && address == n.config.HandoverAddress.String():
		n.handovers = listener
	}
}

// reportNoRoom counts and logs that a connection was closed, or what it sent refused, to keep within
// what connections may hold.
func (n *Node) reportNoRoom(resource inbound.Resource, err error) {
	name := "refused"
	if errors.Is(err, inbound.ErrClosedForOthers) {
		name = "closed"
	}
	metrics.GetOrRegisterCounter("inbound."+name+"."+resource.String(), n.metrics).Inc(1)
	n.log.RepeatedFailure(time.Now(), "inbound "+name+" "+resource.String(), err).Stringer("resource", resource).
		Int64("held", n.inbound.Held(resource)).Msg("connections hold all that they may")
}

// serve adds an HTTP server to the group.
func (n *Node) serve(ctx context.Context, group *run.Group, address string, handler http.Handler) error {
	listener, err := n.inbound.Listen(ctx, address)
	if err != nil {
		return fmt.Errorf("serve: %w", err)
	}
	n.keepListener(address, listener)
	server := &http.Server{
		Handler:           inbound.Handler(handler),
		ReadHeaderTimeout: headerTimeout,
		WriteTimeout:      writeTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		ErrorLog:          n.log.StdLogger(),
		ConnState:         inbound.RecordState,
		ConnContext:       inbound.WithConn,
	}
	group.Add(func() error {
		err := server.Serve(listener)
		if errors.Is(err, net.ErrClosed) {
			<-ctx.Done() // The node stops; it still serves the connections that are open.
		}
		return fmt.Errorf("serve %s: %w", address, err)
	}, func(error) {
		if err := server.Close(); err != nil {
			n.log.Failure(err).Str("address", address).Msg("listener not closed")
		}
	})
	return nil
}
