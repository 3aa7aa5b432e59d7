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

// closeTimeout bounds the time in which the servers close idle connections
// after the last request has ended.
const closeTimeout = 5 * time.Second

// Run serves until ctx ends. Then the router fails its readiness, goes on
// serving for the time that its settings name, takes no more requests, finishes
// every request that it let in and writes its records.
func (r *Router) Run(ctx context.Context) error {
	work, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	var group run.Group
	for _, actor := range r.actors() {
		group.Add(func() error {
			return actor(work)
		}, func(error) {
			cancel()
		})
	}
	for _, one := range r.endpoints.all() {
		group.Add(func() error {
			return serve(one)
		}, func(error) {
			shut(one)
		})
	}
	group.Add(func() error {
		return r.drain(ctx, work)
	}, func(error) {
		cancel()
	})
	err := group.Run()
	if r.killed() {
		r.abandon()
		r.close()
		return nil
	}
	r.close()
	if err != nil {
		return fmt.Errorf("run router: %w", err)
	}
	return nil
}

// actors are the loops of the router's parts.
func (r *Router) actors() []func(context.Context) error {
	return []func(context.Context) error{
		r.platform.list.Run,
		r.network.pool.Run,
		r.network.spreader.Run,
		r.platform.revisions.Run,
		func(ctx context.Context) error {
			return r.network.exchange.Run(ctx, r.gate)
		},
		r.share,
		health.NewProber(r.fleet, r.links, r.gate).Run,
		r.book.Run,
		r.orders,
		r.seed,
	}
}

// share exchanges demand with the other routers until the context ends.
func (r *Router) share(ctx context.Context) error {
	if err := r.gate.Run(ctx, r.network.exchange); err != nil && ctx.Err() == nil {
		return fmt.Errorf("exchange demand: %w", err)
	}
	return nil
}

// close gives up connections after every request has ended.
func (r *Router) close() {
	ctx, cancel := context.WithTimeout(context.Background(), closeTimeout)
	defer cancel()
	r.attempts.Close(ctx)
	r.links.Close()
	r.network.client.Close()
	r.platform.remote.Close()
}

func serve(one *endpoint) error {
	err := one.server.Serve(one.listener)
	if err != nil && !errors.Is(err, http.ErrServerClosed) {
		return fmt.Errorf("serve %s: %w", one.address(), err)
	}
	return nil
}

// shut closes a server whose requests have ended.
func shut(one *endpoint) {
	ctx, cancel := context.WithTimeout(context.Background(), closeTimeout)
	defer cancel()
	if err := one.server.Shutdown(ctx); err != nil {
		_ = one.server.Close()
	}
}

// drain waits for ctx and then ends the router's work. Work is the context of
// the router's parts, which go on until drain returns.
func (r *Router) drain(ctx, work context.Context) error {
	select {
	case <-ctx.Done():
	case <-work.Done():
		return nil
	case <-r.killing.done:
		return nil
	}
	r.stopping.Store(true)
	r.network.pool.AnnounceLeaving()
	r.log.Info().Dur("linger", r.settings.VM.Linger).Int("inside", r.inflight.Count()).Msg("stopping")
	select {
	case <-time.After(r.settings.VM.Linger):
	case <-work.Done():
		return nil
	}
	r.inflight.Close()
	if err := r.inflight.Wait(work); err != nil {
		return fmt.Errorf("finish requests: %w", err)
	}
	if err := r.book.Drain(work); err != nil {
		r.log.Error().Err(err).Msg("records not written")
	}
	r.network.pool.AnnounceLeft(work)
	r.log.Info().Msg("stopped")
	return nil
}

// InflightSummary tells which requests a stop at once cuts off, by class.
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
