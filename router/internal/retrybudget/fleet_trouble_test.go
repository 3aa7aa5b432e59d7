package retrybudget_test

import (
	"slices"
	"time"
)

// strike begins a trouble. Engines that fail do so for the given time.
func (f *fleet) strike(t trouble, outage time.Duration) {
	busiest := slices.MaxFunc(f.engines, func(a, b *simEngine) int { return len(a.running) - len(b.running) })
	struck := []*simEngine{busiest}
	if t == allPause || t == allFail {
		struck = f.engines
	}
	for _, e := range struck {
		running := slices.Clone(e.running)
		switch t {
		case onePauses, allPause:
			e.pausedUntil = f.now.Add(pauseLength)
			for _, r := range running {
				f.delay(r, pauseLength)
			}
			continue
		case oneDies:
			e.failsUntil = f.now.Add(observed)
			f.schedule(removal, func() { e.removed = true })
		case allFail:
			e.failsUntil = f.now.Add(outage)
		}
		for _, r := range running {
			f.fail(r)
		}
	}
}

// mostBeyondRatio returns the largest number of retries beyond the ratio in any
// window, at the service that has most. The requests are those of the window, the
// one before it or the one half a window before it, whichever has most.
func (f *fleet) mostBeyondRatio() float64 {
	most := 0.0
	for s, sent := range f.sent {
		for _, at := range sent {
			for _, end := range []time.Time{at, at.Add(windowLength)} {
				requests := 0
				for _, earlier := range []time.Duration{0, windowLength / 2, windowLength} {
					requests = max(requests, countBetween(f.requests[s], end.Add(-earlier)))
				}
				most = max(most, float64(countBetween(sent, end))-ratio*float64(requests))
			}
		}
	}
	return most
}

// countBetween returns the number of sorted times in the window that ends at end.
func countBetween(times []time.Time, end time.Time) int {
	first, _ := slices.BinarySearchFunc(times, end.Add(-windowLength), time.Time.Compare)
	last, _ := slices.BinarySearchFunc(times, end.Add(1), time.Time.Compare)
	return last - first
}
