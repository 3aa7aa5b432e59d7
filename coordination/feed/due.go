package feed

import "time"

// maxAwait bounds the wait for something due, so that a clock that jumps delays
// nothing for long.
const maxAwait = time.Minute

// nextDue returns the time on the clock when the next call or removal is due.
func (f *Follower[T]) nextDue() time.Duration {
	now := f.config.Clock()
	due := min(now+maxAwait, f.shortDue())
	if f.watch == nil && f.watching() && !f.behind() {
		due = min(due, f.nextWatch)
	}
	if f.asking && !f.failing && len(f.short) > 0 {
		due = min(due, f.outageDue(now))
	}
	if indirect, ok := f.indirectDue(); ok {
		due = min(due, indirect)
	}
	if removal, ok := f.copy.nextRemoval(); ok {
		due = min(due, removal)
	}
	return due
}

// watching reports whether the table is watched. While it can't be reached or
// has to be read again, it is not.
func (f *Follower[T]) watching() bool { return f.copy.loaded && !f.failing }

// behind reports whether the copy lacks a change and is brought up to date by a
// read.
func (f *Follower[T]) behind() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.config.ReadMissed && f.evidence.missed > 0
}

// shortDue returns when the next short call is due. While a response is arriving
// there is none, and in the pause between two watches the copy is not checked, as
// the next watch reports the changes made meanwhile.
func (f *Follower[T]) shortDue() time.Duration {
	due := max(f.nextShort, f.quietSince(f.config.Clock()))
	switch {
	case f.asking || !f.watching():
		return due
	case f.watch == nil && f.behind():
		return max(due, f.nextWatch)
	}
	return max(due, f.checkDue(), f.nextWatch+missedDelay)
}

// checkDue returns when the copy has to be checked unless a proof arrives
// before.
func (f *Follower[T]) checkDue() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	due := f.config.Clock() + maxAwait
	if f.config.MaxUnproved > 0 {
		due = f.evidence.asOf + f.unprovedLimit
	}
	if f.evidence.missed > 0 {
		due = min(due, f.evidence.missedAt+missedDelay)
	}
	if f.evidence.heardEra > 0 {
		due = min(due, f.evidence.heardEraAt+missedDelay)
	}
	return due
}
