package relay

import (
	"sync"
	"time"
)

// streamRegistry tracks which backend server each stream is on, and coordinates
// migrations off draining servers.
type streamRegistry struct {
	// mu guards open.
	mu   sync.Mutex
	open map[*proxiedRequest]*streamState
}

// streamState is the state of a stream's attempt in progress.
type streamState struct {
	server  string
	addedAt time.Time

	// events is the number of flushes to the caller, and firstEventAt the time
	// of the first one.
	events       int
	firstEventAt time.Time

	// migration receives the result of the stream's migration. It is nil if
	// none was started.
	migration chan migrationResult

	// stopOrdered says that the engine was or will be ordered to stop the run. Its stream may
	// then end early.
	stopOrdered bool

	// stays says that the stream's engine failed to migrate it. It is not asked
	// again.
	stays bool
}

// newStreamRegistry returns an empty registry.
func newStreamRegistry() *streamRegistry {
	return &streamRegistry{open: make(map[*proxiedRequest]*streamState)}
}

// add registers an attempt at a server, if the request is a stream.
func (s *streamRegistry) add(p *proxiedRequest, server string) {
	if p.class.Kind != Stream {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.open[p] = &streamState{server: server, addedAt: time.Now()}
}

// remove unregisters an attempt, unless a migration was started. In that case
// takeMigration does so.
func (s *streamRegistry) remove(p *proxiedRequest) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.isMigrating(p) {
		delete(s.open, p)
	}
}

// recordEvent counts a flush of events to the caller.
func (s *streamRegistry) recordEvent(p *proxiedRequest) {
	s.mu.Lock()
	defer s.mu.Unlock()
	state, ok := s.open[p]
	if !ok {
		return
	}
	if state.events == 0 {
		state.firstEventAt = time.Now()
	}
	state.events++
}

// takeMigration unregisters the attempt and returns the channel for the result
// of its migration, or nil if none was started.
func (s *streamRegistry) takeMigration(p *proxiedRequest) chan migrationResult {
	s.mu.Lock()
	defer s.mu.Unlock()
	state, ok := s.open[p]
	if !ok {
		return nil
	}
	delete(s.open, p)
	return state.migration
}

// startedOn returns the streams on a server that have sent events, are not being
// migrated and may be.
func (s *streamRegistry) startedOn(server string) []*proxiedRequest {
	s.mu.Lock()
	defer s.mu.Unlock()
	var found []*proxiedRequest
	for p, state := range s.open {
		if state.mayMigrateFrom(server) {
			found = append(found, p)
		}
	}
	return found
}

// stateOn returns the state of a stream, and false if startedOn does not return it any more.
func (s *streamRegistry) stateOn(p *proxiedRequest, server string) (streamState, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	state, ok := s.open[p]
	if !ok || !state.mayMigrateFrom(server) {
		return streamState{}, false
	}
	return *state, true
}

// mayMigrateFrom reports whether the stream is on a server, has sent events, is not being migrated and
// may be. The caller holds the registry's mutex.
func (s *streamState) mayMigrateFrom(server string) bool {
	return s.server == server && s.events > 0 && s.migration == nil && !s.stays
}

// beginMigration marks a stream on a server as being migrated and returns the
// channel for the result. It returns nil if the stream is no longer there or is
// already being migrated.
func (s *streamRegistry) beginMigration(p *proxiedRequest, server string) chan migrationResult {
	s.mu.Lock()
	defer s.mu.Unlock()
	state, ok := s.open[p]
	if !ok || state.server != server || state.migration != nil {
		return nil
	}
	state.migration = make(chan migrationResult, 1)
	return state.migration
}

// orderStop records that the engine is ordered to stop a run that is being migrated. It
// returns false if the stream has ended, so that there is nothing to stop.
func (s *streamRegistry) orderStop(p *proxiedRequest) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	state, ok := s.open[p]
	if !ok {
		return false
	}
	state.stopOrdered = true
	return true
}

// cancelMigration records that a stream was not migrated and continues where it
// is. If its engine was ordered to stop it, it is not asked again. ended says that the
// engine found no run to stop.
func (s *streamRegistry) cancelMigration(p *proxiedRequest, ended bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if state, ok := s.open[p]; ok {
		state.migration, state.stays = nil, state.stopOrdered
		state.stopOrdered = state.stopOrdered && !ended
	}
}

// endUnlessStopped unregisters a stream that has ended, so that no engine is ordered to stop
// it any more, and returns true. If one was, it returns false and the channel for the result
// of the migration, or nil if that is over.
func (s *streamRegistry) endUnlessStopped(p *proxiedRequest) (ended bool, migration chan migrationResult) {
	s.mu.Lock()
	defer s.mu.Unlock()
	state, ok := s.open[p]
	if ok && state.stopOrdered {
		return false, state.migration
	}
	delete(s.open, p)
	return true, nil
}

// migrating reports whether a migration of the stream was started.
func (s *streamRegistry) migrating(p *proxiedRequest) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.isMigrating(p)
}

// removeUnlessMigrating unregisters an attempt that is given up, so that no
// migration of it can start, and returns true. If one was started, it returns false
// and does nothing.
func (s *streamRegistry) removeUnlessMigrating(p *proxiedRequest) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.isMigrating(p) {
		return false
	}
	delete(s.open, p)
	return true
}

// isMigrating is migrating for callers that hold s.mu.
func (s *streamRegistry) isMigrating(p *proxiedRequest) bool {
	state, ok := s.open[p]
	return ok && state.migration != nil
}
