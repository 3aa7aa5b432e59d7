package feed

import (
	"maps"
	"time"
)

// tableCopy is a follower's copy of a table. It belongs to the goroutine that
// runs the follower.
type tableCopy[T any] struct {
	rows map[string]T

	// loaded says that the copy holds all changes up to revision. It is not set
	// before the first read and while the table has to be read again.
	loaded   bool
	revision int64

	// era is the era that rows and revision are of.
	era int64

	// Until graceEnd, disappeared rows are kept; removeAt holds the times at
	// which they are removed. caughtUp says that a response has arrived since
	// the outage.
	graceEnd     time.Duration
	removalGrace time.Duration
	removeAt     map[string]time.Duration
	caughtUp     bool
}

// newTableCopy returns an empty copy.
func newTableCopy[T any](removalGrace time.Duration) tableCopy[T] {
	return tableCopy[T]{
		rows: make(map[string]T), removeAt: make(map[string]time.Duration), removalGrace: removalGrace,
	}
}

// snapshot returns a copy of the rows.
func (c *tableCopy[T]) snapshot() map[string]T { return maps.Clone(c.rows) }

// beginGrace keeps rows that disappear until the grace period ends.
func (c *tableCopy[T]) beginGrace(now, grace time.Duration) {
	c.graceEnd, c.caughtUp = now+grace, false
}

// load replaces the copy by the rows of a read of the whole table and returns the
// newest revision of a row. Rows that are missing there count as removed. The
// revision may be lower than before, if the table's store lost changes.
func (c *tableCopy[T]) load(now time.Duration, read Response[T], onUnusable func(Change[T])) (newest int64) {
	present := make(map[string]struct{}, len(read.Changes))
	for _, row := range read.Changes {
		present[row.Key] = struct{}{}
	}
	for key := range c.rows {
		if _, ok := present[key]; !ok {
			c.applyChange(now, Change[T]{Key: key, Removed: true}, onUnusable)
		}
	}
	for _, row := range read.Changes {
		newest = max(newest, row.Revision)
		c.applyChange(now, row, onUnusable)
	}
	c.loaded, c.caughtUp = true, true
	c.revision = read.Revision
	return newest
}

// update applies the changes of a watch, except for those that the copy has
// already. It returns the newest revision of the others, or zero if there are
// none, and whether the rows changed.
func (c *tableCopy[T]) update(now time.Duration, response Response[T], onUnusable func(Change[T])) (newest int64, changed bool) {
	for _, change := range response.Changes {
		if change.Revision <= c.revision {
			continue
		}
		newest = max(newest, change.Revision)
		changed = c.applyChange(now, change, onUnusable) || changed
	}
	c.caughtUp = true
	c.revision = max(c.revision, response.Revision)
	return newest, changed
}

// applyChange applies one change and reports whether the rows changed.
func (c *tableCopy[T]) applyChange(now time.Duration, change Change[T], onUnusable func(Change[T])) bool {
	if change.Err != nil {
		onUnusable(change)
	}
	if !change.Removed && change.Err == nil {
		c.rows[change.Key] = change.Value
		delete(c.removeAt, change.Key)
		return true
	}
	if _, ok := c.rows[change.Key]; !ok {
		return false
	}
	if change.Removed && now < c.graceEnd {
		if _, ok := c.removeAt[change.Key]; !ok {
			c.removeAt[change.Key] = c.removalTime(now)
		}
		return false
	}
	delete(c.rows, change.Key)
	delete(c.removeAt, change.Key)
	return true
}

// removalTime returns when a row that disappears now, in the grace period, is
// removed.
func (c *tableCopy[T]) removalTime(now time.Duration) time.Duration {
	if !c.caughtUp {
		return c.graceEnd
	}
	return min(c.graceEnd, now+c.removalGrace)
}

// removeExpired removes the disappeared rows that did not come back in time, and
// reports whether there were any.
func (c *tableCopy[T]) removeExpired(now time.Duration) bool {
	removed := false
	for key, due := range c.removeAt {
		if now >= due {
			delete(c.rows, key)
			delete(c.removeAt, key)
			removed = true
		}
	}
	return removed
}

// nextRemoval returns when the next disappeared row is removed, and false if
// there is none.
func (c *tableCopy[T]) nextRemoval() (time.Duration, bool) {
	var next time.Duration
	found := false
	for _, due := range c.removeAt {
		if !found || due < next {
			next, found = due, true
		}
	}
	return next, found
}
