// Package retrybudget limits retries, which send a request to a second backend server.
// Each router limits its retries to a ratio of the requests that it received
// itself, so that all routers together stay within the ratio without coordination.
//
// The bound of all routers may have an extra beyond the ratio. A router uses a part
// of it by the number of routers that it has heard of, which is never more than
// there are but may be less, for two reasons:
//
//   - A router that has started recently has not heard of all. So the part is zero
//     until the number has not grown for a window.
//   - A partition hides routers from those that start while it lasts. So the number
//     is the largest since the start of the process, and the parts add up to half of
//     the extra. Routers that knew all before use half of it at most, and so do all
//     those together that start on one side. On the other side none can serve, as
//     a router needs the table of the plan to start.
//
// The windows of the routers end at different times, each when its own requests are
// many. For requests at random times that raises the sum by about a standard
// deviation of each router's number, which is taken off in turn.
package retrybudget

import (
	"math"
	"sync"
	"time"
)

const (
	// bucketsPerWindow is the number of buckets that a window is divided into.
	bucketsPerWindow = 20

	// bucketCount is the number of buckets that are kept. Retries are counted for
	// longer than a window, since a window may begin in the middle of a bucket.
	bucketCount = bucketsPerWindow + 2

	// SpeculativeFraction is the fraction of the allowed retries of a window that
	// may be speculative.
	SpeculativeFraction = 0.5

	// extraFraction is the fraction of the extra that the parts of all routers add
	// up to if each has heard of all others.
	extraFraction = 0.5
)

// Budget counts requests and retries by service in a sliding window. Its methods
// are safe for concurrent use.
//
// A retry after a failure replaces an attempt that is lost. A speculative retry
// replaces one that may still succeed, so it may use a fraction of the budget only
// and leaves the rest to failures.
type Budget struct {
	windowLength time.Duration

	// start is the time at which bucket 0 begins.
	start time.Time

	// mu guards the fields below.
	mu      sync.Mutex
	ratio   float64
	extra   float64
	routers RouterCount
	windows map[string]*slidingWindow
}

// RouterCount returns the largest number of routers, with this one, that were heard
// at the same time since the process started, and when that number last grew. The
// number is zero if no other router was heard. It must not call the budget.
type RouterCount func() (routers int, grownAt time.Time)

// Usage is what a budget counts of a service in the window that ends now.
type Usage struct {
	Requests int
	Retries  int

	// Part is the router's part of the extra, in retries.
	Part float64
}

// slidingWindow holds the counts of the last buckets. Bucket n is stored at index
// n%bucketCount.
type slidingWindow struct {
	requests [bucketCount]int

	// retries counts all retries, and speculative those of them that are
	// speculative.
	retries     [bucketCount]int
	speculative [bucketCount]int

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

// SetExtra changes the number of retries beyond the ratio that all routers together
// may send in a window. Zero means that no such bound is known; each router then
// stays within the ratio, but may always do one retry in a window.
func (b *Budget) SetExtra(extra float64, routers RouterCount) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.extra, b.routers = extra, routers
}

// RecordRequest counts a caller's request for a service.
func (b *Budget) RecordRequest(now time.Time, service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.windowAt(now, service)
	w.requests[w.current%bucketCount]++
}

// Take consumes one retry after a failure and reports whether one was available.
// Without an extra it always allows one in a window, since a router with few
// requests would otherwise have none.
func (b *Budget) Take(now time.Time, service string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.windowAt(now, service)
	requests, retries, _ := w.totals()
	exempt := b.extra == 0 && retries == 0
	if !exempt && float64(retries+1) > b.allowed(now, requests) {
		return false
	}
	w.retries[w.current%bucketCount]++
	return true
}

