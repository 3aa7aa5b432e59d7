// Package health polls model engines for their load and for changes of their
// prefix caches. The number of calls per second is bounded, so that the cost
// for a router does not grow with the number of backend servers. It imports
// link, schedule, fleet and the packages of plain data.
package health

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/juju/errors"

	"snipetally.example/router/internal/backend"
	"snipetally.example/router/internal/fleet"
	"snipetally.example/router/internal/link"
	"snipetally.example/router/internal/schedule"
)

const (
	// ProbesPerSecond is the number of engines that a router probes per second.
	ProbesPerSecond = 4

	// MinProbeInterval is the least time between two probes of one engine.
	MinProbeInterval = time.Second

	// probeTimeout bounds each call of a probe.
	probeTimeout = time.Second

	// maxResponseBytes bounds the size of a response.
	maxResponseBytes = 64 << 10

	// selectInterval is the interval at which the engines to probe are
	// selected.
	selectInterval = 250 * time.Millisecond
)

// ErrInvalidResponse means that an engine's response can't be used.
const ErrInvalidResponse = errors.ConstError("invalid engine response")

// Scheduler receives what engines report. *schedule.Gate implements it.
type Scheduler interface {
	Report(server string, load schedule.Load)

	// CacheEvent records that a prefix entered the cache of an engine, or left
	// it if cached is false.
	CacheEvent(server string, prefix uint64, cached bool)

	// BusyServers returns the names of the engines that run requests of this
	// router.
	BusyServers() []string
}

// Links provides the links to backend servers by address.
type Links interface {
	Get(address string) *link.Link
}

// Prober probes engines for their load and cache events.
type Prober struct {
	fleet     *fleet.Store
	links     Links
	scheduler Scheduler

	// mu guards the fields below.
	mu sync.Mutex

	// engines and byName hold the engines of the snapshot with this revision
	// and VM list version, in the order of the plan and by name.
	revision      uint64
	vmListVersion uint64
	engines       []*engine
	byName        map[string]*engine
}

// engine is the probing state of an engine. It is dropped when the engine
// leaves the plan.
type engine struct {
	server *backend.Server

	// probedAt is when the engine was last selected for a probe.
	probedAt time.Time

	// lastEvent is the number of the last cache event received from the engine.
	lastEvent uint64
}

// NewProber returns a prober for the engines in the store's plan.
func NewProber(store *fleet.Store, links Links, scheduler Scheduler) *Prober {
	return &Prober{fleet: store, links: links, scheduler: scheduler}
}

// Run probes engines until the context ends.
func (p *Prober) Run(ctx context.Context) error {
	var group sync.WaitGroup
	defer group.Wait()
	ticker := time.NewTicker(selectInterval)
	defer ticker.Stop()
	credit := 0.0
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
		credit = min(credit+ProbesPerSecond*selectInterval.Seconds(), ProbesPerSecond)
		for _, server := range p.Due(int(credit)) {
			credit--
			group.Go(func() { p.Probe(ctx, server) })
		}
	}
}

// Due selects at most n engines to probe and marks them as probed. Engines that
// run requests of this router come first, followed by at most one other engine;
// the least recently probed are preferred. Engines probed less than LeastPause
// ago are left out.
func (p *Prober) Due(n int) []*backend.Server {
	snapshot := p.fleet.Acquire()
	if snapshot == nil {
		return nil
	}
	defer snapshot.Release()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.updateEngines(snapshot)
	now := time.Now()
	var chosen []*backend.Server
	for _, e := range p.busyEngines() {
		if len(chosen) < n && e.tryProbe(now) {
			chosen = append(chosen, e.server)
		}
	}
	if len(chosen) < n {
		if e := p.leastRecentlyProbed(); e != nil && e.tryProbe(now) {
			chosen = append(chosen, e.server)
		}
	}
	return chosen
}

// busyEngines returns the engines that run requests of this router, the least
// recently probed first. The caller holds p.mu.
func (p *Prober) busyEngines() []*engine {
	var engines []*engine
	for _, name := range p.scheduler.BusyServers() {
		if e, ok := p.byName[name]; ok {
			engines = append(engines, e)
		}
	}
	slices.SortFunc(engines, func(a, b *engine) int { return a.probedAt.Compare(b.probedAt) })
	return engines
}

// tryProbe reports whether LeastPause has passed since the last probe, and if
// so marks the engine as probed.
func (e *engine) tryProbe(now time.Time) bool {
	if now.Sub(e.probedAt) < MinProbeInterval {
		return false
	}
	e.probedAt = now
	return true
}

