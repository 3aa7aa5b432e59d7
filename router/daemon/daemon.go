// Package daemon builds and runs a router from its settings. It lives outside
// internal so that other programs can run a router in their own process.
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

// Options configure a router.
type Options struct {
	// Settings is the text of the settings file.
	Settings []byte

	// Log receives the log as one JSON object per line.
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
	recorder *record.Recorder

	platform  *platformClients
	cluster   *cluster
	endpoints *endpoints

	// stopping is set once the router has been asked to stop.
	stopping atomic.Bool

	killSwitch killSwitch
}

// New checks the settings and binds the router's addresses. No network traffic
// is sent before Run.
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
		settings:   s,
		log:        zerolog.New(options.Log).Level(level).With().Timestamp().Str("vm", s.VM.Name).Logger(),
		started:    time.Now(),
		metrics:    metrics.NewRegistry(),
		fleet:      fleet.NewStore(),
		gate:       schedule.NewGateWithOptions(schedule.Options{Router: s.VM.Name, Zone: s.VM.Zone, Region: s.VM.Region}),
		inflight:   caller.NewInflight(),
		attempts:   attempt.NewRunner(attempt.Config{}),
		links:      link.NewPool(),
		killSwitch: killSwitch{done: make(chan struct{})},
	}
	r.endpoints, err = listen(ctx, s)
	if err != nil {
		return nil, err
	}
	r.installer = &installer{router: r}
	r.platform = newPlatformClients(s, r.installer)
	peers := credential.NewPeerKeys(s.PeerKeys)
	r.cluster, err = newCluster(r, peers)
	if err != nil {
		r.endpoints.close()
		return nil, fmt.Errorf("join cluster: %w", err)
	}
	r.recorder, err = newRecorder(r)
	if err != nil {
		r.endpoints.close()
		return nil, fmt.Errorf("start recorder: %w", err)
	}
	r.endpoints.createServers(r, peers)
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

// Ready reports whether the load balancer may send callers to this router: the
// newest known settings are in force and the router has not been asked to stop.
func (r *Router) Ready() bool {
	return !r.stopping.Load() && r.cluster.replicator.Ready()
}
