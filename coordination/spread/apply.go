package spread

import (
	"context"
	"fmt"
	"time"

	"snipetally.example/coordination/revision"
)

const (
	// maxInstallTimes bounds Replicator.installs.
	maxInstallTimes = 512

	// maxPullBytes bounds the entries in one response to a pull. The next pull
	// returns the rest.
	maxPullBytes = 256 << 10
)

// Apply puts the newer settings of a delta in force and skips entries that are
// not newer. An entry that does not follow the previous one ends it with an
// error that wraps revision.ErrGap, after the entries before it have taken
// effect.
func (r *Replicator) Apply(ctx context.Context, delta Delta) error {
	r.installMu.Lock()
	defer r.installMu.Unlock()
	current := r.Snapshot()
	next := current
	if delta.Snapshot != nil && delta.Snapshot.Revision > current.Revision {
		next = delta.Snapshot
	}
	var appliedEntries []revision.Entry
	var gapErr error
	for _, entry := range delta.Entries {
		if entry.Revision <= next.Revision {
			continue
		}
		applied, err := next.Apply(entry)
		if err != nil {
			gapErr = fmt.Errorf("apply delta: %w", err)
			break
		}
		next = applied
		appliedEntries = append(appliedEntries, entry)
	}
	if next.Revision == current.Revision {
		return gapErr
	}
	if err := r.config.Installer.Install(ctx, next); err != nil {
		return fmt.Errorf("install revision %d: %w", next.Revision, err)
	}
	r.recordInstall(next, appliedEntries)
	return gapErr
}

// recordInstall records that a snapshot is in force.
func (r *Replicator) recordInstall(next *revision.Snapshot, entries []revision.Entry) {
	now := time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.snapshot = next
	r.entryLog.add(entries)
	r.stats.Installs++
	r.installs = append(r.installs, timedRevision{revision: next.Revision, at: now})
	if len(r.installs) > maxInstallTimes {
		r.installs = append(r.installs[:0], r.installs[len(r.installs)-maxInstallTimes/2:]...)
	}
	if r.pending.revision != 0 && r.pending.revision <= next.Revision {
		if r.pending.at.After(r.newestKnownAt) {
			r.newestKnownAt = r.pending.at
		}
		r.pending = timedRevision{}
	}
	wake(r.pushNeeded)
}

// HandlePull returns the delta from revision after to the one in force here.
func (r *Replicator) HandlePull(_ context.Context, after uint64) (Delta, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if after >= r.snapshot.Revision {
		return Delta{}, nil
	}
	if after > 0 {
		if entries, ok := r.entryLog.since(after, maxPullBytes); ok {
			return Delta{Entries: entries}, nil
		}
	}
	return Delta{Snapshot: r.snapshot}, nil
}

// wake wakes the loop that receives from c, unless a wakeup is already pending.
func wake(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// entryLog keeps the latest entries, without gaps, up to limit bytes.
type entryLog struct {
	entries []revision.Entry
	bytes   int
	limit   int
}

// add appends entries. If they do not follow the entries in the log, the log is
// cleared first.
func (l *entryLog) add(entries []revision.Entry) {
	for _, entry := range entries {
		if n := len(l.entries); n > 0 && l.entries[n-1].Revision+1 != entry.Revision {
			l.entries, l.bytes = nil, 0
		}
		l.entries = append(l.entries, entry)
		l.bytes += entrySize(entry)
	}
	drop := 0
	for l.bytes > l.limit && drop < len(l.entries) {
		l.bytes -= entrySize(l.entries[drop])
		drop++
	}
	l.entries = append([]revision.Entry(nil), l.entries[drop:]...)
}

// since returns the entries that follow a revision, at least one and then up to
// limit bytes. It reports false if the log does not reach back that far.
func (l *entryLog) since(after uint64, limit int) ([]revision.Entry, bool) {
	if len(l.entries) == 0 || l.entries[0].Revision > after+1 {
		return nil, false
	}
	start := int(after + 1 - l.entries[0].Revision)
	if start >= len(l.entries) {
		return nil, false
	}
	end := start
	for end < len(l.entries) && (end == start || limit > 0) {
		limit -= entrySize(l.entries[end])
		end++
	}
	return append([]revision.Entry(nil), l.entries[start:end]...), true
}

// entrySize returns the approximate size of an entry in bytes.
func entrySize(entry revision.Entry) int {
	const overhead = 64
	size := overhead + len(entry.Author) + len(entry.Token)
	for _, change := range entry.Changes {
		size += overhead + len(change.Key) + len(change.Value)
	}
	return size
}
