package site

import (
	"context"
	"errors"
	"fmt"
	"io"
	"slices"
	"sync"

	"snipetally.example/router/daemon"
	"snipetally.example/standin/platform"
)

// routerGroup runs the routers of a site. Each router can stop before the site
// does.
type routerGroup struct {
	// log receives the routers' logs.
	log io.Writer

	// mu guards the fields below.
	mu        sync.Mutex
	ctx       context.Context
	instances []*instance
}

// instance is one router of a routerGroup.
type instance struct {
	router *daemon.Router
	ctx    context.Context
	stop   context.CancelFunc

	// done is closed when the router has stopped. err is set before that.
	done chan struct{}
	err  error
}

// run runs the routers until ctx ends, stops them all and waits for them.
func (g *routerGroup) run(ctx context.Context) error {
	g.mu.Lock()
	g.ctx = ctx
	for _, inst := range g.instances {
		go inst.run()
	}
	g.mu.Unlock()
	<-ctx.Done()
	g.mu.Lock()
	instances := slices.Clone(g.instances)
	g.mu.Unlock()
	var errs []error
	for _, inst := range instances {
		inst.stop()
	}
	for _, inst := range instances {
		<-inst.done
		errs = append(errs, inst.err)
	}
	return errors.Join(errs...)
}

// add adds a router and runs it if the group is already running.
func (g *routerGroup) add(router *daemon.Router) {
	inst := &instance{router: router, done: make(chan struct{})}
	inst.ctx, inst.stop = context.WithCancel(context.Background())
	g.mu.Lock()
	defer g.mu.Unlock()
	g.instances = append(g.instances, inst)
	if g.ctx != nil {
		go inst.run()
	}
}

// instance returns the router at an index, in the order in which they were added.
func (g *routerGroup) instance(index int) *instance {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.instances[index]
}

// run runs the router until it stops and records its error.
func (inst *instance) run() {
	defer close(inst.done)
	inst.err = inst.router.Run(inst.ctx)
}

// newRouter creates a router that listens for callers on callerAddress, and adds
// it to the site and the VM list.
func (s *Site) newRouter(ctx context.Context, callerAddress string) (*daemon.Router, error) {
	settings, err := s.routerSettings(len(s.Routers), callerAddress)
	if err != nil {
		return nil, fmt.Errorf("render settings: %w", err)
	}
	router, err := daemon.New(ctx, daemon.Options{Settings: settings, Log: s.routers.log})
	if err != nil {
		return nil, fmt.Errorf("start router %d: %w", len(s.Routers)+1, err)
	}
	s.Routers = append(s.Routers, router)
	s.routers.add(router)
	s.UpdateVMList()
	return router, nil
}

// StartRouter starts one more router while the site runs.
func (s *Site) StartRouter(ctx context.Context) (*daemon.Router, error) {
	return s.newRouter(ctx, loopback)
}

// StopRouter stops the router at an index gracefully and waits until it has
// stopped.
func (s *Site) StopRouter(router int) error {
	inst := s.routers.instance(router)
	inst.stop()
	<-inst.done
	return inst.err
}

// KillRouter ends the router at an index at once, as the loss of its VM does, and
// waits until it has stopped.
func (s *Site) KillRouter(router int) error {
	inst := s.routers.instance(router)
	inst.router.Kill()
	<-inst.done
	return inst.err
}

// UpdateVMList replaces the entries of the VM list: all routers as live, and the
// backend servers at the given addresses as leaving.
func (s *Site) UpdateVMList(leaving ...string) {
	var vms []platform.VM
	for _, router := range s.Routers {
		vms = append(vms, vmEntry(router.Name(), router.PeerAddress(), platform.VMLive))
	}
	for _, address := range leaving {
		vms = append(vms, vmEntry("backend-"+address, address, platform.VMLeaving))
	}
	s.VMList.Set(vms...)
}

// vmEntry returns an entry of the VM list in the site's only zone.
func vmEntry(name, address string, state platform.VMState) platform.VM {
	return platform.VM{Name: name, Address: address, Zone: "local-a", Region: "local", State: state}
}
