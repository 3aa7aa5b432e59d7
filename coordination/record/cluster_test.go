package record_test

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/juju/errors"

	"snipetally.example/coordination/record"
	"snipetally.example/coordination/seeds"
	"snipetally.example/coordination/table"
	"snipetally.example/coordination/table/memory"
)

func init() {
	seeds.Fix()
}

const (
	tableDelay  = 3 * time.Millisecond
	peerDelay   = 500 * time.Microsecond
	serverDelay = 20 * time.Millisecond
	callerLimit = 2 * time.Second
)

// action is a fault that strikes at a marked step.
type action uint8

const (
	noFault action = iota
	pauseShort
	pauseLong
	crash
	refuseTable
	loseBefore
	loseAfter
	landLate
	actions
)

// pauses are the lengths of the pauses: beyond the caller's deadline, and
// beyond the limit for a dispatch.
var pauses = map[action]time.Duration{pauseShort: 3 * time.Second, pauseLong: 12 * time.Second}

// stepSend is the harness's own step between the check and the first byte.
const (
	stepSend     record.Step = "send"
	stepAnswered record.Step = "answered"
)

// cluster is routers, a table, a backend server and what they did.
type cluster struct {
	store  *memory.Table
	server *server
	over   chan struct{}
	ctx    context.Context
	config func(*record.Config)
	wait   sync.WaitGroup

	// mu guards the fields below.
	mu      sync.Mutex
	routers []*router
	steps   int
	faults  map[int]action
	struck  int
	trace   []record.Step
	down    []window
}

// timedKey returns a key of the form of a UUID version 7.
func timedKey(at time.Time, number uint64) string {
	millis := at.UnixMilli()
	return fmt.Sprintf("%08x-%04x-7000-8000-%012x", millis>>16, millis&0xffff, number)
}

// window is a time in which the table refuses every call.
type window struct{ from, to time.Time }

// router is one incarnation of a router.
type router struct {
	cluster *cluster
	vm      string
	book    *record.Recorder
	dead    chan struct{}
	cancel  context.CancelFunc

	// The cluster's mu guards the fields below.
	crashed bool
	wakes   time.Time
	next    action
}

func newCluster(ctx context.Context, size int, faults map[int]action, config func(*record.Config)) *cluster {
	c := &cluster{
		store:  memory.New(),
		server: newServer(),
		over:   make(chan struct{}),
		ctx:    ctx,
		config: config,
		faults: faults,
	}
	for i := range size {
		c.start(fmt.Sprintf("r%d", i), i)
	}
	return c
}

// start starts an incarnation of a router in the place.
func (c *cluster) start(vm string, place int) *router {
	ctx, cancel := context.WithCancel(c.ctx)
	r := &router{cluster: c, vm: vm, dead: make(chan struct{}), cancel: cancel}
	config := record.Config{
		Table:    &link{router: r},
		VM:       vm,
		Homes:    &record.RendezvousLocator{Self: vm, Buckets: 1, Candidates: func(string) []string { return c.members() }},
		Peers:    &peers{router: r},
		Liveness: c,
		Prober:   &prober{router: r},
		Observe:  r.observe,
	}
	if c.config != nil {
		c.config(&config)
	}
	book, err := record.New(config)
	if err != nil {
		panic(err)
	}
	r.book = book
	c.mu.Lock()
	if place == len(c.routers) {
		c.routers = append(c.routers, r)
	} else {
		c.routers[place] = r
	}
	c.mu.Unlock()
	c.wait.Go(func() { _ = book.Run(ctx) })
	return r
}

func (c *cluster) members() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	var vms []string
	for _, r := range c.routers {
		vms = append(vms, r.vm)
	}
	return vms
}

// Live lies: it says that every router lives.
func (c *cluster) Live(string, string) bool { return true }

func (c *cluster) router(i int) *router {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.routers[i]
}

func (c *cluster) named(vm string) *router {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, r := range c.routers {
		if r.vm == vm {
			return r
		}
	}
	return nil
}

// stop ends all routers. Goroutines that are parked in a crash go on, but
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
	close(c.over)
	for _, r := range c.routers {
		r.cancel()
	}
	c.wait.Wait()
}

// calm ends the faults.
func (c *cluster) calm() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.faults = nil
	c.down = nil
	c.server.calm()
	for _, r := range c.routers {
		r.next = noFault
	}
}

// observe is the marked step: the planned fault strikes here.
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
		c.struck++
	}
	switch fault {
	case noFault, actions:
	case pauseShort, pauseLong:
		r.wakes = time.Now().Add(pauses[fault])
	case crash:
		r.crashed = true
		close(r.dead)
	default:
		r.next = fault
	}
	c.mu.Unlock()
	r.gate()
}

