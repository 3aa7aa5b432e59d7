package daemon

import (
	"context"
	"fmt"
	"time"

	"snipetally.example/coordination/lease"
	"snipetally.example/router/internal/fleet"
	"snipetally.example/router/internal/order"
)

const (
	// ordersLease is the name of the lease under which one router gives orders
	// to engines for all.
	ordersLease = "orders"

	// ordersPause is the time between two looks at whether there is something
	// to order.
	ordersPause = 2 * time.Second
)

// orders gives the orders that the preset in force asks for. Only the home of
// the lease tries to get it, so that the others do not read its row.
func (r *Router) orders(ctx context.Context) error {
	keeper := lease.Runner[struct{}]{
		Manager: lease.NewManager(r.platform.table, lease.Settings{Holder: r.settings.VM.Name}),
		Name:    ordersLease,
		Work:    r.order,
	}
	for ctx.Err() == nil {
		if r.ordering() {
			bounded, cancel := r.whileHome(ctx)
			if _, err := keeper.Run(bounded); err != nil && ctx.Err() == nil {
				r.log.Warn().Err(err).Msg("orders to engines interrupted")
			}
			cancel()
		}
		wait(ctx, ordersPause)
	}
	return nil
}

// ordering reports whether this router is the one to give orders, and there
// are any to give.
func (r *Router) ordering() bool {
	home, ok := r.network.pool.Members().Home(ordersLease)
	if !ok || home.Name != r.settings.VM.Name || !r.network.spreader.Ready() {
		return false
	}
	snapshot := r.fleet.Acquire()
	if snapshot == nil {
		return false
	}
	defer snapshot.Release()
	return len(placements(snapshot)) > 0
}

// whileHome returns a context that ends when another router is to give orders,
// so that the attempt to get the lease ends, too.
func (r *Router) whileHome(ctx context.Context) (context.Context, context.CancelFunc) {
	bounded, cancel := context.WithCancel(ctx)
	go func() {
		for wait(bounded, ordersPause) {
			if !r.ordering() {
				cancel()
			}
		}
	}()
	return bounded, cancel
}

// order brings every placed engine to what the preset in force asks for, until
// the context ends.
func (r *Router) order(ctx context.Context, l *lease.Lease) (struct{}, error) {
	r.log.Info().Uint64("fence", l.Fence()).Msg("giving orders to engines")
	actor := order.NewReconciler(order.NewClient(), l, order.Settings{})
	for {
		for _, wanted := range r.wanted() {
			done, err := actor.Reconcile(ctx, wanted)
			if err != nil && ctx.Err() == nil {
				r.log.Warn().Err(err).Str("server", wanted.Server.Name).Bool("done", done).Msg("order failed")
			}
		}
		if !wait(ctx, ordersPause) {
			return struct{}{}, fmt.Errorf("give orders: %w", context.Cause(ctx))
		}
	}
}

// wanted returns what the preset in force places on engines.
func (r *Router) wanted() []order.DesiredState {
	snapshot := r.fleet.Acquire()
	if snapshot == nil {
		return nil
	}
	defer snapshot.Release()
	return placements(snapshot)
}

// placements returns what each engine shall serve that some preset places
// something on. While another preset is in force, such an engine serves what the
// plan says.
func placements(s *fleet.Snapshot) []order.DesiredState {
	named := make(map[string]struct{})
	for i := range s.Plan.Presets {
		for name := range s.Plan.Presets[i].Placements {
			named[name] = struct{}{}
		}
	}
	var all []order.DesiredState
	for _, server := range s.OrderedServers {
		if _, ok := named[server.Name]; ok {
			role := s.Preset.Placements[server.Name].Role
			all = append(all, order.DesiredState{Server: *server, Models: server.Models, Role: role})
		}
	}
	return all
}

// wait waits for d and reports whether ctx still holds.
func wait(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
