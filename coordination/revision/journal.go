package revision

import (
	"fmt"
	"sync"
)

// Update brings a peer up to date: the entries that it lacks, without gaps, or
// a snapshot if some of them are no longer kept. Both are empty for a peer that
// is up to date. Revision is the revision of the journal.
type Update struct {
	Revision uint64
	Entries  []Entry
	Snapshot *Snapshot
}

// Journal holds the current snapshot and the latest entries, up to a number of
// bytes. Its revision never falls. It is safe for concurrent use; snapshots and
// entries that it returns must not be changed.
type Journal struct {
	// limit bounds the encoded size of entries in bytes.
	limit int

	// mu guards the fields below. The entries end at the revision of the snapshot
	// and have no gaps; bytes is their encoded size. The channel changed is closed
	// and replaced when the snapshot is.
	mu       sync.Mutex
	snapshot *Snapshot
	entries  []Entry
	bytes    int
	changed  chan struct{}
}

// NewJournal returns a journal at revision zero that keeps entries with a total
// encoded size of up to limit bytes.
func NewJournal(limit int) *Journal {
	return &Journal{limit: limit, snapshot: &Snapshot{}, changed: make(chan struct{})}
}

// Current returns the current snapshot.
func (j *Journal) Current() *Snapshot {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.snapshot
}

// Changed returns a channel that is closed on the next change. Callers get the
// channel before they read the journal, so that they miss no change.
func (j *Journal) Changed() <-chan struct{} {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.changed
}

// Apply applies entries to the journal and skips those that it already has. If
// a revision is missing, it changes nothing and returns an error that wraps
// ErrGap.
func (j *Journal) Apply(entries ...Entry) error {
	j.mu.Lock()
	defer j.mu.Unlock()
	for len(entries) > 0 && entries[0].Revision <= j.snapshot.Revision {
		entries = entries[1:]
	}
	if len(entries) == 0 {
		return nil
	}
	next, err := j.snapshot.ApplyAll(entries)
	if err != nil {
		return fmt.Errorf("apply to journal: %w", err)
	}
	for _, entry := range entries {
		j.entries = append(j.entries, entry)
		j.bytes += entrySize(entry)
	}
	j.trim()
	j.set(next)
	return nil
}

// Reset replaces the snapshot and drops all entries if the revision of the new
// snapshot is higher, and reports whether it did.
func (j *Journal) Reset(snapshot *Snapshot) bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	if snapshot.Revision <= j.snapshot.Revision {
		return false
	}
	j.entries, j.bytes = nil, 0
	j.set(snapshot)
	return true
}

// Since returns the update for a peer at the given revision.
func (j *Journal) Since(revision uint64) Update {
	j.mu.Lock()
	defer j.mu.Unlock()
	update := Update{Revision: j.snapshot.Revision}
	if revision >= j.snapshot.Revision {
		return update
	}
	missing := j.snapshot.Revision - revision
	if missing > uint64(len(j.entries)) {
		update.Snapshot = j.snapshot
		return update
	}
	from := len(j.entries) - int(missing)
	update.Entries = append([]Entry(nil), j.entries[from:]...)
	return update
}

// set replaces the snapshot and closes the changed channel. The caller holds
// j.mu.
func (j *Journal) set(snapshot *Snapshot) {
	j.snapshot = snapshot
	close(j.changed)
	j.changed = make(chan struct{})
}

// trim drops the oldest entries until the rest fit in limit. The caller holds
// j.mu.
func (j *Journal) trim() {
	drop := 0
	for j.bytes > j.limit && drop < len(j.entries) {
		j.bytes -= entrySize(j.entries[drop])
		drop++
	}
	if drop > 0 {
		j.entries = append([]Entry(nil), j.entries[drop:]...)
	}
}
