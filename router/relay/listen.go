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

// drained returns the listener for an address, which is one whose connections a stopping node lets
// end if requests come on them.
func (n *Node) drained(address string, listener *net.TCPListener) net.Listener {
	switch {
	case address == n.config.CallerAddress:
		n.callers = newCallerListener(listener)
		return n.callers
	case n.config.HandoverAddress.IsValid() && address == n.config.HandoverAddress.String():
		n.handovers = newCallerListener(listener)
		return n.handovers
	}
	return listener
}

// serve adds an HTTP server to the group.
func (n *Node) serve(ctx context.Context, group *run.Group, address string, handler http.Handler) error {
	var listen net.ListenConfig
	listener, err := listen.Listen(ctx, "tcp4", address)
	if err != nil {
		return fmt.Errorf("listen at %s: %w", address, err)
	}
	if tcp, ok := listener.(*net.TCPListener); ok {
		listener = n.drained(address, tcp)
	}
	server := &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: headerTimeout,
		WriteTimeout:      writeTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		ErrorLog:          n.log.StdLogger(),
		ConnState:         recordState,
		ConnContext:       withCallerConn,
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
