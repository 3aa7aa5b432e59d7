package relay

import (
	"context"
	"maps"
	"net/http"
	"strconv"
	"sync"
	"time"

	"snipetally.example/router/internal/hop"
	"snipetally.example/router/internal/sharedrate"
)

// maxRest bounds the time for which a server may ask for no requests.
const maxRest = time.Hour

// restTime returns for how long the server of a response wants no requests of this router, or
// zero if it does not say so. Only a response that turns the request away does.
func restTime(response *hop.Response) time.Duration {
	if response.Status != http.StatusServiceUnavailable {
		return 0
	}
	return retryAfterOf(response.Header)
}

// retryAfterOf returns the time that a header names in Retry-After, at most maxRest, or zero if it names none. A
// date tells nothing without a common clock.
func retryAfterOf(header http.Header) time.Duration {
	seconds, err := strconv.ParseFloat(header.Get("Retry-After"), 64)
	if err != nil || !(seconds > 0) {
		return 0
	}
	return time.Duration(min(seconds, maxRest.Seconds()) * float64(time.Second))
}

// restingServers are the lifetimes of servers that want no requests of this router, and until when on the
// clock. They outlive the entries of the servers, which may be gone for a moment. The methods are safe for concurrent use.
type restingServers struct {
	// mu guards the field below. It is a leaf.
	mu    sync.Mutex
	until map[sharedrate.Key]time.Duration
}

// newRestingServers returns an empty set.
func newRestingServers() *restingServers {
	return &restingServers{until: make(map[sharedrate.Key]time.Duration)}
}

// add records that a server wants no requests until a time, and reports whether it wanted some before. What it
// asked for before holds, too.
func (s *restingServers) add(now time.Duration, key sharedrate.Key, until time.Duration) (began bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	maps.DeleteFunc(s.until, func(_ sharedrate.Key, until time.Duration) bool { return now >= until })
	known, resting := s.until[key]
	s.until[key] = max(known, until)
	return !resting
}

// left returns for how much longer a server wants no requests, or zero.
func (s *restingServers) left(now time.Duration, key sharedrate.Key) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return max(s.until[key]-now, 0)
}

// isEmpty reports whether no server asked for that lately.
func (s *restingServers) isEmpty() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.until) == 0
}

// rest keeps requests of this router from a server for a time, as the server asked for that. The
// key wait of the line holds the time in milliseconds. It speaks for this router only; others
// are told by the server.
func (r *relay) rest(target *backendServer, wait time.Duration) {
	now := r.options.clock()
	if r.resting.add(now, target.usage.key, now+wait) {
		r.options.log.StateChange().Str("server", target.ID).Str("service", target.Service).Dur("wait", wait).
			Msg("backend server wants no requests")
	}
	r.balancer.Rest(target.ID, time.Now().Add(r.resting.left(now, target.usage.key)))
}

// recallRests tells the balancer of a new list which of its servers want no requests: those whose entries are back,
// and not the later lifetimes of servers that wanted none.
func (r *relay) recallRests() {
	if r.resting.isEmpty() {
		return
	}
	now := r.options.clock()
	for _, s := range *r.servers.Load() {
		r.balancer.Rest(s.ID, time.Now().Add(r.resting.left(now, s.usage.key)))
	}
}

// rests reports whether the server wants no requests of this router now.
func (r *relay) rests(target *backendServer) bool {
	return r.resting.left(r.options.clock(), target.usage.key) > 0
}

// awaitRest reports whether the server wants requests of this router now. A request whose KV cache was
// copied there waits for that up to retryWait, as its run was stopped.
func (p *proxiedRequest) awaitRest(ctx context.Context, at *place, target *backendServer) bool {
	left := p.relay.resting.left(p.relay.options.clock(), target.usage.key)
	if left > 0 && left <= retryWait && at.kvCopy.Handle != "" {
		sleep(ctx, left)
	}
	return !p.relay.rests(target)
}
