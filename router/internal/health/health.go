// Package health asks model engines for their load and for what their prefix
// caches hold, within a budget of calls a second, so that the cost for a router
// does not grow with the number of backend servers. It imports link, schedule,
// fleet and the packages of plain data.
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
	// Budget is the number of engines that a router asks in a second.
	Budget = 4

	// LeastPause is the least time between two questions to one engine.
	LeastPause = time.Second

	// timeout bounds one question.
	timeout = time.Second

	// maxAnswer bounds an answer in bytes.
	maxAnswer = 64 << 10

	// tick is the time between two looks at which engines are due.
	tick = 250 * time.Millisecond
)

// ErrInvalidResponse says that an engine's answer can't be used.
const ErrInvalidResponse = errors.ConstError("unusable answer of an engine")

// Scheduler is told what engines report. *schedule.Scheduler is one.
type Scheduler interface {
	Report(server string, load schedule.Load)
	CacheEvent(server string, prefix uint64, kept bool)

	// Busy returns the engines that run requests of this router.
	Busy() []string
}

// Links finds the link to a backend server.
type Links interface {
	Get(address string) *link.Link
}

// Prober asks engines.
type Prober struct {
	fleet *fleet.Store
	links Links
	gate  Scheduler

	// mu guards the fields below.
	mu sync.Mutex

	// engines are the engines of the snapshot with this revision and listing,
	// in the order of the plan and by name.
	revision uint64
	listing  uint64
	engines  []*engine
	byName   map[string]*engine
}

// engine is what is known of one engine. It is dropped with the engine.
type engine struct {
	server *backend.Server

	// asked is when the engine was asked last.
	asked time.Time

	// after is the number of the last cache event that it told.
	after uint64
}

// NewProber returns a prober.
func NewProber(holder *fleet.Store, links Links, gate Scheduler) *Prober {
	return &Prober{fleet: holder, links: links, gate: gate}
}

// Run asks engines until the context ends.
func (p *Prober) Run(ctx context.Context) error {
	var group sync.WaitGroup
	defer group.Wait()
	ticker := time.NewTicker(tick)
	defer ticker.Stop()
	credit := 0.0
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
		credit = min(credit+Budget*tick.Seconds(), Budget)
		for _, server := range p.Due(int(credit)) {
			credit--
			group.Go(func() { p.Probe(ctx, server) })
		}
	}
}

// Due returns at most n engines that were not asked for the longest time.
// Engines that run requests of this router come first. They are noted as asked.
func (p *Prober) Due(n int) []*backend.Server {
	snapshot := p.fleet.Acquire()
	if snapshot == nil {
		return nil
	}
	defer snapshot.Release()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.follow(snapshot)
	now := time.Now()
	var chosen []*backend.Server
	for _, e := range p.inUse() {
		if len(chosen) < n && e.ripe(now) {
			chosen = append(chosen, e.server)
		}
	}
	if len(chosen) < n {
		if e := p.oldest(); e != nil && e.ripe(now) {
			chosen = append(chosen, e.server)
		}
	}
	return chosen
}

// inUse returns the engines that run requests of this router, the one that was
// not asked for the longest time first. The caller holds p.mu.
func (p *Prober) inUse() []*engine {
	var engines []*engine
	for _, name := range p.gate.Busy() {
		if e, ok := p.byName[name]; ok {
			engines = append(engines, e)
		}
	}
	slices.SortFunc(engines, func(a, b *engine) int { return a.asked.Compare(b.asked) })
	return engines
}

// ripe reports whether an engine may be asked again, and notes that it is
// asked.
func (e *engine) ripe(now time.Time) bool {
	if now.Sub(e.asked) < LeastPause {
		return false
	}
	e.asked = now
	return true
}

// oldest returns the engine that was not asked for the longest time, or nil if
// there is none. The caller holds p.mu.
func (p *Prober) oldest() *engine {
	var oldest *engine
	for _, e := range p.engines {
		if oldest == nil || e.asked.Before(oldest.asked) {
			oldest = e
		}
	}
	return oldest
}

// follow takes over the engines of a snapshot and forgets those that are no
// longer there. The caller holds p.mu.
func (p *Prober) follow(s *fleet.Snapshot) {
	if p.byName != nil && p.revision == s.Revision && p.listing == s.VMListVersion {
		return
	}
	before := p.byName
	p.revision, p.listing = s.Revision, s.VMListVersion
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

// after returns the number of the last cache event that an engine told.
func (p *Prober) after(name string) uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	if e, ok := p.byName[name]; ok {
		return e.after
	}
	return 0
}

// told notes the number of the last cache event that an engine told.
func (p *Prober) told(name string, last uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if e, ok := p.byName[name]; ok {
		e.after = last
	}
}

// Probe asks one engine for its load and its cache events. What can't be learned
// is left to the next time; the gate weighs a report by its age.
func (p *Prober) Probe(ctx context.Context, server *backend.Server) {
	l := p.links.Get(server.Address)
	var load loadAnswer
	if err := get(ctx, l, "/load", &load); err != nil {
		return
	}
	p.gate.Report(server.Name, load.load())
	path := "/events?after=" + strconv.FormatUint(p.after(server.Name), 10)
	var events eventsAnswer
	if err := get(ctx, l, path, &events); err != nil {
		return
	}
	for _, event := range events.Events {
		if prefix, err := strconv.ParseUint(event.Prefix, 16, 64); err == nil {
			p.gate.CacheEvent(server.Name, prefix, event.Kept)
		}
	}
	p.told(server.Name, events.Last)
}

// loadAnswer is the JSON form of a load report.
type loadAnswer struct {
	At      int64   `json:"at"`
	Waiting int     `json:"waiting"`
	Running int     `json:"running"`
	Slots   int     `json:"slots"`
	Cache   float64 `json:"cache"`
	Pace    float64 `json:"pace"`
}

func (a *loadAnswer) load() schedule.Load {
	return schedule.Load{
		At:      time.UnixMilli(a.At),
		Waiting: a.Waiting,
		Running: a.Running,
		Slots:   a.Slots,
		Cache:   a.Cache,
		Pace:    time.Duration(a.Pace * float64(time.Millisecond)),
	}
}

// eventsAnswer is the JSON form of a list of cache events.
type eventsAnswer struct {
	Events []eventAnswer `json:"events"`
	Last   uint64        `json:"last"`
}

type eventAnswer struct {
	Number uint64 `json:"number"`
	Prefix string `json:"prefix"`
	Kept   bool   `json:"kept"`
}

// get asks for a JSON answer.
func get(ctx context.Context, l *link.Link, path string, answer any) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	exchange, err := l.Send(ctx, link.Request{Method: http.MethodGet, Path: path})
	if err != nil {
		return fmt.Errorf("ask %s: %w", path, err)
	}
	defer exchange.Close()
	if exchange.Status != http.StatusOK {
		return fmt.Errorf("ask %s: status %d: %w", path, exchange.Status, ErrInvalidResponse)
	}
	data, err := exchange.ReadAll(maxAnswer)
	if err != nil {
		return fmt.Errorf("ask %s: %w", path, err)
	}
	if err := json.Unmarshal(data, answer); err != nil {
		return fmt.Errorf("ask %s: %w", path, ErrInvalidResponse)
	}
	return nil
}
