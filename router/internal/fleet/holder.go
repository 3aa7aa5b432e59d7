package fleet

import "sync"

// Store hands out the newest snapshot. Its revision never falls.
type Store struct {
	// mu guards current and changed.
	mu      sync.Mutex
	current *Snapshot
	changed chan struct{}
}

// NewStore returns a holder without a snapshot.
func NewStore() *Store {
	return &Store{changed: make(chan struct{})}
}

// Acquire returns the newest snapshot, or nil if there is none yet. The caller
// must release a snapshot that it got.
func (h *Store) Acquire() *Snapshot {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.current == nil {
		return nil
	}
	h.current.refs.Add(1)
	return h.current
}

// Release gives a snapshot back. The caller must not use it afterwards.
func (s *Snapshot) Release() {
	if s.refs.Add(-1) < 0 {
		panic("fleet: snapshot released more often than acquired")
	}
}

// References returns the number of holders of the snapshot.
func (s *Snapshot) References() int64 {
	return s.refs.Load()
}

// Install makes s the newest snapshot and takes over the caller's reference.
// It reports false, and drops the reference, if s is not newer than the
// current snapshot.
func (h *Store) Install(s *Snapshot) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !s.NewerThan(h.current) {
		s.Release()
		return false
	}
	if h.current != nil {
		h.current.Release()
	}
	h.current = s
	close(h.changed)
	h.changed = make(chan struct{})
	return true
}

// Revision returns the revision of the newest snapshot, or zero.
func (h *Store) Revision() uint64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.current == nil {
		return 0
	}
	return h.current.Revision
}

// Changed returns a channel that is closed when a newer snapshot is installed.
func (h *Store) Changed() <-chan struct{} {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.changed
}
