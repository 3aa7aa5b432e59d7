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

// fleet runs the routers of a site. Each one can end before the site does.
type fleet struct {
	// log receives the routers' logs.
	log io.Writer

	// mu guards the fields below.
	mu      sync.Mutex
	ctx     context.Context
	members []*member
}

// member is a router that was started.
type member struct {
	router *daemon.Router
	ctx    context.Context
	stop   context.CancelFunc

	// done is closed when the router has ended. Err is set before.
	done chan struct{}
	err  error
}

// run runs the routers until the context ends and waits for them.
func (f *fleet) run(ctx context.Context) error {
	f.mu.Lock()
	f.ctx = ctx
	for _, m := range f.members {
		go m.run()
	}
	f.mu.Unlock()
	<-ctx.Done()
	f.mu.Lock()
	members := slices.Clone(f.members)
	f.mu.Unlock()
	var all []error
	for _, m := range members {
		m.stop()
	}
	for _, m := range members {
		<-m.done
		all = append(all, m.err)
	}
	return errors.Join(all...)
}

// add takes in a router, and runs it if the fleet runs.
func (f *fleet) add(router *daemon.Router) {
	m := &member{router: router, done: make(chan struct{})}
	m.ctx, m.stop = context.WithCancel(context.Background())
	f.mu.Lock()
	defer f.mu.Unlock()
	f.members = append(f.members, m)
	if f.ctx != nil {
		go m.run()
	}
}

func (f *fleet) member(i int) *member {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.members[i]
}

func (m *member) run() {
	defer close(m.done)
	m.err = m.router.Run(m.ctx)
}

// newRouter binds a router and names it in the VM list.
func (s *Site) newRouter(ctx context.Context, caller string) (*daemon.Router, error) {
	text, err := s.settings(len(s.Routers), caller)
	if err != nil {
		return nil, fmt.Errorf("write settings: %w", err)
	}
	router, err := daemon.New(ctx, daemon.Options{Settings: text, Log: s.fleet.log})
	if err != nil {
		return nil, fmt.Errorf("start router %d: %w", len(s.Routers)+1, err)
	}
	s.Routers = append(s.Routers, router)
	s.fleet.add(router)
	s.UpdateVMList()
	return router, nil
}

// StartRouter starts one more router on a site that runs.
func (s *Site) StartRouter(ctx context.Context) (*daemon.Router, error) {
	return s.newRouter(ctx, loopback)
}

// StopRouter stops a router gracefully and returns when it has ended.
func (s *Site) StopRouter(router int) error {
	m := s.fleet.member(router)
	m.stop()
	<-m.done
	return m.err
}

// KillRouter ends a router at once, as the loss of its VM does, and returns when it
// has ended.
func (s *Site) KillRouter(router int) error {
	m := s.fleet.member(router)
	m.router.Kill()
	<-m.done
	return m.err
}

// UpdateVMList sets what the VM list names: the routers, as live, and the addresses of
// backend servers that are leaving.
func (s *Site) UpdateVMList(leaving ...string) {
	var vms []platform.VM
	for _, router := range s.Routers {
		vms = append(vms, entry(router.Name(), router.PeerAddress(), platform.VMLive))
	}
	for _, address := range leaving {
		vms = append(vms, entry("backend-"+address, address, platform.VMLeaving))
	}
	s.VMList.Set(vms...)
}

func entry(name, address string, state platform.VMState) platform.VM {
	return platform.VM{Name: name, Address: address, Zone: "local-a", Region: "local", State: state}
}
