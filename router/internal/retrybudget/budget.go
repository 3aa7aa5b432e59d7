// Package retrybudget limits retries, which send a request to a second backend server,
// to a ratio of the requests in any window, summed over all routers. Each router decides
// by its own counts, without coordination.
//
// A router that stayed within the ratio of its own window would not be enough: when
// callers move, the routers that they leave retry for the requests that they had, and
// those that they go to for the requests that they get, both in the same window. So each
// router keeps, in every window, to half of the ratio of the requests that it had in that
// window, and half of the ratio of those that it had in the window before. In a sum over
// routers both halves are about the same two windows, whichever router had the requests,
// and half of the requests of each is at most as many as the larger of the two had. That
// holds for callers that move and for loads that change, and beside routers that start
// again, which have less to count. It costs nothing while the traffic is steady, except that
// the second half becomes available over the window, and not at once.
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
// What the parts leave covers what the counts can't: a retry that arrives later than it
// was taken, and a request that a suspended router reads later than it was sent.
package retrybudget

import (
	"sync"
	"time"
)

const (
	// bucketsPerWindow is the number of buckets that a window is divided into.
	bucketsPerWindow = 20

	// bucketCount is the number of buckets that are kept: those of two windows.
	bucketCount = 2 * bucketsPerWindow

	// windowShare is the share of the ratio that the requests of a window earn for
	// retries in the same window, and again for retries in the next one.
	windowShare = 0.5

	// SpeculativeFraction is the fraction of the allowed retries of a window that
	// may be speculative.
	SpeculativeFraction = 0.5

	// RejectedFraction is the fraction of the allowed retries of a window after which
	// there are no more for requests that were rejected.
	RejectedFraction = 0.75

	// extraFraction is the fraction of the extra that the parts of all routers add
	// up to if each has heard of all others.
	extraFraction = 0.5
)

// Budget counts requests and retries by service in a sliding window. Its methods
// are safe for concurrent use.
//
// A retry after a failure replaces an attempt that is lost. A speculative retry
// replaces one that may still succeed, so it may use a fraction of the budget only
// and leaves the rest to failures. A request that was rejected has not run, and its
// caller can be asked to come back; it leaves the last retries to those whose attempt is
// lost, such as streams that broke off.
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

// bucketCounts holds a count for each of the last buckets. Bucket n is stored at index
// n%bucketCount.
type bucketCounts [bucketCount]int

// slidingWindow holds the counts of a service.
type slidingWindow struct {
	requests bucketCounts

	// retries counts all retries, and speculative those that are speculative.
	retries     bucketCounts
	speculative bucketCounts

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
	return b.takeWithin(now, service, 1)
}

// TakeRejected is Take for a request that was rejected and has not run anywhere.
func (b *Budget) TakeRejected(now time.Time, service string) bool {
	return b.takeWithin(now, service, RejectedFraction)
}

// takeWithin consumes one retry if that leaves the retries of each window within a
// fraction of what is allowed.
func (b *Budget) takeWithin(now time.Time, service string, fraction float64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.windowAt(now, service)
	exempt := b.extra == 0 && w.sum(&w.retries, bucketsPerWindow+1) == 0
	if !exempt && !b.available(now, w, func(retries, _ int, allowed float64) bool { return float64(retries) <= fraction*allowed }) {
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
	within := func(retries, speculative int, allowed float64) bool {
		return float64(retries) <= allowed && float64(speculative) <= SpeculativeFraction*allowed
	}
	if !b.available(now, w, within) {
		return false
	}
	w.retries[w.current%bucketCount]++
	w.speculative[w.current%bucketCount]++
	return true
}

// available reports whether this router may send one more retry. It may if the bound
// holds in each window in progress, with the requests so far of that window and of the
// one before it. A window may begin in the middle of a bucket, so that all retries of its
// first bucket count, and no request of the bucket in which the window before it began.
// within reports whether a window's retries, and the speculative ones, with one more of
// each, are within what is allowed. The caller must hold b.mu.
func (b *Budget) available(now time.Time, w *slidingWindow, within func(retries, speculative int, allowed float64) bool) bool {
	part := b.part(now)
	retries, speculative := 1, 1
	requests := w.sum(&w.requests, bucketsPerWindow-1)
	ownLimit := b.ratio * float64(w.sum(&w.requests, bucketsPerWindow))
	for age := range bucketsPerWindow + 1 {
		retries += w.retries[w.index(age)]
		speculative += w.speculative[w.index(age)]
		requests += w.requests[w.index(age+bucketsPerWindow-1)]
		allowed := windowShare * b.ratio * float64(requests)
		if age == bucketsPerWindow {
			allowed = min(allowed, ownLimit) // Also if the requests have become fewer.
		}
		if !within(retries, speculative, allowed+part) {
			return false
		}
	}
	return true
}

// Usage returns what the budget counts of a service.
func (b *Budget) Usage(now time.Time, service string) Usage {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.windowAt(now, service)
	return Usage{
		Requests: w.sum(&w.requests, bucketsPerWindow),
		Retries:  w.sum(&w.retries, bucketsPerWindow),
		Part:     b.part(now),
	}
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

// index returns where the bucket is stored that is a number of buckets before the latest.
func (w *slidingWindow) index(age int) int64 {
	return (w.current - int64(age) + bucketCount) % bucketCount
}

// sum returns the sum of the latest n buckets of one of the counts.
func (w *slidingWindow) sum(counts *bucketCounts, n int) int {
	sum := 0
	for age := range n {
		sum += counts[w.index(age)]
	}
	return sum
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