// leastRecentlyProbed returns the least recently probed engine, or nil if there
// are no engines. The caller holds p.mu.
func (p *Prober) leastRecentlyProbed() *engine {
	var oldest *engine
	for _, e := range p.engines {
		if oldest == nil || e.probedAt.Before(oldest.probedAt) {
			oldest = e
		}
	}
	return oldest
}

// updateEngines takes over the engines of a snapshot and drops those that are
// no longer in it. The caller holds p.mu.
func (p *Prober) updateEngines(s *fleet.Snapshot) {
	if p.byName != nil && p.revision == s.Revision && p.vmListVersion == s.VMListVersion {
		return
	}
	before := p.byName
	p.revision, p.vmListVersion = s.Revision, s.VMListVersion
	p.engines = p.engines[:0]
	p.byName = make(map[string]*engine, len(s.Servers))
	for _, server := range s.OrderedServers {
		if server.Kind != backend.KindEngine {
			continue
		}
		e, ok := before[server.Name]
		if !ok {
			e = &engine{}
		}
		e.server = server
		p.engines = append(p.engines, e)
		p.byName[server.Name] = e
	}
	clear(p.engines[len(p.engines):cap(p.engines)])
}

// lastEvent returns the number of the last cache event received from an engine,
// or zero.
func (p *Prober) lastEvent(name string) uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	if e, ok := p.byName[name]; ok {
		return e.lastEvent
	}
	return 0
}

// setLastEvent sets the number of the last cache event received from an engine.
func (p *Prober) setLastEvent(name string, last uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if e, ok := p.byName[name]; ok {
		e.lastEvent = last
	}
}

// Probe asks one engine for its load and its new cache events. A failed call is
// not retried before the next probe; the scheduler weighs a report by its age.
func (p *Prober) Probe(ctx context.Context, server *backend.Server) {
	l := p.links.Get(server.Address)
	var load loadResponse
	if err := getJSON(ctx, l, "/load", &load); err != nil {
		return
	}
	p.scheduler.Report(server.Name, load.load())
	path := "/events?after=" + strconv.FormatUint(p.lastEvent(server.Name), 10)
	var events eventsResponse
	if err := getJSON(ctx, l, path, &events); err != nil {
		return
	}
	for _, event := range events.Events {
		if prefix, err := strconv.ParseUint(event.Prefix, 16, 64); err == nil {
			p.scheduler.CacheEvent(server.Name, prefix, event.Cached)
		}
	}
	p.setLastEvent(server.Name, events.Last)
}

// loadResponse is the JSON form of a load report. At is a Unix time and Pace a
// duration, both in milliseconds.
type loadResponse struct {
	At      int64   `json:"at"`
	Waiting int     `json:"waiting"`
	Running int     `json:"running"`
	Slots   int     `json:"slots"`
	Cache   float64 `json:"cache"`
	Pace    float64 `json:"pace"`
}

// load returns the report in the units of the gate.
func (r *loadResponse) load() schedule.Load {
	return schedule.Load{
		At:      time.UnixMilli(r.At),
		Waiting: r.Waiting,
		Running: r.Running,
		Slots:   r.Slots,
		Cache:   r.Cache,
		Pace:    time.Duration(r.Pace * float64(time.Millisecond)),
	}
}

// eventsResponse is the JSON form of a list of cache events.
type eventsResponse struct {
	Events []cacheEvent `json:"events"`
	Last   uint64       `json:"last"`
}

// cacheEvent is the JSON form of a cache event. Prefix is a hash in
// hexadecimal.
type cacheEvent struct {
	Number uint64 `json:"number"`
	Prefix string `json:"prefix"`
	Cached bool   `json:"kept"`
}

// getJSON gets a path and decodes the JSON that it returns.
func getJSON(ctx context.Context, l *link.Link, path string, response any) error {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	exchange, err := l.Send(ctx, link.Request{Method: http.MethodGet, Path: path})
	if err != nil {
		return fmt.Errorf("get %s: %w", path, err)
	}
	defer exchange.Close()
	if exchange.Status != http.StatusOK {
		return fmt.Errorf("get %s: status %d: %w", path, exchange.Status, ErrInvalidResponse)
	}
	data, err := exchange.ReadAll(maxResponseBytes)
	if err != nil {
		return fmt.Errorf("get %s: %w", path, err)
	}
	if err := json.Unmarshal(data, response); err != nil {
		return fmt.Errorf("get %s: %w", path, ErrInvalidResponse)
	}
	return nil
}
