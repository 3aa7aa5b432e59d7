package feed

import (
	"context"
	"time"
)

// indirectInterval is the shortest time between two calls through another process.
const indirectInterval = 100 * time.Millisecond

// needsIndirectCall reports whether the table can't be reached while there is no copy or
// others know it to be outdated.
func (f *Follower[T]) needsIndirectCall() bool {
	if f.config.Indirect == nil || !f.failing || f.indirect != nil {
		return false
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	return !f.copy.loaded || f.evidence.missed > 0 || f.evidence.heardEra > 0
}

// indirectDue returns when the next call through another process is due, and false if
// none is needed.
func (f *Follower[T]) indirectDue() (time.Duration, bool) {
	if !f.needsIndirectCall() {
		return 0, false
	}
	return max(f.nextIndirect, f.quietSince(f.config.Clock())), true
}

// startIndirect calls the table through another process, if one is known.
func (f *Follower[T]) startIndirect(ctx context.Context, now time.Duration) {
	f.nextIndirect = now + indirectInterval
	source, ok := f.config.Indirect()
	if !ok {
		return
	}
	kind, request := f.shortRequest(source)
	f.indirect = f.start(ctx, now, kind, callTimeout, request)
}

// dropIndirect cancels the call through another process, if there is one.
func (f *Follower[T]) dropIndirect() {
	if f.indirect != nil {
		f.indirect.drop()
		f.indirect = nil
	}
}

// applyIndirect applies a response that came through another process. The table itself
// is still out of reach.
func (f *Follower[T]) applyIndirect(r result[T]) {
	now := f.config.Clock()
	f.beginGraceIfLapsed(now)
	f.apply(r, now)
	f.reportResponse(r)
}
