package record_test

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/juju/errors"

	"snipetally.example/coordination/record"
)

// behavior is how the backend server treats an attempt.
type behavior uint8

const (
	respond behavior = iota

	// refuseConnection refuses the connection, so that no byte arrives.
	refuseConnection

	// cutResponse runs the attempt and closes the connection in the middle of
	// the response.
	cutResponse

	// respondSlowly responds after the caller's deadline.
	respondSlowly
	behaviorCount
)

var (
	errConnectionRefused = errors.New("connection refused")
	errConnectionLost    = errors.New("connection lost")
)

// server is a fake backend server that counts what it runs.
type server struct {
	// mu guards the fields below.
	mu        sync.Mutex
	behaviors []behavior
	arrived   int
	refused   map[string]bool
	running   map[string]bool
	done      map[string]*record.Response

	// runs holds the response bodies of all runs by key, and bodies the request
	// bodies that ran.
	runs   map[string][]string
	bodies map[string]map[string]bool
}

func newServer() *server {
	return &server{
		refused: make(map[string]bool),
		running: make(map[string]bool),
		done:    make(map[string]*record.Response),
		runs:    make(map[string][]string),
		bodies:  make(map[string]map[string]bool),
	}
}

// run runs an attempt for a key. The run continues if the caller leaves.
func (s *server) run(ctx context.Context, attempt, key, body string) (*record.Response, error) {
	s.mu.Lock()
	current := respond
	if s.arrived < len(s.behaviors) {
		current = s.behaviors[s.arrived]
	}
	s.arrived++
	if current == refuseConnection || s.refused[attempt] {
		s.mu.Unlock()
		return nil, errConnectionRefused
	}
	output := fmt.Sprintf("%s/%s/%d", key, body, len(s.runs[key]))
	s.runs[key] = append(s.runs[key], output)
	if s.bodies[key] == nil {
		s.bodies[key] = make(map[string]bool)
	}
	s.bodies[key][body] = true
	s.running[attempt] = true
	s.mu.Unlock()
	duration := serverDelay
	if current == respondSlowly {
		duration = 2 * callerTimeout
	}
	time.AfterFunc(duration, func() { s.finish(attempt, output) })
	delay(ctx, duration)
	if ctx.Err() != nil || current == cutResponse {
		return nil, errConnectionLost
	}
	s.finish(attempt, output)
	return &record.Response{Status: 200, Body: []byte(output)}, nil
}

// clearBehaviors makes the server respond normally from now on.
func (s *server) clearBehaviors() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.behaviors = nil
}

func (s *server) finish(attempt, output string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.running, attempt)
	s.done[attempt] = &record.Response{Status: 200, Body: []byte(output)}
}

// ran reports whether the attempt arrived and was run.
func (s *server) ran(attempt string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.running[attempt] || s.done[attempt] != nil
}

// runsOf returns the response bodies of the runs of a key, and whether a
// request body ran.
func (s *server) runsOf(key, body string) ([]string, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.runs[key], s.bodies[key][body]
}

// prober asks the server about attempts on behalf of one router.
type prober struct {
	router *router
}

func (p *prober) Probe(ctx context.Context, _, attempt string) (record.Report, error) {
	delay(ctx, peerDelay)
	if !p.router.alive() || ctx.Err() != nil {
		return record.Report{}, errConnectionRefused
	}
	s := p.router.cluster.server
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case s.done[attempt] != nil:
		return record.Report{State: record.ReportDone, Response: s.done[attempt]}, nil
	case s.running[attempt]:
		return record.Report{State: record.ReportRunning}, nil
	}
	s.refused[attempt] = true
	return record.Report{State: record.ReportNotRun}, nil
}
