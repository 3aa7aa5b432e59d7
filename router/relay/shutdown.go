package relay

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/juju/errors"

	"snipetally.example/router/internal/inbound"
)

const (
	// lingerFraction is the fraction of the grace period in which a stopping
	// node still accepts connections and requests, as callers learn late that it
	// stops. finishFraction is the fraction after which requests in progress are
	// cut off, and uploadFraction that after which no more of requests is read.
	lingerFraction = 0.37
	uploadFraction = 0.6
	finishFraction = 0.93

	// silenceTime is how long a connection of a caller has to be silent before a stopping node
	// closes it, so that a request that was sent before can arrive.
	silenceTime = 500 * time.Millisecond

	// drainPollInterval is the interval at which a stopping node checks which
	// connections of callers are silent or closed.
	drainPollInterval = 50 * time.Millisecond
)

// errStopped ends the run group when the process was told to stop.
const errStopped = errors.ConstError("stopped")

// awaitStop waits for SIGTERM or SIGINT and lets the requests in progress end.
// From then on the readiness check fails and responses close their connections;
// requests from callers that have not noticed are still served for the linger
// time. Those of other routers are declined, and those that were taken over are in
// progress like any. Then the listeners of both are closed, so that no request is sent on a new
// connection. Requests on open connections are refused, as are those that have not been
// sent to a server and may not end in time, and some time later those
// whose bodies are still being read. A connection is closed
// after its last response. Those that are silent are closed last, when no request
// is in progress, as a request may cross the closing.
//
// The first line that it logs holds the linger time in milliseconds in the key
// linger, and the number of requests in progress in inflight. The second line
// holds the number of open connections of callers in connections.
func (n *Node) awaitStop(ctx context.Context) error {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	defer signal.Stop(signals)
	select {
	case <-ctx.Done():
		return fmt.Errorf("await stop: %w", ctx.Err())
	case <-signals:
	}
	grace := n.relay.bounds.Load().GracePeriod
	linger := time.Duration(lingerFraction * float64(grace))
	stoppedAt := n.config.Clock()
	uploadEnd := stoppedAt + time.Duration(uploadFraction*float64(grace))
	finish := stoppedAt + time.Duration(finishFraction*float64(grace))
	n.relay.stop(linger, finish)
	n.log.StateChange().Int64("inflight", n.relay.inProgress()).Dur("linger", linger).Msg("router stopping")
	sleep(ctx, linger)
	n.relay.endLinger()
	n.stopListening()
	closedAt := time.Now()
	n.log.StateChange().Int64("inflight", n.relay.inProgress()).
		Int("connections", n.callers.OpenConnections()).Msg("callers' listener closed")
	for !n.allDrained() && n.config.Clock() < finish && ctx.Err() == nil {
		if n.config.Clock() >= uploadEnd {
			n.relay.endUploads()
		}
		if time.Since(closedAt) >= silenceTime && n.relay.inProgress() == 0 {
			n.closeSilent(time.Now().Add(-silenceTime))
		}
		sleep(ctx, drainPollInterval)
	}
	return errStopped
}

// drainedListeners returns the listeners whose connections end before the node does.
func (n *Node) drainedListeners() []*inbound.Listener {
	if n.handovers == nil {
		return []*inbound.Listener{n.callers}
	}
	return []*inbound.Listener{n.callers, n.handovers}
}

// stopListening closes the listeners on which requests come.
func (n *Node) stopListening() {
	for _, l := range n.drainedListeners() {
		if err := l.StopListening(); err != nil {
			n.log.Failure(err).Stringer("address", l.Addr()).Msg("listener not closed")
		}
	}
}

// allDrained reports whether all connections on which requests come are closed.
func (n *Node) allDrained() bool {
	for _, l := range n.drainedListeners() {
		if !l.Drained() {
			return false
		}
	}
	return true
}

// closeSilent makes connections close that have been silent since a time.
func (n *Node) closeSilent(since time.Time) {
	for _, l := range n.drainedListeners() {
		l.CloseSilent(since)
	}
}

// sleep waits for d or for the end of the context.
func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
