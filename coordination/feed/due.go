package feed

import "time"

// maxAwait bounds the wait for something due, so that a clock that jumps delays
// nothing for long.
const maxAwait = time.Minute

// nextDue returns the time on the clock when the next call or removal is due.
func (f *Follower[T]) nextDue() time.Duration {
	due := min(f.config.Clock()+maxAwait, f.shortDue())
	if f.watch == nil && f.watching() {
		due = min(due, f.nextWatch)
	}
	if removal, ok := f.copy.nextRemoval(); ok {
		due = min(due, removal)
	}
	return due
}

// watching reports whether the table is watched. While it can't be reached or
// has to be read again, it is not.
func (f *Follower[T]) watching() bool { return f.copy.loaded && !f.failing }

// shortDue returns when the next short call is due. In the pause between two
// watches the copy is not checked, as the next watch reports the changes made
// meanwhile.
func (f *Follower[T]) shortDue() time.Duration {
	if f.asking || !f.watching() {
		return f.nextShort
	}
	return max(f.checkDue(), f.nextShort, f.nextWatch+missedDelay)
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
	return due
}
