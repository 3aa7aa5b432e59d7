package relay

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"snipetally.example/router/internal/hop"
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

// rest keeps requests of this router from a server for a time, as the server asked for that. The
// key wait of the line holds the time in milliseconds. It speaks for this router only; others
// are told by the server.
func (r *relay) rest(target *backendServer, wait time.Duration) {
	now := r.options.clock()
	if last := target.usage.restingUntil.Swap(int64(now + wait)); time.Duration(last) < now {
		r.options.log.StateChange().Str("server", target.ID).Str("service", target.Service).Dur("wait", wait).
			Msg("backend server wants no requests")
	}
	r.balancer.Rest(target.ID, time.Now().Add(wait))
}

// rests reports whether the server wants no requests of this router now.
func (r *relay) rests(target *backendServer) bool {
	return r.options.clock() < time.Duration(target.usage.restingUntil.Load())
}

// awaitRest reports whether the server wants requests of this router now. A request whose KV cache was
// copied there waits for that up to retryWait, as its run was stopped.
func (p *proxiedRequest) awaitRest(ctx context.Context, at *place, target *backendServer) bool {
	left := time.Duration(target.usage.restingUntil.Load()) - p.relay.options.clock()
	if left > 0 && left <= retryWait && at.kvCopy.Handle != "" {
		sleep(ctx, left)
	}
	return !p.relay.rests(target)
}
