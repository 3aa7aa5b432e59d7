package service

import "net/http"

// FailurePoint is a point in the handling of a request.
type FailurePoint uint8

// The points at which a request can be made to fail.
const (
	// BeforeRun is after the request has arrived and before it runs.
	BeforeRun FailurePoint = iota

	// AfterRun is after the request has run and before the response.
	AfterRun

	// DuringResponse is after half of the response body.
	DuringResponse
)

// fault makes one request fail at a point, by closing its connection or by never
// responding.
type fault struct {
	point FailurePoint
	hang  bool
}

// BreakNext closes the connection of the next request at the given point.
func (s *Service) BreakNext(at FailurePoint) { s.inject(fault{point: at}) }

// HangNext makes the next request hang from the given point on.
func (s *Service) HangNext(at FailurePoint) { s.inject(fault{point: at, hang: true}) }

// BlackholeConnections permanently stops all traffic on the open connections
// without closing them. New connections work.
func (s *Service) BlackholeConnections() { s.server.Blackhole() }

// Crash closes all connections and accepts none until Restart. The service keeps
// its runs and attempt states, like a service with persistent storage.
func (s *Service) Crash() { s.server.Disable() }

// Restart makes a crashed service accept connections again.
func (s *Service) Restart() { s.server.Enable() }

// ForgetAttempts discards the states of all attempts and starts a new epoch. Runs
// still returns the runs so far.
func (s *Service) ForgetAttempts() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.states = make(map[string]string)
	s.epoch++
}

// trigger makes the request fail if the fault is set for this point.
func (f *fault) trigger(r *http.Request, at FailurePoint) {
	if f == nil || f.point != at {
		return
	}
	if f.hang {
		<-r.Context().Done()
	}
	panic(http.ErrAbortHandler)
}

// inject appends a fault to the queue, from which each of the next requests takes
// one.
func (s *Service) inject(f fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = append(s.faults, f)
}

// nextFault removes and returns the fault for the next request, or nil.
func (s *Service) nextFault() *fault {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.faults) == 0 {
		return nil
	}
	f := s.faults[0]
	s.faults = s.faults[1:]
	return &f
}
