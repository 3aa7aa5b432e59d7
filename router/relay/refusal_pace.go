package relay

import (
	"math"
	"sync"
	"time"
)

// maxLimitDelay bounds the time after which a caller is asked to retry that found all
// servers limited.
const maxLimitDelay = 10 * time.Second

// refusalPace spreads the times after which callers are asked to retry that found all
// servers of a service limited, so that they don't all come back at the same moment.
type refusalPace struct {
	// mu guards next, the time at which the next caller of each service may come back.
	mu   sync.Mutex
	next map[string]time.Time
}

// newRefusalPace returns a pace without refusals.
func newRefusalPace() *refusalPace { return &refusalPace{next: make(map[string]time.Time)} }

// take returns when a caller may come back, at the earliest after a wait. Others of the
// service follow each an interval later.
func (r *refusalPace) take(now time.Time, service string, wait, interval time.Duration) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	at := r.next[service]
	if earliest := now.Add(wait); at.Before(earliest) {
		at = earliest
	}
	if latest := now.Add(maxLimitDelay); at.After(latest) {
		at = latest
	}
	r.next[service] = at.Add(interval)
	return at.Sub(now)
}

// paceRefusal returns how much later a caller is asked to retry that found all servers of a
// service limited: when there is room after those that were refused before, if each
// router has an equal part of the limits.
func (r *relay) paceRefusal(service string, wait time.Duration) time.Duration {
	sum := 0.0
	for _, s := range *r.servers.Load() {
		if s.Service != service || s.Draining {
			continue
		}
		if limit, ok := r.limits.Limit(s.usage.key); ok {
			sum += limit.PerSecond
		}
	}
	sum += r.brittleRate(service)
	if sum == 0 { // Servers rest, which says when all of them may come back.
		return min(max(wait, shortRetryDelay), maxLimitDelay)
	}
	interval := maxLimitDelay
	if seconds := float64(r.limits.Routers()) / sum; !math.IsInf(seconds, 0) && seconds < maxLimitDelay.Seconds() {
		interval = time.Duration(seconds * float64(time.Second))
	}
	return r.limitRefusals.take(time.Now(), service, max(wait, shortRetryDelay), interval)
}
