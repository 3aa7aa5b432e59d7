// Package fault sends traffic to routers that fail, stop and are replaced, and
// holds what callers were told against what backend servers ran. It imports
// package traffic.
package fault

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"slices"
	"sync"
	"time"
)

const (
	// pollPause is the time between two looks at a router's /ready, and
	// pollTimeout the time in which a router must answer.
	pollPause   = 20 * time.Millisecond
	pollTimeout = time.Second
)

// Target is a router as a balancer knows it.
type Target struct {
	// CallerAddress is the address that requests are sent to, Operators the one that
	// answers /ready.
	CallerAddress   string
	OperatorAddress string
}

// Balancer knows which routers are ready, as the platform's balancer does: it
// asks each for /ready again and again.
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
	return &Balancer{client: &http.Client{Timeout: pollTimeout}, ready: make(map[Target]bool)}
}

// Add makes the balancer ask a router.
func (b *Balancer) Add(targets ...Target) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.targets = append(b.targets, targets...)
}

// Run asks the routers until the context ends.
func (b *Balancer) Run(ctx context.Context) {
	var group sync.WaitGroup
	defer group.Wait()
	asked := make(map[Target]bool)
	for {
		b.mu.Lock()
		targets := slices.Clone(b.targets)
		b.mu.Unlock()
		for _, target := range targets {
			if !asked[target] {
				asked[target] = true
				group.Go(func() { b.follow(ctx, target) })
			}
		}
		if pause(ctx, pollPause) != nil {
			return
		}
	}
}

// follow asks one router until the context ends.
func (b *Balancer) follow(ctx context.Context, target Target) {
	for {
		ready := b.ask(ctx, target)
		b.mu.Lock()
		b.ready[target] = ready
		b.mu.Unlock()
		if pause(ctx, pollPause) != nil {
			return
		}
	}
}

func (b *Balancer) ask(ctx context.Context, target Target) bool {
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

// Ready reports whether a router is believed ready.
func (b *Balancer) Ready(target Target) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.ready[target]
}

// Pick returns the address of a ready router, in turn, and waits for one.
func (b *Balancer) Pick(ctx context.Context) (string, error) {
	for {
		if address, ok := b.pick(); ok {
			return address, nil
		}
		if err := pause(ctx, pollPause); err != nil {
			return "", fmt.Errorf("wait for a ready router: %w", err)
		}
	}
}

func (b *Balancer) pick() (string, bool) {
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

// pause waits for d or returns the error of the context.
func pause(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