// TakeSpeculative consumes one speculative retry and reports whether one was
// available. There is none that is always allowed.
func (b *Budget) TakeSpeculative(now time.Time, service string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.windowAt(now, service)
	requests, retries, speculative := w.totals()
	allowed := b.allowed(now, requests)
	if float64(retries+1) > allowed || float64(speculative+1) > SpeculativeFraction*allowed {
		return false
	}
	w.retries[w.current%bucketCount]++
	w.speculative[w.current%bucketCount]++
	return true
}

// Usage returns what the budget counts of a service.
func (b *Budget) Usage(now time.Time, service string) Usage {
	b.mu.Lock()
	defer b.mu.Unlock()
	requests, retries, _ := b.windowAt(now, service).totals()
	return Usage{Requests: requests, Retries: retries, Part: b.part(now)}
}

// allowed returns the number of retries that this router may send in a window with
// a number of requests. The caller must hold b.mu.
func (b *Budget) allowed(now time.Time, requests int) float64 {
	n := float64(requests)
	if b.extra == 0 {
		return b.ratio * n
	}
	return b.ratio*(n-math.Sqrt(n)) + b.part(now)
}

// part returns this router's part of the extra. The caller must hold b.mu.
func (b *Budget) part(now time.Time) float64 {
	if b.extra == 0 {
		return 0
	}
	routers, grownAt := b.routers()
	if routers == 0 || now.Sub(grownAt) <= b.windowLength {
		return 0
	}
	return extraFraction * b.extra / float64(routers)
}

// Return gives back a retry that Take allowed and that was not sent. takenAt is
// the time that was passed to Take.
func (b *Budget) Return(takenAt time.Time, service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	w, i := b.bucketOf(takenAt, service)
	if w != nil && w.retries[i] > w.speculative[i] {
		w.retries[i]--
	}
}

// ReturnSpeculative gives back a retry that TakeSpeculative allowed and that was
// not sent. takenAt is the time that was passed to TakeSpeculative.
func (b *Budget) ReturnSpeculative(takenAt time.Time, service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	w, i := b.bucketOf(takenAt, service)
	if w != nil && w.speculative[i] > 0 {
		w.retries[i]--
		w.speculative[i]--
	}
}

// totals returns the requests of a window, and all retries and the speculative
// ones that are kept.
func (w *slidingWindow) totals() (requests, retries, speculative int) {
	for age := range int64(bucketCount) {
		i := (w.current - age + bucketCount) % bucketCount
		retries += w.retries[i]
		speculative += w.speculative[i]
		if age < bucketsPerWindow {
			requests += w.requests[i]
		}
	}
	return requests, retries, speculative
}

// bucketOf returns the counts of a service and the index of the bucket of a past
// time, or nil if that bucket is no longer kept. Retries that were counted out of
// order are in a later bucket, never in an earlier one, so that taking one off this
// bucket can't raise the retries of a window. The caller must hold b.mu.
func (b *Budget) bucketOf(at time.Time, service string) (*slidingWindow, int64) {
	w, ok := b.windows[service]
	bucket := b.bucketNumber(at)
	if !ok || bucket < 0 || bucket > w.current || bucket <= w.current-bucketCount {
		return nil, 0
	}
	return w, bucket % bucketCount
}

// bucketNumber returns the number of the bucket that a time is in.
func (b *Budget) bucketNumber(at time.Time) int64 {
	return int64(at.Sub(b.start) / max(b.windowLength/bucketsPerWindow, 1))
}

// windowAt returns the counts of a service, advanced to the bucket of now. The
// caller must hold b.mu.
func (b *Budget) windowAt(now time.Time, service string) *slidingWindow {
	w, ok := b.windows[service]
	if !ok {
		w = &slidingWindow{}
		b.windows[service] = w
	}
	bucket := b.bucketNumber(now)
	if bucket-w.current >= bucketCount {
		*w = slidingWindow{current: bucket}
	}
	for w.current < bucket {
		w.current++
		w.requests[w.current%bucketCount] = 0
		w.retries[w.current%bucketCount] = 0
		w.speculative[w.current%bucketCount] = 0
	}
	return w
}
