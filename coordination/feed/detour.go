package feed

import (
	"context"
	"time"
)

// detourInterval is the shortest time between two calls through another process.
const detourInterval = 100 * time.Millisecond

// needsDetour reports whether the table can't be reached while there is no copy or
// others know it to be outdated.
func (f *Follower[T]) needsDetour() bool {
	if f.config.Detour == nil || !f.failing || f.detour != nil {
		return false
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	return !f.copy.loaded || f.evidence.missed > 0
}

// detourDue returns when the next call through another process is due, and false if
// none is needed.
func (f *Follower[T]) detourDue() (time.Duration, bool) {
	if !f.needsDetour() {
		return 0, false
	}
	return max(f.nextDetour, f.quietSince(f.config.Clock())), true
}

// startDetour calls the table through another process, if one is known.
func (f *Follower[T]) startDetour(ctx context.Context, now time.Duration) {
	f.nextDetour = now + detourInterval
	source, ok := f.config.Detour()
	if !ok {
		return
	}
	kind, request := f.shortRequest(source)
	f.detour = f.start(ctx, now, kind, callTimeout, request)
}

// dropDetour cancels the call through another process, if there is one.
func (f *Follower[T]) dropDetour() {
	if f.detour != nil {
		f.detour.drop()
		f.detour = nil
	}
}

// detoured applies a response that came through another process. The table itself
// is still out of reach.
func (f *Follower[T]) detoured(r result[T]) {
	now := f.config.Clock()
	f.beginGraceIfLapsed(now)
	f.apply(r, now)
	f.reportResponse(r)
}
