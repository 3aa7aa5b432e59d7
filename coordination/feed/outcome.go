package feed

import (
	"fmt"
	"slices"
	"time"

	"github.com/juju/errors"

	"snipetally.example/coordination/progress"
)

// handle processes the end of a call, unless the call was dropped.
func (f *Follower[T]) handle(r result[T]) {
	now := f.config.Clock()
	f.noticeEra(now)
	r.indirect = r.call == f.indirect
	if !f.forget(r.call) {
		r.err = ErrDropped
	}
	if r.err == nil && r.response.Era != f.era {
		r.err = ErrOutdatedEra
	}
	if f.config.OnCall != nil {
		bytes, _, _ := r.call.progress()
		f.config.OnCall(CallReport{
			Call: r.call.kind, Indirect: r.indirect, Err: r.err, Open: now - r.call.sent, Bytes: bytes,
			Changes: len(r.response.Changes), Revision: r.response.Revision, Era: r.response.Era,
		})
	}
	switch {
	case errors.Is(r.err, ErrDropped):
	case errors.Is(r.err, ErrOutdatedEra):
		f.nextWatch = max(f.nextWatch, now+slowRetryInterval)
	case r.indirect && r.err == nil:
		f.applyIndirect(r)
	case r.indirect && !errors.Is(r.err, ErrCompacted):
		f.config.OnEvent(Event{Indirect: true, Err: fmt.Errorf("call table through another process: %w", r.err)})
	case r.err == nil:
		f.succeeded(r)
	case errors.Is(r.err, ErrCompacted):
		f.reread()
	case f.wasSilent(r):
		f.reportSilence(r.call)
	default:
		f.failed(r.call, fmt.Errorf("call table: %w", r.err))
	}
}

// forget removes a call from those in progress and reports whether it was one of
// them.
func (f *Follower[T]) forget(c *call) bool {
	if c == f.watch {
		f.watch = nil
		return true
	}
	if c == f.indirect {
		f.indirect = nil
		return true
	}
	before := len(f.short)
	f.short = slices.DeleteFunc(f.short, func(other *call) bool { return other == c })
	return len(f.short) < before
}

// reread drops all calls and reads the whole table, at once unless it was read
// for the same reason just before.
func (f *Follower[T]) reread() {
	now := f.config.Clock()
	f.dropWatch()
	f.dropShort()
	f.dropIndirect()
	f.nextShort = now
	if f.compacted {
		f.nextShort = now + minShortPause
	}
	f.copy.loaded, f.compacted = false, true
	f.config.OnEvent(Event{Compacted: true, Age: f.age(now)})
}

// failed records a failed call. Until a short call succeeds, the table counts as
// unreachable and is not watched.
func (f *Follower[T]) failed(c *call, err error) {
	now := f.config.Clock()
	if f.failing {
		return
	}
	f.dropWatch()
	f.failing, f.failingSince = true, now
	if !f.asking {
		f.nextShort = now + minShortPause
	}
	f.setOutageStart(now)
	bytes, _, _ := c.progress()
	f.config.OnEvent(Event{Lost: true, Err: err, Open: now - c.sent, Bytes: bytes, Age: f.age(now)})
}

// succeeded applies a response.
func (f *Follower[T]) succeeded(r result[T]) {
	now := f.config.Clock()
	f.dropShort()
	f.dropIndirect()
	f.nextShort = now + minShortPause
	if f.failing {
		f.endOutage(now)
	}
	if f.apply(r, now) {
		f.spreadWatch = true
		f.replaceSilentWatch()
	}
	if r.call.kind != WatchCall {
		f.recordAnswer(r.call, now)
	}
	if r.call.kind != CheckCall {
		f.nextWatch = now + f.config.WatchPause
	}
	if r.call.kind == WatchCall {
		f.compacted = false
	}
	f.reportResponse(r)
}

