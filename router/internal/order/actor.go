package order

import (
	"context"
	"fmt"
	"slices"
	"time"

	"github.com/juju/errors"
	"golang.org/x/time/rate"

	"snipetally.example/router/internal/backend"
)

const (
	defaultTimeout = time.Second
	defaultLoads   = 0.2
)

// Settings configure an Actor. Zero fields take defaults.
type Settings struct {
	// Timeout bounds one order. A lease that lasts no longer than that is not
	// used for an order.
	Timeout time.Duration

	// LoadsPerSecond is the number of loads a second that the weight store bears.
	LoadsPerSecond float64
}

// Reconciler gives orders under one lease. It is made anew for each lease; the
// spacing of loads starts with a pause, since the holder before may just have
// ordered one.
type Reconciler struct {
	engines  Engines
	lease    Lease
	settings Settings
	loads    *rate.Limiter
}

// NewReconciler returns an actor under the lease.
func NewReconciler(engines Engines, l Lease, settings Settings) *Reconciler {
	if settings.Timeout == 0 {
		settings.Timeout = defaultTimeout
	}
	if settings.LoadsPerSecond == 0 {
		settings.LoadsPerSecond = defaultLoads
	}
	loads := rate.NewLimiter(rate.Limit(settings.LoadsPerSecond), 1)
	loads.Allow()
	return &Reconciler{engines: engines, lease: l, settings: settings, loads: loads}
}

// Reconcile makes a server as wanted: it reads what is in effect, gives the orders
// that are missing and reads back. It reports whether the wanted is in effect.
// Since orders are absolute, Reconcile may be repeated at any time, also by another
// holder. Errors wrap those of this package or of the context.
func (a *Reconciler) Reconcile(ctx context.Context, wanted DesiredState) (bool, error) {
	effect, err := a.effect(ctx, wanted.Server)
	if err != nil {
		return false, err
	}
	orders := MissingOrders(effect, wanted)
	if len(orders) == 0 {
		return true, nil
	}
	for _, o := range orders {
		err := a.give(ctx, wanted.Server, o)
		// A lost answer is settled by reading back below.
		if err != nil && !errors.Is(err, ErrUncertain) {
			return false, fmt.Errorf("%s %q at %s: %w", o.Kind, o.Name, wanted.Server.Name, err)
		}
	}
	effect, err = a.effect(ctx, wanted.Server)
	if err != nil {
		return false, err
	}
	return len(MissingOrders(effect, wanted)) == 0, nil
}

// MissingOrders returns the orders that lead from the effect to the wanted. The role
// comes first, then unloads, so that loads find room.
func MissingOrders(effect EngineState, wanted DesiredState) []Order {
	var orders []Order
	if wanted.Role != "" && wanted.Role != effect.Role {
		orders = append(orders, Order{Kind: Role, Name: wanted.Role})
	}
	for _, model := range effect.Models {
		if !slices.Contains(wanted.Models, model) {
			orders = append(orders, Order{Kind: Unload, Name: model})
		}
	}
	for _, model := range wanted.Models {
		if !slices.Contains(effect.Models, model) {
			orders = append(orders, Order{Kind: Load, Name: model})
		}
	}
	return orders
}

// give sends one order. The lease is checked after all waits, right before the
// order leaves.
func (a *Reconciler) give(ctx context.Context, server backend.Server, o Order) error {
	if o.Kind == Load {
		if err := a.loads.Wait(ctx); err != nil {
			return fmt.Errorf("wait for weight store: %w", err)
		}
	}
	o.Fence = a.lease.Fence()
	ctx, cancel := context.WithTimeout(ctx, a.settings.Timeout)
	defer cancel()
	if !server.SupportsFencing {
		if err := a.alone(ctx); err != nil {
			return err
		}
	}
	if !a.lease.Held(a.settings.Timeout) {
		return ErrNotHeld
	}
	if err := a.engines.Send(ctx, server, o); err != nil {
		return fmt.Errorf("send order: %w", err)
	}
	return nil
}

// alone checks what an engine that ignores fencing numbers does not: that no
// order of an earlier holder is on its way, and that there is no successor.
func (a *Reconciler) alone(ctx context.Context) error {
	if !a.lease.Settled() {
		return ErrUnsettled
	}
	if err := a.lease.Confirm(ctx); err != nil {
		return fmt.Errorf("%w: %w", ErrNotHeld, err)
	}
	return nil
}

// effect reads what is in effect within the timeout.
func (a *Reconciler) effect(ctx context.Context, server backend.Server) (EngineState, error) {
	ctx, cancel := context.WithTimeout(ctx, a.settings.Timeout)
	defer cancel()
	effect, err := a.engines.ReadState(ctx, server)
	if err != nil {
		return EngineState{}, fmt.Errorf("read orders of %s: %w", server.Name, err)
	}
	return effect, nil
}