// gate holds a paused or crashed router.
func (r *router) gate() {
	c := r.cluster
	for {
		c.mu.Lock()
		crashed, left := r.crashed, time.Until(r.wakes)
		c.mu.Unlock()
		switch {
		case crashed:
			<-c.over
			return
		case left <= 0:
			return
		}
		time.Sleep(left)
	}
}

// held reports whether the router was paused at some time since began.
func (r *router) held(began time.Time) bool {
	r.cluster.mu.Lock()
	defer r.cluster.mu.Unlock()
	return r.crashed || r.wakes.After(began)
}

// alive reports whether what the router does has an effect.
func (r *router) alive() bool {
	r.cluster.mu.Lock()
	defer r.cluster.mu.Unlock()
	return !r.crashed
}

// fault takes the fault for the next call to the table.
func (r *router) fault() action {
	c := r.cluster
	c.mu.Lock()
	defer c.mu.Unlock()
	fault := r.next
	r.next = noFault
	if r.crashed {
		return refuseTable
	}
	for _, w := range c.down {
		if now := time.Now(); !now.Before(w.from) && now.Before(w.to) {
			return refuseTable
		}
	}
	return fault
}

// link is a router's way to the table.
type link struct {
	router *router
}

func (l *link) Read(ctx context.Context, keys ...string) ([]table.Row, error) {
	if l.router.fault() != noFault {
		return nil, fmt.Errorf("read: %w", table.ErrUnavailable)
	}
	delay(ctx, tableDelay)
	return l.router.cluster.store.Read(ctx, keys...)
}

func (l *link) List(ctx context.Context, r table.Range) ([]table.Row, error) {
	if l.router.fault() != noFault {
		return nil, fmt.Errorf("list: %w", table.ErrUnavailable)
	}
	delay(ctx, tableDelay)
	return l.router.cluster.store.List(ctx, r)
}

func (l *link) Commit(ctx context.Context, tx table.Transaction) error {
	store := l.router.cluster.store
	fault := l.router.fault()
	if fault == refuseTable {
		delay(ctx, tableDelay)
		return fmt.Errorf("commit: %w", table.ErrUnavailable)
	}
	if fault == loseBefore {
		delay(ctx, 80*time.Millisecond)
		return fmt.Errorf("commit: %w", table.ErrUncertain)
	}
	if fault == landLate {
		l.router.cluster.wait.Go(func() {
			time.Sleep(150 * time.Millisecond)
			_ = store.Commit(context.Background(), tx)
		})
		return fmt.Errorf("commit: %w", table.ErrUncertain)
	}
	delay(ctx, tableDelay/2)
	err := store.Commit(context.Background(), tx)
	delay(ctx, tableDelay/2)
	if fault == loseAfter {
		return fmt.Errorf("commit: %w", table.ErrUncertain)
	}
	return err
}

// delay sleeps, but not beyond the context.
func delay(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}

// peers is a router's way to the others.
type peers struct {
	router *router
}

// remote runs a call at another router, unless it is gone, and gives up with
// the context.
func remote[T any](ctx context.Context, p *peers, vm string, call func(*record.Recorder) (T, error)) (T, error) {
	var zero T
	delay(ctx, peerDelay)
	other := p.router.cluster.named(vm)
	if other == nil || !other.alive() || !p.router.alive() {
		return zero, errors.New("router cannot be reached")
	}
	type result struct {
		value T
		err   error
	}
	done := make(chan result, 1)
	p.router.cluster.wait.Go(func() {
		other.gate()
		value, err := call(other.book)
		other.gate()
		done <- result{value, err}
	})
	select {
	case r := <-done:
		delay(ctx, peerDelay)
		return r.value, r.err
	case <-ctx.Done():
		return zero, ctx.Err()
	case <-other.dead:
		return zero, errors.New("router crashed")
	}
}

func (p *peers) Commit(ctx context.Context, vm string, entry record.Entry) (record.CommitResult, error) {
	return remote(ctx, p, vm, func(b *record.Recorder) (record.CommitResult, error) {
		return b.Commit(ctx, entry), nil
	})
}

func (p *peers) Await(ctx context.Context, vm, incarnation, attempt string) (record.Outcome, error) {
	return remote(ctx, p, vm, func(b *record.Recorder) (record.Outcome, error) {
		return b.Await(ctx, incarnation, attempt)
	})
}

func (p *peers) Claim(ctx context.Context, vm string, claim record.Claim) (record.Claim, error) {
	return remote(ctx, p, vm, func(b *record.Recorder) (record.Claim, error) {
		return b.Claim(ctx, claim)
	})
}
