package record_test

import (
	"context"
	"fmt"
	"sync"
	"time"

	"snipetally.example/coordination/record"
	"snipetally.example/coordination/seeds"
	"snipetally.example/coordination/table/memory"
)

func init() {
	seeds.Fix()
}

const (
	tableDelay    = 3 * time.Millisecond
	peerDelay     = 500 * time.Microsecond
	serverDelay   = 20 * time.Millisecond
	callerTimeout = 2 * time.Second
)

// faultKind is a fault that is injected at a step.
type faultKind uint8

const (
	noFault faultKind = iota
	pauseShort
	pauseLong
	crash
	tableUnavailable
	commitLost
	commitResponseLost
	commitDelayed
	faultKindCount
)

// pauseLengths are the durations of the pauses: longer than the caller's
// deadline, and longer than the limit for a dispatch.
var pauseLengths = map[faultKind]time.Duration{pauseShort: 3 * time.Second, pauseLong: 12 * time.Second}

const (
	// stepSend and stepAnswered are steps of the test harness: between the
	// dispatch check and the first byte, and after the response.
	stepSend      record.Step = "send"
	stepResponded record.Step = "responded"
)

// cluster is a set of routers with a table and a backend server. It injects
// faults and records the steps.
type cluster struct {
	store     *memory.Table
	server    *server
	stopped   chan struct{}
	ctx       context.Context
	configure func(*record.Config)
	running   sync.WaitGroup

	// mu guards the fields below.
	mu             sync.Mutex
	routers        []*router
	steps          int
	faults         map[int]faultKind
	faultsInjected int
	trace          []record.Step
	outages        []outagePeriod
}

// timedKey returns a key in the form of a version 7 UUID.
func timedKey(at time.Time, number uint64) string {
	millis := at.UnixMilli()
	return fmt.Sprintf("%08x-%04x-7000-8000-%012x", millis>>16, millis&0xffff, number)
}

// outagePeriod is a period in which the table refuses every call.
type outagePeriod struct{ from, to time.Time }

// router is one incarnation of a router.
type router struct {
	cluster  *cluster
	vm       string
	recorder *record.Recorder
	dead     chan struct{}
	cancel   context.CancelFunc

	// The cluster's mu guards the fields below.
	crashed        bool
	pausedUntil    time.Time
	nextTableFault faultKind
}

func newCluster(ctx context.Context, size int, faults map[int]faultKind, config func(*record.Config)) *cluster {
	c := &cluster{
		store:     memory.New(),
		server:    newServer(),
		stopped:   make(chan struct{}),
		ctx:       ctx,
		configure: config,
		faults:    faults,
	}
	for i := range size {
		c.startRouter(fmt.Sprintf("r%d", i), i)
	}
	return c
}

// startRouter starts an incarnation of a router at an index of c.routers.
func (c *cluster) startRouter(vm string, index int) *router {
	ctx, cancel := context.WithCancel(c.ctx)
	r := &router{cluster: c, vm: vm, dead: make(chan struct{}), cancel: cancel}
	config := record.Config{
		Table:    &tableClient{router: r},
		VM:       vm,
		Homes:    &record.RendezvousLocator{Self: vm, Buckets: 1, Candidates: func(string) []string { return c.vms() }},
		Peers:    &peers{router: r},
		Liveness: c,
		Prober:   &prober{router: r},
		Observe:  r.observe,
	}
	if c.configure != nil {
		c.configure(&config)
	}
	recorder, err := record.New(config)
	if err != nil {
		panic(err)
	}
	r.recorder = recorder
	c.mu.Lock()
	if index == len(c.routers) {
		c.routers = append(c.routers, r)
	} else {
		c.routers[index] = r
	}
	c.mu.Unlock()
	c.running.Go(func() { _ = recorder.Run(ctx) })
	return r
}

func (c *cluster) vms() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	var vms []string
	for _, r := range c.routers {
		vms = append(vms, r.vm)
	}
	return vms
}

// Live implements record.Liveness. It reports every router as live, which may
// be wrong.
func (c *cluster) Live(string, string) bool { return true }

func (c *cluster) router(i int) *router {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.routers[i]
}

func (c *cluster) routerByVM(vm string) *router {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, r := range c.routers {
		if r.vm == vm {
			return r
		}
	}
	return nil
}

// stop ends all routers. Goroutines that are blocked by a crash continue, but
// nothing that they do has an effect any more.
func (c *cluster) stop() {
	c.mu.Lock()
	for _, r := range c.routers {
		if !r.crashed {
			r.crashed = true
			close(r.dead)
		}
	}
	c.mu.Unlock()
	close(c.stopped)
	for _, r := range c.routers {
		r.cancel()
	}
	c.running.Wait()
}

// clearFaults ends all faults, except for pauses that have begun.
func (c *cluster) clearFaults() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.faults = nil
	c.outages = nil
	c.server.clearBehaviors()
	for _, r := range c.routers {
		r.nextTableFault = noFault
	}
}

// observe counts a step and injects the fault that is planned for it.
func (r *router) observe(_ context.Context, step record.Step) {
	c := r.cluster
	c.mu.Lock()
	fault := c.faults[c.steps]
	c.steps++
	c.trace = append(c.trace, step)
	if r.crashed {
		fault = noFault
	}
	if fault != noFault {
		c.faultsInjected++
	}
	switch fault {
	case noFault, faultKindCount:
	case pauseShort, pauseLong:
		r.pausedUntil = time.Now().Add(pauseLengths[fault])
	case crash:
		r.crashed = true
		close(r.dead)
	default:
		r.nextTableFault = fault
	}
	c.mu.Unlock()
	r.blockWhilePaused()
}

// blockWhilePaused blocks while the router is paused, or until the cluster
// stops if it crashed.
func (r *router) blockWhilePaused() {
	c := r.cluster
	for {
		c.mu.Lock()
		crashed, left := r.crashed, time.Until(r.pausedUntil)
		c.mu.Unlock()
		switch {
		case crashed:
			<-c.stopped
			return
		case left <= 0:
			return
		}
		time.Sleep(left)
	}
}

// pausedSince reports whether the router crashed or was paused at some time
// since began.
func (r *router) pausedSince(began time.Time) bool {
	r.cluster.mu.Lock()
	defer r.cluster.mu.Unlock()
	return r.crashed || r.pausedUntil.After(began)
}

// alive reports whether the router has not crashed, so that what it does has an
// effect.
func (r *router) alive() bool {
	r.cluster.mu.Lock()
	defer r.cluster.mu.Unlock()
	return !r.crashed
}

// takeTableFault removes and returns the fault for the next call to the table.
func (r *router) takeTableFault() faultKind {
	c := r.cluster
	c.mu.Lock()
	defer c.mu.Unlock()
	fault := r.nextTableFault
	r.nextTableFault = noFault
	if r.crashed {
		return tableUnavailable
	}
	for _, w := range c.outages {
		if now := time.Now(); !now.Before(w.from) && now.Before(w.to) {
			return tableUnavailable
		}
	}
	return fault
}
