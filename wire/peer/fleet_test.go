package peer_test

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/juju/errors"

	"snipetally.example/coordination/membership"
	"snipetally.example/coordination/revision"
	"snipetally.example/coordination/spread"
	"snipetally.example/wire/peer"
)

const errUnreachable = errors.ConstError("host unreachable")

// fakeTable is a fake of the log of revisions in the table service.
type fakeTable struct {
	mu          sync.Mutex
	entries     []revision.Entry
	unreachable func(*host) bool
	reads       atomic.Int64
}

// commit appends an entry and returns its revision.
func (t *fakeTable) commit(key, value string) uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := uint64(len(t.entries) + 1)
	t.entries = append(t.entries, revision.Entry{
		Revision: r, Author: "operator", Token: fmt.Sprint(r), At: time.Now(),
		Changes: []revision.Change{{Key: key, Value: []byte(value)}},
	})
	return r
}

// setOutage sets which hosts cannot reach the table. Nil ends the outage.
func (t *fakeTable) setOutage(unreachable func(*host) bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.unreachable = unreachable
}

// head returns the newest revision.
func (t *fakeTable) head() uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return uint64(len(t.entries))
}

// hostTable is the table as seen from one host.
type hostTable struct {
	*fakeTable
	host *host
}

// access counts a read and waits as long as a read takes, or fails during an
// outage.
func (t hostTable) access(ctx context.Context) error {
	t.reads.Add(1)
	t.host.waitWhilePaused()
	t.mu.Lock()
	down := t.unreachable != nil && t.unreachable(t.host)
	t.mu.Unlock()
	if down {
		<-ctx.Done()
		return errUnreachable
	}
	time.Sleep(3 * time.Millisecond)
	return nil
}

func (t hostTable) Head(ctx context.Context) (uint64, error) {
	if err := t.access(ctx); err != nil {
		return 0, err
	}
	return t.head(), nil
}

