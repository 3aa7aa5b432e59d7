// Package daemon starts a router from its settings. It is the one public
// package of the module, so that other programs can run a router in their own
// process.
package daemon

import (
	"context"
	"fmt"
	"io"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"

	"snipetally.example/coordination/record"
	"snipetally.example/router/internal/attempt"
	"snipetally.example/router/internal/caller"
	"snipetally.example/router/internal/credential"
	"snipetally.example/router/internal/fleet"
	"snipetally.example/router/internal/link"
	"snipetally.example/router/internal/schedule"
	"snipetally.example/router/internal/settings"
)

// Options are what a router is started with.
type Options struct {
	// Settings is the text of the settings file.
	Settings []byte

	// Log receives the log, one JSON object a line.
	Log io.Writer
}

// Router is one router process.
type Router struct {
	settings *settings.Settings
	log      zerolog.Logger
	started  time.Time
	metrics  metrics.Registry

	fleet     *fleet.Store
	installer *installer
	gate      *schedule.Gate
	inflight  *caller.Inflight

	attempts *attempt.Runner
	links    *link.Pool
	book     *record.Recorder

	platform  *platform
	network   *network
	endpoints *endpoints

	// stopping is set when the router was told to stop.
	stopping atomic.Bool

	killing killing
}

// New checks the settings and binds the router's addresses. It sends nothing
// before Run.
func New(ctx context.Context, options Options) (*Router, error) {
	s, err := settings.Parse(options.Settings)
	if err != nil {
		return nil, fmt.Errorf("check settings: %w", err)
	}
	level, err := zerolog.ParseLevel(s.LogLevel)
	if err != nil {
		return nil, fmt.Errorf("parse log level: %w", err)
	}
	r := &Router{
		settings: s,
		log:      zerolog.New(options.Log).Level(level).With().Timestamp().Str("vm", s.VM.Name).Logger(),
		started:  time.Now(),
		metrics:  metrics.NewRegistry(),
		fleet:    fleet.NewStore(),
		gate:     schedule.NewGateWithOptions(schedule.Options{Router: s.VM.Name, Zone: s.VM.Zone, Region: s.VM.Region}),
		inflight: caller.NewInflight(),
		attempts: attempt.NewRunner(attempt.Config{}),
		links:    link.NewPool(),
		killing:  killing{done: make(chan struct{})},
	}
	r.endpoints, err = listen(ctx, s)
	if err != nil {
		return nil, err
	}
	r.installer = &installer{router: r}
	r.platform = newPlatform(s, r.installer)
	peers := credential.NewPeerKeys(s.PeerKeys)
	r.network, err = newNetwork(r, peers)
	if err != nil {
		r.endpoints.close()
		return nil, fmt.Errorf("join routers: %w", err)
	}
	r.book, err = newBook(r)
	if err != nil {
		r.endpoints.close()
		return nil, fmt.Errorf("start records: %w", err)
	}
	r.endpoints.serve(r, peers)
	return r, nil
}

// CallerAddress returns the address that callers connect to.
func (r *Router) CallerAddress() string {
	return r.endpoints.callers.address()
}

// OperatorAddress returns the address that operators connect to.
func (r *Router) OperatorAddress() string {
	return r.endpoints.operators.address()
}

// PeerAddress returns the address that other routers connect to.
func (r *Router) PeerAddress() string {
	return r.endpoints.peers.address()
}

// Name returns the name of the router's VM.
func (r *Router) Name() string {
	return r.settings.VM.Name
}

// Ready reports whether callers may be sent here: the newest settings known of
// are in force and the router was not told to stop.
func (r *Router) Ready() bool {
	return !r.stopping.Load() && r.network.spreader.Ready()
}
