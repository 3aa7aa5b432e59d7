package fleet

import "sync"

// Store holds the newest snapshot. Its revision never decreases.
type Store struct {
	// mu guards current and changed.
	mu      sync.Mutex
	current *Snapshot
	changed chan struct{}
}

// NewStore returns a store without a snapshot.
func NewStore() *Store {
	return &Store{changed: make(chan struct{})}
}

// Acquire returns the newest snapshot, or nil if there is none yet. The caller
// must release the returned snapshot.
func (s *Store) Acquire() *Snapshot {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.current == nil {
		return nil
	}
	s.current.refs.Add(1)
	return s.current
}

// Release drops a reference to the snapshot. The caller must not use the snapshot
// afterwards.
func (s *Snapshot) Release() {
	if s.refs.Add(-1) < 0 {
		panic("fleet: snapshot released more often than acquired")
	}
}

// References returns the number of references to the snapshot.
func (s *Snapshot) References() int64 {
	return s.refs.Load()
}

// Install makes next the newest snapshot and takes ownership of the caller's
// reference. If next is not newer than the current snapshot, Install drops the
// reference and returns false.
func (s *Store) Install(next *Snapshot) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !next.NewerThan(s.current) {
		next.Release()
		return false
	}
	if s.current != nil {
		s.current.Release()
	}
	s.current = next
	close(s.changed)
	s.changed = make(chan struct{})
	return true
}

// Revision returns the revision of the newest snapshot, or zero if there is none.
func (s *Store) Revision() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.current == nil {
		return 0
	}
	return s.current.Revision
}

// Changed returns a channel that is closed when a newer snapshot is installed.
func (s *Store) Changed() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.changed
}
