package record_test

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/juju/errors"

	"snipetally.example/coordination/record"
)

// behavior is what the backend server does with an attempt.
type behavior uint8

const (
	answers behavior = iota

	// refuses connections: no byte arrives.
	refuses

	// dies in the middle of the answer, after it ran.
	cutsShort

	// is slower than the caller's deadline.
	slow
	behaviors
)

var (
	errConnect = errors.New("connection refused")
	errCut     = errors.New("connection lost")
)

// server is a model backend server that counts what it runs.
type server struct {
	// mu guards the fields below.
	mu      sync.Mutex
	plan    []behavior
	arrived int
	refused map[string]bool
	running map[string]bool
	done    map[string]*record.Response

	// runs holds the answers of all runs by key, and bodies what they ran.
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

// run runs an attempt for a key, for real. It goes on when the caller leaves.
func (s *server) run(ctx context.Context, attempt, key, body string) (*record.Response, error) {
	s.mu.Lock()
	how := answers
	if s.arrived < len(s.plan) {
		how = s.plan[s.arrived]
	}
	s.arrived++
	if how == refuses || s.refused[attempt] {
		s.mu.Unlock()
		return nil, errConnect
	}
	text := fmt.Sprintf("%s/%s/%d", key, body, len(s.runs[key]))
	s.runs[key] = append(s.runs[key], text)
	if s.bodies[key] == nil {
		s.bodies[key] = make(map[string]bool)
	}
	s.bodies[key][body] = true
	s.running[attempt] = true
	s.mu.Unlock()
	length := serverDelay
	if how == slow {
		length = 2 * callerLimit
	}
	time.AfterFunc(length, func() { s.finish(attempt, text) })
	delay(ctx, length)
	if ctx.Err() != nil || how == cutsShort {
		return nil, errCut
	}
	s.finish(attempt, text)
	return &record.Response{Status: 200, Body: []byte(text)}, nil
}

// calm ends the misbehavior.
func (s *server) calm() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.plan = nil
}

func (s *server) finish(attempt, text string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.running, attempt)
	s.done[attempt] = &record.Response{Status: 200, Body: []byte(text)}
}

// ran reports whether the attempt arrived and was run.
func (s *server) ran(attempt string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.running[attempt] || s.done[attempt] != nil
}

// ranKey returns the answers of the runs of a key, and whether a body ran.
func (s *server) ranKey(key, body string) ([]string, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.runs[key], s.bodies[key][body]
}

// prober asks the server about an attempt.
type prober struct {
	router *router
}

func (p *prober) Probe(ctx context.Context, _, attempt string) (record.Report, error) {
	delay(ctx, peerDelay)
	if !p.router.alive() || ctx.Err() != nil {
		return record.Report{}, errConnect
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
