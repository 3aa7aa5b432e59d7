package daemon

import (
	"context"
	"fmt"
	"maps"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/juju/errors"
	"github.com/oklog/run"

	"snipetally.example/router/internal/health"
)

// closeTimeout bounds the time that a server takes to shut down, the time that
// outgoing connections take to close, and the time that the requests of a killed
// router take to end.
const closeTimeout = 5 * time.Second

// Run serves until ctx is canceled. Then the router fails its readiness check,
// keeps serving for the configured linger time, stops admitting requests,
// finishes every admitted request and writes its records. After Kill, Run
// returns nil without draining.
func (r *Router) Run(ctx context.Context) error {
	loopCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	var group run.Group
	for _, loop := range r.backgroundLoops() {
		group.Add(func() error {
			return loop(loopCtx)
		}, func(error) {
			cancel()
		})
	}
	for _, e := range r.endpoints.all() {
		group.Add(func() error {
			return serve(e)
		}, func(error) {
			shutdown(e)
		})
	}
	group.Add(func() error {
		return r.drain(ctx, loopCtx)
	}, func(error) {
		cancel()
	})
	err := group.Run()
	if r.wasKilled() {
		r.waitForAborted()
		r.close()
		return nil
	}
	r.close()
	if err != nil {
		return fmt.Errorf("run router: %w", err)
	}
	return nil
}

// backgroundLoops returns the loops of the router's components.
func (r *Router) backgroundLoops() []func(context.Context) error {
	return []func(context.Context) error{
		r.platform.vmWatcher.Run,
		r.cluster.node.Run,
		r.cluster.replicator.Run,
		r.platform.revisions.Run,
		func(ctx context.Context) error {
			return r.cluster.exchange.Run(ctx, r.gate)
		},
		r.exchangeDemand,
		health.NewProber(r.fleet, r.links, r.gate).Run,
		r.recorder.Run,
		r.runReconciler,
		r.runSeed,
	}
}

// exchangeDemand exchanges demand with the other routers until ctx is canceled.
func (r *Router) exchangeDemand(ctx context.Context) error {
	if err := r.gate.Run(ctx, r.cluster.exchange); err != nil && ctx.Err() == nil {
		return fmt.Errorf("exchange demand: %w", err)
	}
	return nil
}

// close closes outgoing connections. It runs after the servers have stopped.
func (r *Router) close() {
	ctx, cancel := context.WithTimeout(context.Background(), closeTimeout)
	defer cancel()
	r.attempts.Close(ctx)
	r.links.Close()
	r.cluster.client.Close()
	r.platform.remote.Close()
}

// serve serves an endpoint until its server is shut down.
func serve(e *endpoint) error {
	err := e.server.Serve(e.listener)
	if err != nil && !errors.Is(err, http.ErrServerClosed) {
		return fmt.Errorf("serve %s: %w", e.address(), err)
	}
	return nil
}

// shutdown stops a server. It closes the connections that are still in use after
// closeTimeout by force.
func shutdown(e *endpoint) {
	ctx, cancel := context.WithTimeout(context.Background(), closeTimeout)
	defer cancel()
	if err := e.server.Shutdown(ctx); err != nil {
		_ = e.server.Close()
	}
}

// drain waits until ctx is canceled and then stops the router gracefully. The
// background loops, whose context is loopCtx, keep running until drain returns.
func (r *Router) drain(ctx, loopCtx context.Context) error {
	select {
	case <-ctx.Done():
	case <-loopCtx.Done():
		return nil
	case <-r.killSwitch.done:
		return nil
	}
	r.stopping.Store(true)
	r.cluster.node.AnnounceLeaving()
	r.log.Info().Dur("linger", r.settings.VM.Linger).Int("inside", r.inflight.Count()).Msg("stopping")
	select {
	case <-time.After(r.settings.VM.Linger):
	case <-loopCtx.Done():
		return nil
	}
	r.inflight.Close()
	if err := r.inflight.Wait(loopCtx); err != nil {
		return fmt.Errorf("wait for requests to finish: %w", err)
	}
	if err := r.recorder.Drain(loopCtx); err != nil {
		r.log.Error().Err(err).Msg("failed to write records")
	}
	r.cluster.node.AnnounceLeft(loopCtx)
	r.log.Info().Msg("stopped")
	return nil
}

// InflightSummary returns the number of requests in progress by class, such as
// "2 chat, 1 lease", or "none". An immediate stop cuts these requests off.
func (r *Router) InflightSummary() string {
	counts := r.inflight.CountByClass()
	if len(counts) == 0 {
		return "none"
	}
	parts := make([]string, 0, len(counts))
	for _, class := range slices.Sorted(maps.Keys(counts)) {
		parts = append(parts, fmt.Sprintf("%d %s", counts[class], class))
	}
	return strings.Join(parts, ", ")
}
