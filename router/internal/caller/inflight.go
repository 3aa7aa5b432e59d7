package caller

import (
	"context"
	"maps"
	"sync"
)

// Inflight counts the requests in progress and admits none after Close.
type Inflight struct {
	// mu guards the fields below.
	mu      sync.Mutex
	closed  bool
	count   int
	classes map[string]int
	empty   chan struct{}
}

// NewInflight returns an open Inflight without requests.
func NewInflight() *Inflight {
	return &Inflight{classes: make(map[string]int), empty: make(chan struct{})}
}

// Begin counts a new request and reports whether it may proceed. After a Begin
// that returns true, End must be called.
func (i *Inflight) Begin() bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.closed {
		return false
	}
	i.count++
	return true
}

// End removes a request for which Begin returned true.
func (i *Inflight) End() {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.count--
	if i.closed && i.count == 0 {
		close(i.empty)
	}
}

// Close makes Begin refuse all further requests. Calls after the first have no
// effect.
func (i *Inflight) Close() {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.closed {
		return
	}
	i.closed = true
	if i.count == 0 {
		close(i.empty)
	}
}

// trackClass counts a request in progress under its class. The returned
// function undoes that and must be called before End.
func (i *Inflight) trackClass(class string) func() {
	i.add(class, 1)
	return func() { i.add(class, -1) }
}

// add adds n requests of a class, or removes them if n is negative. It drops a
// class without requests.
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
	return i.count
}

// Wait returns nil once Inflight is closed and every request has ended, or the
// error of ctx.
func (i *Inflight) Wait(ctx context.Context) error {
	select {
	case <-i.empty:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
