package relay

import (
	"slices"
	"sync"
	"time"
)

const (
	// runTimeWindow is for how long the run times of requests are kept at least, and twice as long
	// at most.
	runTimeWindow = time.Minute

	// minRunTimes is the number of run times of a class below which nothing is expected of the
	// next one.
	minRunTimes = 8

	// runTimeMargin is how many times as long as the longest request of its class a request may
	// take to be expected to end in time.
	runTimeMargin = 2
)

// runTimes knows how long requests took lately from the moment at which they could be sent to
// their ends, by class. Its methods are safe for concurrent use.
type runTimes struct {
	// mu guards classes.
	mu      sync.Mutex
	classes map[string]*classRunTimes
}

// classRunTimes are the run times of a class in the window that began at a time, and in the one
// before it.
type classRunTimes struct {
	since     time.Time
	now, last longestRun
}

// longestRun is the longest of a number of run times.
type longestRun struct {
	count   int
	longest time.Duration
}

// record records that a request of a class took a time and ended now.
func (r *runTimes) record(now time.Time, class string, took time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	c, ok := r.classes[class]
	if !ok {
		c = &classRunTimes{since: now}
		if r.classes == nil {
			r.classes = make(map[string]*classRunTimes)
		}
		r.classes[class] = c
	}
	c.advance(now)
	c.now = longestRun{count: c.now.count + 1, longest: max(c.now.longest, took)}
}

// bound returns how long a request of a class is expected to take at most, and false if too little
// is known.
func (r *runTimes) bound(now time.Time, class string) (time.Duration, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	c, ok := r.classes[class]
	if !ok {
		return 0, false
	}
	c.advance(now)
	return runTimeMargin*max(c.now.longest, c.last.longest) + maxHealthyPause, c.now.count+c.last.count >= minRunTimes
}

// keep forgets all but some classes.
func (r *runTimes) keep(classes []Class) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for name := range r.classes {
		if !slices.ContainsFunc(classes, func(c Class) bool { return c.Name == name }) {
			delete(r.classes, name)
		}
	}
}

// advance begins a new window if the current one is over.
func (c *classRunTimes) advance(now time.Time) {
	switch age := now.Sub(c.since); {
	case age >= 2*runTimeWindow:
		c.since, c.now, c.last = now, longestRun{}, longestRun{}
	case age >= runTimeWindow:
		c.since, c.now, c.last = c.since.Add(runTimeWindow), longestRun{}, c.now
	}
}
