package daemon

import (
	"context"
	"fmt"
	"time"

	"snipetally.example/coordination/lease"
	"snipetally.example/coordination/pause"
	"snipetally.example/router/internal/fleet"
	"snipetally.example/router/internal/order"
)

const (
	// reconcilerLease is the name of the lease that lets a single router
	// reconcile the engines on behalf of all routers.
	reconcilerLease = "orders"

	// reconcileInterval is the time between two reconciliations, and between two
	// checks of whether this router should reconcile.
	reconcileInterval = 2 * time.Second
)

// runReconciler reconciles engines with the preset in force while this router
// holds the lease. Only the lease's home router tries to acquire it, so that the
// others do not read its row.
func (r *Router) runReconciler(ctx context.Context) error {
	runner := lease.Runner[struct{}]{
		Manager: lease.NewManager(r.platform.table, lease.Config{Holder: r.settings.VM.Name}),
		Name:    reconcilerLease,
		Work:    r.reconcileEngines,
	}
	for ctx.Err() == nil {
		if r.shouldReconcile() {
			bounded, cancel := r.contextWhileReconciling(ctx)
			if _, err := runner.Run(bounded); err != nil && ctx.Err() == nil {
				r.log.Warn().Err(err).Msg("engine reconciliation interrupted")
			}
			cancel()
		}
		pause.For(ctx, reconcileInterval)
	}
	return nil
}

// shouldReconcile reports whether this router is the home of the lease and has the
// newest settings, and some preset places models on engines.
func (r *Router) shouldReconcile() bool {
	home, ok := r.cluster.node.View().Home(reconcilerLease)
	if !ok || home.Name != r.settings.VM.Name || !r.cluster.replicator.Ready() {
		return false
	}
	snapshot := r.fleet.Acquire()
	if snapshot == nil {
		return false
	}
	defer snapshot.Release()
	return len(desiredStates(snapshot)) > 0
}

// contextWhileReconciling returns a context that is canceled when this router
// should no longer reconcile, so that a pending attempt to acquire the lease ends
// as well.
func (r *Router) contextWhileReconciling(ctx context.Context) (context.Context, context.CancelFunc) {
	bounded, cancel := context.WithCancel(ctx)
	go func() {
		for pause.For(bounded, reconcileInterval) {
			if !r.shouldReconcile() {
				cancel()
			}
		}
	}()
	return bounded, cancel
}

// reconcileEngines repeatedly brings every placed engine to its desired state
// until ctx is canceled. It runs under lease l.
func (r *Router) reconcileEngines(ctx context.Context, l *lease.Lease) (struct{}, error) {
	r.log.Info().Uint64("fence", l.Fence()).Msg("reconciling engines")
	reconciler := order.NewReconciler(order.NewClient(), l, order.Config{})
	for {
		for _, desired := range r.currentDesiredStates() {
			done, err := reconciler.Reconcile(ctx, desired)
			if err != nil && ctx.Err() == nil {
				r.log.Warn().Err(err).Str("server", desired.Server.Name).Bool("done", done).Msg("engine reconciliation failed")
			}
		}
		if !pause.For(ctx, reconcileInterval) {
			return struct{}{}, fmt.Errorf("reconcile engines: %w", context.Cause(ctx))
		}
	}
}

// currentDesiredStates returns the desired states under the settings in force.
func (r *Router) currentDesiredStates() []order.DesiredState {
	snapshot := r.fleet.Acquire()
	if snapshot == nil {
		return nil
	}
	defer snapshot.Release()
	return desiredStates(snapshot)
}

// desiredStates returns the desired state of each engine that has a placement in
// any preset. If the preset in force has no placement for such an engine, its
// models are those of the plan.
func desiredStates(s *fleet.Snapshot) []order.DesiredState {
	placed := make(map[string]struct{})
	for i := range s.Plan.Presets {
		for name := range s.Plan.Presets[i].Placements {
			placed[name] = struct{}{}
		}
	}
	var all []order.DesiredState
	for _, server := range s.OrderedServers {
		if _, ok := placed[server.Name]; ok {
			role := s.Preset.Placements[server.Name].Role
			all = append(all, order.DesiredState{Server: *server, Models: server.Models, Role: role})
		}
	}
	return all
}
