package order

import (
	"cmp"
	"context"
	"fmt"
	"slices"
	"time"

	"github.com/juju/errors"
	"golang.org/x/time/rate"

	"snipetally.example/router/internal/backend"
)

const (
	defaultTimeout        = time.Second
	defaultLoadsPerSecond = 0.2
)

// Config configures a Reconciler. Zero fields take defaults.
type Config struct {
	// Timeout bounds the time for one order. No order is sent unless the lease
	// lasts longer than that.
	Timeout time.Duration

	// LoadsPerSecond is the rate of model loads that the weight store can
	// sustain.
	LoadsPerSecond float64
}

// Reconciler sends orders under one lease. Each lease needs a new one. Its
// first load waits as long as loads are spaced, since the previous holder may
// have ordered a load just before.
type Reconciler struct {
	engines     Engines
	lease       Lease
	config      Config
	loadLimiter *rate.Limiter
}

// NewReconciler returns a Reconciler that sends orders under the lease l.
func NewReconciler(engines Engines, l Lease, config Config) *Reconciler {
	config.Timeout = cmp.Or(config.Timeout, defaultTimeout)
	config.LoadsPerSecond = cmp.Or(config.LoadsPerSecond, defaultLoadsPerSecond)
	limiter := rate.NewLimiter(rate.Limit(config.LoadsPerSecond), 1)
	limiter.Allow()
	return &Reconciler{engines: engines, lease: l, config: config, loadLimiter: limiter}
}

// Reconcile brings a server to its desired state: it reads the current state,
// sends the missing orders and reads the state again. It reports whether the
// server is in the desired state. Orders state the result and not a change, so
// Reconcile may be repeated at any time, also by another lease holder. Errors
// wrap those of this package or of the context.
func (r *Reconciler) Reconcile(ctx context.Context, desired DesiredState) (bool, error) {
	state, err := r.readState(ctx, desired.Server)
	if err != nil {
		return false, err
	}
	orders := MissingOrders(state, desired)
	if len(orders) == 0 {
		return true, nil
	}
	for _, o := range orders {
		err := r.send(ctx, desired.Server, o)
		// If the response was lost, the state read below tells the outcome.
		if err != nil && !errors.Is(err, ErrUncertain) {
			return false, fmt.Errorf("%s %q at %s: %w", o.Kind, o.Name, desired.Server.Name, err)
		}
	}
	state, err = r.readState(ctx, desired.Server)
	if err != nil {
		return false, err
	}
	return len(MissingOrders(state, desired)) == 0, nil
}

// MissingOrders returns the orders that lead from the current to the desired
// state: the role first, then unloads, then loads, so that unloads make room
// for the loads.
func MissingOrders(state EngineState, desired DesiredState) []Order {
	var orders []Order
	if desired.Role != "" && desired.Role != state.Role {
		orders = append(orders, Order{Kind: Role, Name: desired.Role})
	}
	for _, model := range state.Models {
		if !slices.Contains(desired.Models, model) {
			orders = append(orders, Order{Kind: Unload, Name: model})
		}
	}
	for _, model := range desired.Models {
		if !slices.Contains(state.Models, model) {
			orders = append(orders, Order{Kind: Load, Name: model})
		}
	}
	return orders
}

// send sends one order. It checks the lease after all waits, immediately before
// it sends the order.
func (r *Reconciler) send(ctx context.Context, server backend.Server, o Order) error {
	if o.Kind == Load {
		if err := r.loadLimiter.Wait(ctx); err != nil {
			return fmt.Errorf("wait to load from the weight store: %w", err)
		}
	}
	o.Fence = r.lease.Fence()
	ctx, cancel := context.WithTimeout(ctx, r.config.Timeout)
	defer cancel()
	if !server.SupportsFencing {
		if err := r.checkSuccession(ctx); err != nil {
			return err
		}
	}
	if !r.lease.HeldFor(r.config.Timeout) {
		return ErrNotHeld
	}
	if err := r.engines.Send(ctx, server, o); err != nil {
		return fmt.Errorf("send order: %w", err)
	}
	return nil
}

// checkSuccession makes up for an engine that ignores fencing tokens: it
// checks that no order of an earlier lease holder can still arrive, and that no
// other holder has succeeded this one.
func (r *Reconciler) checkSuccession(ctx context.Context) error {
	if !r.lease.PredecessorsSettled() {
		return ErrUnsettled
	}
	if err := r.lease.ConfirmHeld(ctx); err != nil {
		return fmt.Errorf("%w: %w", ErrNotHeld, err)
	}
	return nil
}

// readState reads the state of a server's engine within the timeout.
func (r *Reconciler) readState(ctx context.Context, server backend.Server) (EngineState, error) {
	ctx, cancel := context.WithTimeout(ctx, r.config.Timeout)
	defer cancel()
	state, err := r.engines.ReadState(ctx, server)
	if err != nil {
		return EngineState{}, fmt.Errorf("read state of %s: %w", server.Name, err)
	}
	return state, nil
}
