package revision

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"time"
)

// state is what decisions on commands are based on. It is owned by one
// goroutine and changed in place, unlike a Snapshot.
type state struct {
	head head

	// records holds the last write of each document by key, with tombstones.
	records map[string]record

	// tokens holds accepted commands by token, as far back as the log is kept.
	tokens map[string]acceptedCommand
}

// acceptedCommand is the revision and time of an accepted command.
type acceptedCommand struct {
	revision uint64
	at       time.Time
}

// newState returns the state for an empty table.
func newState() *state {
	return &state{records: make(map[string]record), tokens: make(map[string]acceptedCommand)}
}

// apply applies the next entry. The error wraps ErrGap if its revision is not
// the one that follows.
func (s *state) apply(entry Entry) error {
	if entry.Revision != s.head.revision+1 {
		return fmt.Errorf("entry %d at %d: %w", entry.Revision, s.head.revision, ErrGap)
	}
	for _, change := range entry.Changes {
		s.records[change.Key] = record{
			Document:  Document{Key: change.Key, Value: change.Value, Revision: entry.Revision},
			author:    entry.Author,
			removed:   change.Remove,
			writtenAt: entry.At,
		}
	}
	s.addToken(entry)
	s.head.revision = entry.Revision
	return nil
}

// addToken records the token of an entry, if it has one.
func (s *state) addToken(entry Entry) {
	if entry.Token != "" {
		s.tokens[entry.Token] = acceptedCommand{revision: entry.Revision, at: entry.At}
	}
}

// expireTokens drops the tokens of entries older than the given time.
func (s *state) expireTokens(before time.Time) {
	maps.DeleteFunc(s.tokens, func(_ string, a acceptedCommand) bool { return a.at.Before(before) })
}

// expiredTombstone reports whether the record is a tombstone older than the
// given time.
func (r record) expiredTombstone(before time.Time) bool {
	return r.removed && r.writtenAt.Before(before)
}

// retainedRecords returns the records sorted by key, without tombstones older
// than the given time, and the floor that covers the omitted tombstones. The
// state is not changed: a floor applies only once it is in the head row, where
// every writer sees it.
func (s *state) retainedRecords(before time.Time) (records []record, floor uint64) {
	floor = s.head.tombstoneFloor
	for _, r := range s.records {
		if r.expiredTombstone(before) {
			floor = max(floor, r.Revision)
			continue
		}
		records = append(records, r)
	}
	slices.SortFunc(records, func(a, b record) int { return cmp.Compare(a.Key, b.Key) })
	return records, floor
}

// dropTombstones drops the tombstones that the floor in the head row covers.
func (s *state) dropTombstones() {
	maps.DeleteFunc(s.records, func(_ string, r record) bool {
		return r.removed && r.Revision <= s.head.tombstoneFloor
	})
}

// snapshot returns a copy of the documents, without tombstones.
func (s *state) snapshot() *Snapshot {
	snapshot := &Snapshot{Revision: s.head.revision, Documents: make(map[string]Document, len(s.records))}
	for key, r := range s.records {
		if !r.removed {
			snapshot.Documents[key] = r.Document
		}
	}
	return snapshot
}

// latestRecord returns the latest of the records that the changes touch. A
// document without a record counts as written at the floor, since it may have
// been removed at any revision up to it.
func (s *state) latestRecord(changes []Change) record {
	var last record
	for _, change := range changes {
		r, ok := s.records[change.Key]
		if !ok {
			r = record{Document: Document{Key: change.Key, Revision: s.head.tombstoneFloor}}
		}
		if r.Revision > last.Revision {
			last = r
		}
	}
	return last
}
