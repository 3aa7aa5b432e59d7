// Package retrybudget limits retries, which send a request to a second backend server.
// Each router limits its retries to a ratio of the requests that it received
// itself, so all routers together stay within the ratio without coordination.
package retrybudget

import (
	"sync"
	"time"
)

const (
	// bucketsPerWindow is the number of buckets that a window is divided into.
	bucketsPerWindow = 20

	// bucketCount is the number of buckets that are kept. Retries are counted for
	// longer than a window, since a window may begin in the middle of a bucket.
	bucketCount = bucketsPerWindow + 2
)

// Budget counts requests and retries by service in a sliding window. Its methods
// are safe for concurrent use.
type Budget struct {
	windowLength time.Duration

	// start is the time at which bucket 0 begins.
	start time.Time

	// mu guards the fields below.
	mu      sync.Mutex
	ratio   float64
	windows map[string]*slidingWindow
}

// slidingWindow holds the counts of the last buckets. Bucket n is stored at index
// n%bucketCount.
type slidingWindow struct {
	requests [bucketCount]int
	retries  [bucketCount]int

	// current is the number of the latest bucket.
	current int64
}

// NewBudget returns a budget that allows the given ratio of retries to requests in
// each window.
func NewBudget(ratio float64, windowLength time.Duration) *Budget {
	return &Budget{ratio: ratio, windowLength: windowLength, start: time.Now(), windows: make(map[string]*slidingWindow)}
}

// SetRatio changes the ratio of retries to requests.
func (b *Budget) SetRatio(ratio float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.ratio = ratio
}

// RecordRequest counts a caller's request for a service.
func (b *Budget) RecordRequest(now time.Time, service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.windowAt(now, service)
	w.requests[w.current%bucketCount]++
}

// Take consumes one retry and reports whether one was available. It always allows
// one in a window, since a router with few requests would otherwise have none.
func (b *Budget) Take(now time.Time, service string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.windowAt(now, service)
	requests, retries := 0, 0
	for age := range int64(bucketCount) {
		i := (w.current - age + bucketCount) % bucketCount
		retries += w.retries[i]
		if age < bucketsPerWindow {
			requests += w.requests[i]
		}
	}
	if retries > 0 && float64(retries+1) > b.ratio*float64(requests) {
		return false
	}
	w.retries[w.current%bucketCount]++
	return true
}

// windowAt returns the counts of a service, advanced to the bucket of now. The
// caller must hold b.mu.
func (b *Budget) windowAt(now time.Time, service string) *slidingWindow {
	w, ok := b.windows[service]
	if !ok {
		w = &slidingWindow{}
		b.windows[service] = w
	}
	bucket := int64(now.Sub(b.start) / max(b.windowLength/bucketsPerWindow, 1))
	if bucket-w.current >= bucketCount {
		*w = slidingWindow{current: bucket}
	}
	for w.current < bucket {
		w.current++
		w.requests[w.current%bucketCount] = 0
		w.retries[w.current%bucketCount] = 0
	}
	return w
}
