package spread

import (
	"context"
	"fmt"
	"time"

	"snipetally.example/coordination/revision"
)

const (
	keptStamps = 512

	// pullBytes bounds the entries of one answer to a pull. The rest is pulled
	// by the next.
	pullBytes = 256 << 10
)

// Apply puts the newer settings of a delta in force. What is not newer is
// skipped, and entries that do not follow end it with an error that wraps
// revision.ErrGap, after what came before them took effect.
func (s *Replicator) Apply(ctx context.Context, delta Delta) error {
	s.applyMu.Lock()
	defer s.applyMu.Unlock()
	current := s.Snapshot()
	next := current
	if delta.Snapshot != nil && delta.Snapshot.Revision > current.Revision {
		next = delta.Snapshot
	}
	var added []revision.Entry
	var gap error
	for _, entry := range delta.Entries {
		if entry.Revision <= next.Revision {
			continue
		}
		applied, err := next.Apply(entry)
		if err != nil {
			gap = fmt.Errorf("apply delta: %w", err)
			break
		}
		next = applied
		added = append(added, entry)
	}
	if next.Revision == current.Revision {
		return gap
	}
	if err := s.config.Installer.Install(ctx, next); err != nil {
		return fmt.Errorf("install revision %d: %w", next.Revision, err)
	}
	s.installed(next, added)
	return gap
}

// installed records that a snapshot is in force.
func (s *Replicator) installed(next *revision.Snapshot, added []revision.Entry) {
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.snapshot = next
	s.log.add(added)
	s.stats.Installs++
	s.installs = append(s.installs, stamp{revision: next.Revision, at: now})
	if len(s.installs) > keptStamps {
		s.installs = append(s.installs[:0], s.installs[len(s.installs)-keptStamps/2:]...)
	}
	if s.pending.revision != 0 && s.pending.revision <= next.Revision {
		if s.pending.at.After(s.known) {
			s.known = s.pending.at
		}
		s.pending = stamp{}
	}
	signal(s.changed)
}

// HandlePull returns what leads from revision after to the one in force here.
func (s *Replicator) HandlePull(_ context.Context, after uint64) (Delta, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if after >= s.snapshot.Revision {
		return Delta{}, nil
	}
	if after > 0 {
		if entries, ok := s.log.since(after, pullBytes); ok {
			return Delta{Entries: entries}, nil
		}
	}
	return Delta{Snapshot: s.snapshot}, nil
}

// signal wakes the loop that reads c, or leaves it awake.
func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// entryLog keeps the last entries, without gaps, up to a number of bytes.
type entryLog struct {
	entries []revision.Entry
	bytes   int
	limit   int
}

// add appends entries. Those kept before are dropped if the new ones do not
// follow them.
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

// since returns the entries that follow a revision, at least one and at most
// limit bytes of them. It reports false if they are not all kept.
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

// entrySize returns about how many bytes an entry takes.
func entrySize(entry revision.Entry) int {
	const fixed = 64
	size := fixed + len(entry.Author) + len(entry.Token)
	for _, change := range entry.Changes {
		size += fixed + len(change.Key) + len(change.Value)
	}
	return size
}
