// Package revision stores versioned documents. Each accepted set of changes is
// a log entry with the next revision number; a snapshot is the result of all
// entries up to a revision. A Store keeps log and snapshot in the platform's
// table service; a Journal holds the current snapshot and the latest entries in
// memory.
//
// The package imports package table, the protobuf runtime and the rate limiter
// of golang.org/x/time.
package revision

import (
	"fmt"
	"maps"
	"time"

	"github.com/juju/errors"
)

// ErrGap means that the revision of an entry is not the one that follows.
const ErrGap = errors.ConstError("entry does not follow the snapshot")

// Change sets the document at Key to Value, or removes it if Remove is set.
type Change struct {
	Key    string
	Value  []byte
	Remove bool
}

// Entry is one accepted set of changes. Entries with consecutive revisions form
// the log. Token is the token of the command that the entry was made from, by
// which a repeated command is recognized.
type Entry struct {
	Revision uint64
	Author   string
	Token    string
	At       time.Time
	Changes  []Change
}

// Document is a document and the revision that last wrote it.
type Document struct {
	Key      string
	Value    []byte
	Revision uint64
}

// Snapshot holds all documents at a revision, by key. It is immutable.
type Snapshot struct {
	Revision  uint64
	Documents map[string]Document
}

// Apply returns the snapshot after entry. The error wraps ErrGap unless the
// revision of the entry follows that of the snapshot.
func (s *Snapshot) Apply(entry Entry) (*Snapshot, error) {
	return s.ApplyAll([]Entry{entry})
}

// ApplyAll returns the snapshot after all entries. It copies the map of
// documents once, so that a batch costs little more than one entry. The error
// wraps ErrGap unless the entries follow the snapshot without gaps.
func (s *Snapshot) ApplyAll(entries []Entry) (*Snapshot, error) {
	for i, entry := range entries {
		if want := s.Revision + uint64(i) + 1; entry.Revision != want {
			return nil, fmt.Errorf("apply entry %d in place of %d: %w", entry.Revision, want, ErrGap)
		}
	}
	if len(entries) == 0 {
		return s, nil
	}
	next := &Snapshot{Revision: entries[len(entries)-1].Revision, Documents: maps.Clone(s.Documents)}
	if next.Documents == nil {
		next.Documents = make(map[string]Document, len(entries))
	}
	for _, entry := range entries {
		next.applyChanges(entry)
	}
	return next, nil
}

// applyChanges applies an entry in place. It must only be called before the
// snapshot is shared.
func (s *Snapshot) applyChanges(entry Entry) {
	for _, change := range entry.Changes {
		if change.Remove {
			delete(s.Documents, change.Key)
			continue
		}
		s.Documents[change.Key] = Document{Key: change.Key, Value: change.Value, Revision: entry.Revision}
	}
}
