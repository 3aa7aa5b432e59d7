// Package repeat bounds how often requests are sent to a second backend
// server. Each router allows a ratio of the requests that it saw itself, so
// that the sum over all routers keeps to the ratio without a call between
// them.
package repeat

import (
	"sync"
	"time"
)

const (
	// parts is the number of parts that a window is cut into.
	parts = 20

	// buckets is the number of parts that are kept. Repeats count for longer
	// than a window, as the first part of it has begun at some time within.
	buckets = parts + 2
)

// Budget counts requests and repeats by service in a sliding window. Its
// methods are safe for concurrent use.
type Budget struct {
	span time.Duration

	// start is the moment that parts of time are counted from.
	start time.Time

	// mu guards the fields below.
	mu       sync.Mutex
	ratio    float64
	services map[string]*window
}

// window counts over the last parts of time.
type window struct {
	requests [buckets]int
	repeats  [buckets]int
	part     int64
}

// NewBudget returns a budget that allows a ratio of repeats in each window.
func NewBudget(ratio float64, span time.Duration) *Budget {
	return &Budget{ratio: ratio, span: span, start: time.Now(), services: make(map[string]*window)}
}

// SetRatio changes the ratio.
func (b *Budget) SetRatio(ratio float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.ratio = ratio
}

// RecordRequest counts a caller's request for a service.
func (b *Budget) RecordRequest(now time.Time, service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.window(now, service)
	w.requests[w.part%buckets]++
}

// Take takes one repeat and reports whether there was one left. One is always
// allowed in a window, as a router with few requests would else have none.
func (b *Budget) Take(now time.Time, service string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.window(now, service)
	requests, repeats := 0, 0
	for age := range int64(buckets) {
		i := (w.part - age + buckets) % buckets
		repeats += w.repeats[i]
		if age < parts {
			requests += w.requests[i]
		}
	}
	if repeats > 0 && float64(repeats+1) > b.ratio*float64(requests) {
		return false
	}
	w.repeats[w.part%buckets]++
	return true
}

// window returns the counts of a service at a time. The caller holds b.mu.
func (b *Budget) window(now time.Time, service string) *window {
	w, ok := b.services[service]
	if !ok {
		w = &window{}
		b.services[service] = w
	}
	part := int64(now.Sub(b.start) / max(b.span/parts, 1))
	if part-w.part >= buckets {
		*w = window{part: part}
	}
	for w.part < part {
		w.part++
		w.requests[w.part%buckets] = 0
		w.repeats[w.part%buckets] = 0
	}
	return w
}
