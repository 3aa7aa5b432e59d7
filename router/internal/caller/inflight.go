package caller

import (
	"context"
	"maps"
	"sync"
)

// Inflight counts the requests in progress and lets none in after it was closed.
type Inflight struct {
	// mu guards the fields below.
	mu      sync.Mutex
	closed  bool
	inside  int
	classes map[string]int
	empty   chan struct{}
}

// NewInflight returns a count that takes requests.
func NewInflight() *Inflight {
	return &Inflight{classes: make(map[string]int), empty: make(chan struct{})}
}

// Begin lets a request in and reports whether it did.
func (i *Inflight) Begin() bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.closed {
		return false
	}
	i.inside++
	return true
}

// End ends a request that was let in.
func (i *Inflight) End() {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.inside--
	if i.closed && i.inside == 0 {
		close(i.empty)
	}
}

// Close lets no more requests in. Calls after the first have no effect.
func (i *Inflight) Close() {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.closed {
		return
	}
	i.closed = true
	if i.inside == 0 {
		close(i.empty)
	}
}

// classify notes the class of a request that was let in. The function that it
// returns must be called before the request leaves.
func (i *Inflight) classify(class string) func() {
	i.add(class, 1)
	return func() { i.add(class, -1) }
}

func (i *Inflight) add(class string, n int) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.classes[class] += n
	if i.classes[class] == 0 {
		delete(i.classes, class)
	}
}

// CountByClass returns the number of requests in progress by class.
func (i *Inflight) CountByClass() map[string]int {
	i.mu.Lock()
	defer i.mu.Unlock()
	return maps.Clone(i.classes)
}

// Count returns the number of requests in progress.
func (i *Inflight) Count() int {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.inside
}

// Wait returns nil once no more requests are taken and every request has left, or the
// error of ctx.
func (i *Inflight) Wait(ctx context.Context) error {
	select {
	case <-i.empty:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