// reportResponse tells the follower's user what a response proves.
func (f *Follower[T]) reportResponse(r result[T]) {
	if f.config.OnResponse != nil {
		f.config.OnResponse(r.call.kind, r.response.covered(0))
	}
}

// apply applies a response to the copy and records what it proves. It reports
// whether the response had changes that the copy lacked.
func (f *Follower[T]) apply(r result[T], now time.Duration) bool {
	if f.overtaken(r) {
		return false
	}
	f.appliedAt = now
	restored := f.beginEra(now, r.response)
	full := r.call.kind == ReadCall
	var newest int64
	changed := true
	if full {
		newest = f.copy.load(now, r.response, f.reportUnusable)
	} else {
		newest, changed = f.copy.update(now, r.response, f.reportUnusable)
	}
	if restored {
		f.reportEra(now, r.response)
	}
	if changed {
		f.config.Apply(f.copy.snapshot(), f.copy.era)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.evidence.recordResponse(r.call.sent, now, r.response.covered(newest), full)
	if r.call.kind != WatchCall {
		f.evidence.refuteMissed(r.call.sent)
	}
	return full || newest > 0
}

// overtaken reports whether the response to a read is older than the copy, which
// was brought up to date while the read was in progress. A read that was sent later
// may have a lower revision too, if the table's store lost changes.
func (f *Follower[T]) overtaken(r result[T]) bool {
	return r.call.kind == ReadCall && f.copy.loaded && r.call.sent < f.appliedAt &&
		r.response.Revision < f.copy.revision
}

// wasSilent reports whether a watch got no response while the copy was proved by
// other means. The table is not away then, only the watch's connection is silent.
func (f *Follower[T]) wasSilent(r result[T]) bool {
	return r.call.kind == WatchCall && errors.Is(r.err, progress.ErrSilent) &&
		f.age(f.config.Clock()) <= f.config.MaxUnproved
}

// replaceSilentWatch drops a watch that is still in progress after another call
// brought changes that it should have delivered.
func (f *Follower[T]) replaceSilentWatch() {
	if f.watch == nil {
		return
	}
	f.reportSilence(f.watch)
	f.dropWatch()
}

// reportSilence reports a silent watch. The next one is sent after the usual
// pause.
func (f *Follower[T]) reportSilence(watch *call) {
	now := f.config.Clock()
	bytes, _, _ := watch.progress()
	f.config.OnEvent(Event{Silent: true, Open: now - watch.sent, Bytes: bytes, Age: f.age(now)})
	f.nextWatch = now + f.config.WatchPause
}

// endOutage records that the table is reachable again. If the outage was long
// enough for rows to lapse, rows that disappear soon are kept for a while.
func (f *Follower[T]) endOutage(now time.Duration) {
	age := f.age(now)
	f.failing, f.spreadWatch = false, true
	f.setOutageStart(0)
	f.beginGraceIfLapsed(now)
	f.config.OnEvent(Event{Regained: true, Outage: now - f.failingSince, Age: age})
}

// beginGraceIfLapsed keeps rows that disappear soon for a while, if the copy was
// not known to be current for so long that rows can have lapsed.
func (f *Follower[T]) beginGraceIfLapsed(now time.Duration) {
	if f.age(now) >= f.config.LapseTime {
		f.beginGrace(now)
	}
}

// beginGrace keeps rows that disappear soon for a while.
func (f *Follower[T]) beginGrace(now time.Duration) {
	f.copy.beginGrace(now, f.config.LapseGrace)
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.keptAsOf == 0 {
		f.keptAsOf = f.evidence.asOf
	}
}

// endGrace records that no disappeared row is kept any more, once that is so.
func (f *Follower[T]) endGrace(now time.Duration) {
	if now < f.copy.graceEnd || len(f.copy.removeAt) > 0 {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.keptAsOf = 0
}

// reportUnusable reports a row that can't be used.
func (f *Follower[T]) reportUnusable(c Change[T]) {
	f.config.OnEvent(Event{Key: c.Key, Err: c.Err})
}
