// Package fault sends traffic to routers that fail, stop and are replaced, and
// compares the responses that callers received with what backend servers ran. It
// imports packages traffic and pause.
package fault

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"slices"
	"sync"
	"time"

	"snipetally.example/coordination/pause"
)

const (
	// pollInterval is the pause between two readiness probes of a router, and
	// probeTimeout the time within which a router must respond to one.
	pollInterval = 20 * time.Millisecond
	probeTimeout = time.Second
)

// Target holds the addresses of a router that a balancer probes and picks.
type Target struct {
	// CallerAddress is the address that requests are sent to, and OperatorAddress
	// the one that serves /ready.
	CallerAddress   string
	OperatorAddress string
}

// Balancer distributes requests over the ready routers. Like the platform's load
// balancer, it probes /ready of each router periodically.
type Balancer struct {
	client *http.Client

	// mu guards the fields below.
	mu      sync.Mutex
	targets []Target
	ready   map[Target]bool
	next    int
}

// NewBalancer returns a balancer without routers.
func NewBalancer() *Balancer {
	return &Balancer{client: &http.Client{Timeout: probeTimeout}, ready: make(map[Target]bool)}
}

// Add adds routers to probe.
func (b *Balancer) Add(targets ...Target) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.targets = append(b.targets, targets...)
}

// Run probes the routers, also those added later, until the context ends.
func (b *Balancer) Run(ctx context.Context) {
	var group sync.WaitGroup
	defer group.Wait()
	polled := make(map[Target]bool)
	for {
		b.mu.Lock()
		targets := slices.Clone(b.targets)
		b.mu.Unlock()
		for _, target := range targets {
			if !polled[target] {
				polled[target] = true
				group.Go(func() { b.poll(ctx, target) })
			}
		}
		if !pause.For(ctx, pollInterval) {
			return
		}
	}
}

// poll probes one router until the context ends.
func (b *Balancer) poll(ctx context.Context, target Target) {
	for {
		ready := b.probe(ctx, target)
		b.mu.Lock()
		b.ready[target] = ready
		b.mu.Unlock()
		if !pause.For(ctx, pollInterval) {
			return
		}
	}
}

// probe reports whether a router responds to /ready with status 200.
func (b *Balancer) probe(ctx context.Context, target Target) bool {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+target.OperatorAddress+"/ready", http.NoBody)
	if err != nil {
		return false
	}
	response, err := b.client.Do(request)
	if err != nil {
		return false
	}
	defer func() { _ = response.Body.Close() }()
	_, _ = io.Copy(io.Discard, response.Body)
	return response.StatusCode == http.StatusOK
}

// Ready reports whether the last probe of a router found it ready.
func (b *Balancer) Ready(target Target) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.ready[target]
}

// Pick returns the caller addresses of the ready routers in round-robin order. It
// waits until a router is ready or the context ends.
func (b *Balancer) Pick(ctx context.Context) (string, error) {
	for {
		if address, ok := b.pickReady(); ok {
			return address, nil
		}
		if !pause.For(ctx, pollInterval) {
			return "", fmt.Errorf("wait for a ready router: %w", ctx.Err())
		}
	}
}

// pickReady returns the caller address of the next ready router, or false if none
// is ready.
func (b *Balancer) pickReady() (string, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for range b.targets {
		b.next++
		target := b.targets[b.next%len(b.targets)]
		if b.ready[target] {
			return target.CallerAddress, true
		}
	}
	return "", false
}