func (t hostTable) Since(ctx context.Context, after uint64) (spread.Delta, error) {
	if err := t.access(ctx); err != nil {
		return spread.Delta{}, err
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	return spread.Delta{Entries: append([]revision.Entry(nil), t.entries[after:]...)}, nil
}

// vmList is the list of VMs, which is out of date by lag.
type vmList struct {
	mu      sync.Mutex
	lag     time.Duration
	entries []*vmEntry
}

// vmEntry is a VM and the times at which it was added and removed.
type vmEntry struct {
	vm             membership.VM
	added, removed time.Time
}

// add adds a VM. If listed is set, the list contains it at once, without the
// lag.
func (l *vmList) add(vm membership.VM, listed bool) *vmEntry {
	l.mu.Lock()
	defer l.mu.Unlock()
	entry := &vmEntry{vm: vm, added: time.Now()}
	if listed {
		entry.added = entry.added.Add(-l.lag)
	}
	l.entries = append(l.entries, entry)
	return entry
}

// remove removes a VM, which stays listed for the lag.
func (l *vmList) remove(entry *vmEntry) {
	l.mu.Lock()
	defer l.mu.Unlock()
	entry.removed = time.Now()
}

func (l *vmList) List(context.Context) ([]membership.VM, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	at := time.Now().Add(-l.lag)
	var vms []membership.VM
	for _, entry := range l.entries {
		if !entry.added.After(at) && (entry.removed.IsZero() || entry.removed.After(at)) {
			vms = append(vms, entry.vm)
		}
	}
	return vms, nil
}

// router is one router process on a host.
type router struct {
	*host
	node       *membership.Node
	replicator *spread.Replicator
	cancel     context.CancelFunc
	done       sync.WaitGroup
	vmEntry    *vmEntry

	// eventMu guards the fields below.
	eventMu           sync.Mutex
	installedRevision uint64
	regressed         bool
	events            []membership.Event
}

// Install implements spread.Installer and records whether a revision was
// installed that is not newer than the last.
func (r *router) Install(_ context.Context, s *revision.Snapshot) error {
	r.waitWhilePaused()
	r.eventMu.Lock()
	defer r.eventMu.Unlock()
	r.regressed = r.regressed || s.Revision <= r.installedRevision
	r.installedRevision = s.Revision
	return nil
}

// installed returns the installed revision and whether revisions ever
// regressed.
func (r *router) installed() (uint64, bool) {
	r.eventMu.Lock()
	defer r.eventMu.Unlock()
	return r.installedRevision, r.regressed
}

func (r *router) recordEvent(e membership.Event) {
	r.eventMu.Lock()
	defer r.eventMu.Unlock()
	r.events = append(r.events, e)
}

// deathsSince returns the members that the router declared dead since a time,
// by name with the time of the event.
func (r *router) deathsSince(since time.Time) map[string]time.Time {
	r.eventMu.Lock()
	defer r.eventMu.Unlock()
	deaths := make(map[string]time.Time)
	for _, e := range r.events {
		if e.Member.State == membership.Dead && !e.At.Before(since) {
			deaths[e.Member.Name] = e.At
		}
	}
	return deaths
}

// fleet is a set of routers with their network, table and VM list.
type fleet struct {
	network   *network
	table     *fakeTable
	vmList    *vmList
	routers   []*router
	stats     *messageStats
	regions   int
	zones     int
	nextIndex int
}

// newFleet starts the given number of routers, which the VM list contains from
// the start.
func newFleet(routers, zones, regions int) *fleet {
	f := &fleet{network: newNetwork(), table: &fakeTable{}, vmList: &vmList{lag: time.Minute}, zones: zones, regions: regions}
	f.stats = &messageStats{bytes: make(map[string]int), counts: make(map[string]int)}
	f.table.commit("preset", "ordinary")
	for range routers {
		f.add(true)
	}
	return f
}

// add starts a router on a new host. If listed is set, the VM list contains it
// at once.
func (f *fleet) add(listed bool) *router {
	i := f.nextIndex
	f.nextIndex++
	zone := i % f.zones
	newHost := &host{
		name: fmt.Sprintf("router-%03d", i), address: fmt.Sprintf("10.%d.%d.%d:7000", zone, i/200, i%200+1),
		zone: fmt.Sprintf("zone-%d", zone), region: fmt.Sprintf("region-%d", zone%f.regions), network: f.network,
	}
	vm := membership.VM{Name: newHost.name, Address: newHost.address, Zone: newHost.zone, Region: newHost.region}
	r := f.startProcess(newHost)
	r.vmEntry = f.vmList.add(vm, listed)
	f.routers = append(f.routers, r)
	return r
}

// startProcess starts a router process on a host.
func (f *fleet) startProcess(h *host) *router {
	r := &router{host: h}
	client := peer.NewClient(h, "http")
	r.replicator = spread.New(spread.Config{
		Self: spread.Announcement{Name: h.name, Address: h.address}, Source: hostTable{f.table, h},
		Transport: client, Installer: r, Codec: peer.HintCodec{},
	})
	r.node = membership.New(membership.Config{
		Self:      membership.Member{Name: h.name, Address: h.address, Zone: h.zone, Region: h.region},
		Transport: countingTransport{client, f.stats}, Lister: f.vmList, Delegate: r.replicator, OnEvent: r.recordEvent, OnTick: h.waitWhilePaused,
	})
	r.replicator.SetMembership(r.node)
	f.network.mu.Lock()
	f.network.hosts[h.address] = h
	f.network.mu.Unlock()
	h.mu.Lock()
	h.handler = peer.NewHandler(r.node, r.replicator, nil)
	h.down = false
	h.mu.Unlock()
	ctx, cancel := context.WithCancel(context.Background())
	r.cancel = cancel
	r.done.Go(func() { _ = r.node.Run(ctx) })
	r.done.Go(func() { _ = r.replicator.Run(ctx) })
	return r
}

// kill stops a router abruptly. If unlist is set, its VM is removed from the VM
// list.
func (f *fleet) kill(r *router, unlist bool) {
	r.mu.Lock()
	r.down = true
	r.mu.Unlock()
	r.resume()
	r.cancel()
	r.done.Wait()
	if unlist {
		f.vmList.remove(r.vmEntry)
	}
}

// restart starts a new process on the host of a killed router.
func (f *fleet) restart(i int) {
	old := f.routers[i]
	r := f.startProcess(old.host)
	r.vmEntry = old.vmEntry
	f.routers[i] = r
}

// stop stops all routers.
func (f *fleet) stop() {
	for _, r := range f.routers {
		r.resume()
		r.cancel()
	}
	for _, r := range f.routers {
		r.done.Wait()
	}
	f.network.deliveries.Wait()
}

// running returns the routers that are not down.
func (f *fleet) running() []*router {
	var running []*router
	for _, r := range f.routers {
		r.mu.Lock()
		if !r.down {
			running = append(running, r)
		}
		r.mu.Unlock()
	}
	return running
}

// waitFor polls every 20 ms until the condition holds, at most for limit. It
// returns the time it took and whether the condition held.
func waitFor(limit time.Duration, condition func() bool) (time.Duration, bool) {
	return pollUntil(20*time.Millisecond, limit, condition)
}

// pollUntil is waitFor with the given polling interval.
func pollUntil(interval, limit time.Duration, condition func() bool) (time.Duration, bool) {
	for start := time.Now(); ; time.Sleep(interval) {
		if condition() {
			return time.Since(start), true
		}
		if time.Since(start) >= limit {
			return limit, false
		}
	}
}

// upToDate reports whether all running routers have installed the newest
// revision.
func (f *fleet) upToDate() bool {
	head := f.table.head()
	for _, r := range f.running() {
		if rev, _ := r.installed(); rev != head {
			return false
		}
	}
	return true
}

// viewsComplete reports whether every running router considers exactly the
// running routers live.
func (f *fleet) viewsComplete() bool {
	running := f.running()
	first := running[0].node.View()
	if len(first.Live()) != len(running) {
		return false
	}
	for _, r := range running {
		if m, ok := first.Find(r.name); !ok || !m.State.Live() {
			return false
		}
		if r.node.View().RosterHash() != first.RosterHash() {
			return false
		}
	}
	return true
}
