// Package engine implements a fake model engine for tests and trials. It speaks
// the engine protocol of docs/PLATFORM.md, generates a deterministic response for
// each prompt and injects faults on request. Its timing does not model the speed
// of a real engine. It imports the standard library, gorilla/mux, xxhash and
// packages network and pause.
package engine

import (
	"cmp"
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	"snipetally.example/standin/network"
)

const (
	defaultSlots           = 8
	defaultCacheBlocks     = 1024
	defaultTokenLatency    = 5 * time.Millisecond
	defaultPrefillPerBlock = time.Millisecond

	// retainedJobs is the number of finished jobs whose streams can still be
	// resumed.
	retainedJobs = 4096
)

// Config holds the settings of an engine. Slots, TokenLatency, PrefillPerBlock
// and CacheBlocks have defaults that replace zero values.
type Config struct {
	// Models lists the models that are loaded initially. An engine without
	// loaded models serves every model.
	Models []string

	// Slots is the number of requests that run concurrently.
	Slots int

	// TokenLatency is the time to generate one token while a single request
	// runs.
	TokenLatency time.Duration

	// BatchSlowdown is the fraction of TokenLatency that each further running
	// request adds to the time for a token.
	BatchSlowdown float64

	// PrefillPerBlock is the time to process one prompt block that is not in
	// the prefix cache.
	PrefillPerBlock time.Duration

	// CacheBlocks is the capacity of the prefix cache in prompt blocks.
	CacheBlocks int

	// ReportDelay is the age of the load and of the cache events that the
	// engine reports.
	ReportDelay time.Duration

	// EventLossInterval drops each cache event whose sequence number is a
	// multiple of it. Zero drops none.
	EventLossInterval uint64

	// OrphanTimeout is the time after which a request whose response has no
	// reader is canceled. With zero, the request runs to completion.
	OrphanTimeout time.Duration

	// SupportsFencing makes the engine refuse orders with an outdated fencing
	// token.
	SupportsFencing bool
}

// Engine is a fake model engine. It implements http.Handler. Close must be called
// to release its goroutines.
type Engine struct {
	config  Config
	handler http.Handler
	server  *network.Server
	workers sync.WaitGroup

	// mu guards all fields below and the fields of the jobs.
	mu              sync.Mutex
	ctx             context.Context
	cancel          context.CancelFunc
	epoch           uint64
	sequence        uint64
	latencyFactor   float64
	jobs            map[string]*job
	refusedAttempts map[string]bool
	waiting         []*job
	running         map[*job]struct{}
	finished        []*job
	records         map[string]*Record
	faults          []Fault
	cache           *prefixCache
	loadReports     []loadReport
	orderState      orderState
}

// New returns an engine that is ready to accept requests.
func New(config Config) *Engine {
	e := &Engine{config: withDefaults(config), latencyFactor: 1, records: make(map[string]*Record)}
	e.handler = e.routes()
	e.server = network.NewServer(e)
	e.reset()
	return e
}

// ServeHTTP implements http.Handler.
func (e *Engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	e.handler.ServeHTTP(w, r)
}

// Serve serves on l until ctx ends. Crash, Restart and BlackholeConnections affect
// only connections that were accepted by Serve.
func (e *Engine) Serve(ctx context.Context, l net.Listener) error {
	if err := e.server.Serve(ctx, l); err != nil {
		return fmt.Errorf("engine: %w", err)
	}
	return nil
}

// Close cancels all requests and waits until their goroutines have ended.
func (e *Engine) Close() {
	e.mu.Lock()
	e.cancel()
	e.mu.Unlock()
	e.workers.Wait()
}

// withDefaults returns config with defaults in place of zero values.
func withDefaults(config Config) Config {
	config.Slots = cmp.Or(config.Slots, defaultSlots)
	config.CacheBlocks = cmp.Or(config.CacheBlocks, defaultCacheBlocks)
	config.TokenLatency = cmp.Or(config.TokenLatency, defaultTokenLatency)
	config.PrefillPerBlock = cmp.Or(config.PrefillPerBlock, defaultPrefillPerBlock)
	return config
}

// reset discards all state except the records, the queued faults and the latency
// factor, and starts a new epoch. The caller holds e.mu or is the only user.
func (e *Engine) reset() {
	e.ctx, e.cancel = context.WithCancel(context.Background())
	e.epoch++
	e.jobs = make(map[string]*job)
	e.refusedAttempts = make(map[string]bool)
	e.running = make(map[*job]struct{})
	e.waiting, e.finished, e.loadReports = nil, nil, nil
	e.cache = newPrefixCache(e.config.CacheBlocks)
	e.orderState = newOrderState(e.config.Models)
	e.recordLoad()
}
