// Package engine is a small stand-in for a model engine. It speaks the
// engine protocol of docs/PLATFORM.md, makes a deterministic answer from each
// prompt and can be told to fail. It is scaffolding for tests and the
// demonstration and no model of a real engine's speed. It imports the standard
// library, gorilla/mux, xxhash and package network.
package engine

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	"snipetally.example/standin/network"
)

const (
	defaultSlots   = 8
	defaultBlocks  = 1024
	defaultPace    = 5 * time.Millisecond
	defaultPrefill = time.Millisecond

	// keptAnswers is the number of finished answers whose streams can still
	// be resumed.
	keptAnswers = 4096
)

// Config describes an engine. Zero fields get defaults.
type Config struct {
	// Models are the models that are loaded at first.
	Models []string

	// Slots is the number of requests that run at once.
	Slots int

	// TokenLatency is the time for a token while one request runs.
	TokenLatency time.Duration

	// BatchSlowdown is the fraction of Pace that each further running request adds.
	BatchSlowdown float64

	// PrefillPerBlock is the time for one block of the prompt that is not cached.
	PrefillPerBlock time.Duration

	// CacheBlocks is the number of prompt blocks that the prefix cache holds.
	CacheBlocks int

	// ReportDelay is the age of what the engine reports of its load and cache.
	ReportDelay time.Duration

	// EventLossInterval loses every cache event whose number is a multiple of it. Zero
	// loses none.
	EventLossInterval uint64

	// OrphanTimeout is how long a request runs on while nobody reads its answer.
	// Zero lets it run to its end.
	OrphanTimeout time.Duration

	// SupportsFencing engines refuse orders that carry an old fencing number.
	SupportsFencing bool
}

// Engine is a stand-in for one model engine. It implements http.Handler.
// Close must be called to end what runs.
type Engine struct {
	config  Config
	handler http.Handler
	group   sync.WaitGroup

	// mu guards all fields below, and the fields of the jobs.
	mu        sync.Mutex
	ctx       context.Context
	cancel    context.CancelFunc
	epoch     uint64
	sequence  uint64
	factor    float64
	listeners []*network.Listener
	jobs      map[string]*job
	refused   map[string]bool
	waiting   []*job
	running   map[*job]struct{}
	finished  []*job
	records   map[string]*Record
	faults    []Fault
	cache     *cache
	samples   []load
	orders    orders
}

// New returns an engine that accepts requests at once.
func New(config Config) *Engine {
	e := &Engine{config: withDefaults(config), factor: 1, records: make(map[string]*Record)}
	e.handler = e.routes()
	e.reset()
	return e
}

// ServeHTTP implements http.Handler.
func (e *Engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	e.handler.ServeHTTP(w, r)
}

// Serve serves on l until the context ends. Crash, Restart and Silence act on
// the connections that were accepted here.
func (e *Engine) Serve(ctx context.Context, l net.Listener) error {
	tracked := network.Wrap(l)
	e.mu.Lock()
	e.listeners = append(e.listeners, tracked)
	e.mu.Unlock()
	server := &http.Server{Handler: e, ReadHeaderTimeout: time.Minute}
	stop := context.AfterFunc(ctx, func() {
		_ = server.Close()
		tracked.CloseConnections()
	})
	defer stop()
	if err := server.Serve(tracked); err != nil && ctx.Err() == nil {
		return fmt.Errorf("serve engine: %w", err)
	}
	return nil
}

// Close ends all requests and waits until nothing runs.
func (e *Engine) Close() {
	e.mu.Lock()
	e.cancel()
	e.mu.Unlock()
	e.group.Wait()
}

// withDefaults fills in the zero fields of config.
func withDefaults(config Config) Config {
	if config.Slots == 0 {
		config.Slots = defaultSlots
	}
	if config.CacheBlocks == 0 {
		config.CacheBlocks = defaultBlocks
	}
	if config.TokenLatency == 0 {
		config.TokenLatency = defaultPace
	}
	if config.PrefillPerBlock == 0 {
		config.PrefillPerBlock = defaultPrefill
	}
	return config
}

// reset forgets everything but the records of what ran. The caller holds mu or
// is the only user.
func (e *Engine) reset() {
	e.ctx, e.cancel = context.WithCancel(context.Background())
	e.epoch++
	e.jobs = make(map[string]*job)
	e.refused = make(map[string]bool)
	e.running = make(map[*job]struct{})
	e.waiting, e.finished, e.samples = nil, nil, nil
	e.cache = newCache(e.config.CacheBlocks)
	e.orders = newOrders(e.config.Models)
	e.sample()
}
