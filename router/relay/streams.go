package relay

import (
	"sync"
	"time"
)

// streams knows which backend server each stream is at, and moves them off
// servers that leave.
type streams struct {
	// mu guards open.
	mu   sync.Mutex
	open map[*exchange]*stream
}

// stream is an attempt in progress.
type stream struct {
	server string

	// events is the number of flushes to the caller, first the time of the
	// first one.
	events int
	first  time.Time

	// moved receives the outcome of a move that was asked for.
	moved chan moved
}

// newStreams returns a register without streams.
func newStreams() *streams {
	return &streams{open: make(map[*exchange]*stream)}
}

// enter notes an attempt at a server.
func (s *streams) enter(x *exchange, server string) {
	if x.class.Kind != Stream {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.open[x] = &stream{server: server}
}

// leave forgets an attempt. It keeps a move that was asked for, whose outcome
// the exchange takes with take.
func (s *streams) leave(x *exchange) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if at, ok := s.open[x]; ok && at.moved == nil {
		delete(s.open, x)
	}
}

// progress notes an event.
func (s *streams) progress(x *exchange) {
	s.mu.Lock()
	defer s.mu.Unlock()
	at, ok := s.open[x]
	if !ok {
		return
	}
	if at.events == 0 {
		at.first = time.Now()
	}
	at.events++
}

// take forgets the attempt and returns where the outcome of its move comes, or
// nil if none was asked for.
func (s *streams) take(x *exchange) chan moved {
	s.mu.Lock()
	defer s.mu.Unlock()
	at, ok := s.open[x]
	if !ok {
		return nil
	}
	delete(s.open, x)
	return at.moved
}

// at returns the streams at a server that have begun, with their progress.
func (s *streams) at(server string) map[*exchange]stream {
	s.mu.Lock()
	defer s.mu.Unlock()
	found := make(map[*exchange]stream)
	for x, at := range s.open {
		if at.server == server && at.events > 0 && at.moved == nil {
			found[x] = *at
		}
	}
	return found
}

// claim notes that a stream at a server is being moved. It returns nil if the
// stream is no longer there.
func (s *streams) claim(x *exchange, server string) chan moved {
	s.mu.Lock()
	defer s.mu.Unlock()
	at, ok := s.open[x]
	if !ok || at.server != server || at.moved != nil {
		return nil
	}
	at.moved = make(chan moved, 1)
	return at.moved
}

// unclaim notes that a stream was not moved and goes on where it is.
func (s *streams) unclaim(x *exchange) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if at, ok := s.open[x]; ok {
		at.moved = nil
	}
}
