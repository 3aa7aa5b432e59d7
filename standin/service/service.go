// Package service implements a fake plain service, that is, one without a model,
// such as session grants, bookings or plot lookups. It records the requests that
// it ran, so that tests can compare them with the responses that callers received.
// It imports the standard library, gorilla/mux and packages network
// and pause.
package service

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/gorilla/mux"

	"snipetally.example/coordination/pause"
	"snipetally.example/standin/network"
)

const (
	attemptHeader        = "Attempt"
	idempotencyKeyHeader = "Idempotency-Key"
	epochHeader          = "Epoch"
	maxBodyBytes         = 1 << 20
)

// Config holds the settings of a service.
type Config struct {
	// Delay is the time that a request takes.
	Delay time.Duration

	// ReportsStatus makes the service honor attempt ids: it runs each attempt
	// at most once and reports the state of attempts.
	ReportsStatus bool
}

// Run is one execution of a request.
type Run struct {
	Attempt        string
	IdempotencyKey string
	Method         string
	Path           string
	Body           string

	// Number is the number of the run, counted from 1. The response contains
	// it.
	Number int
}

// Service is a fake plain service. It implements http.Handler.
type Service struct {
	config  Config
	handler http.Handler
	server  *network.Server

	// mu guards all fields below.
	mu     sync.Mutex
	runs   []Run
	states map[string]string
	faults []fault
	epoch  int
}

// New returns a service that is ready to accept requests.
func New(config Config) *Service {
	s := &Service{config: config, states: make(map[string]string), epoch: 1}
	r := mux.NewRouter()
	r.HandleFunc("/attempts/{attempt}", s.getAttempt).Methods(http.MethodGet)
	r.HandleFunc("/runs", s.listRuns).Methods(http.MethodGet)
	r.PathPrefix("/").HandlerFunc(s.handleCall)
	s.handler = r
	s.server = network.NewServer(s)
	return s
}

// ServeHTTP implements http.Handler.
func (s *Service) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.handler.ServeHTTP(w, r)
}

// Serve serves on l until ctx ends. BlackholeConnections, Crash and Restart affect
// only connections that were accepted by Serve.
func (s *Service) Serve(ctx context.Context, l net.Listener) error {
	if err := s.server.Serve(ctx, l); err != nil {
		return fmt.Errorf("plain service: %w", err)
	}
	return nil
}

// Runs returns all runs in the order in which they started.
func (s *Service) Runs() []Run {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]Run(nil), s.runs...)
}

// CountRuns returns the number of runs with the attempt id and the number of runs
// with the idempotency key.
func (s *Service) CountRuns(attempt, key string) (byAttempt, byKey int) {
	for _, run := range s.Runs() {
		if run.Attempt == attempt {
			byAttempt++
		}
		if run.IdempotencyKey == key {
			byKey++
		}
	}
	return byAttempt, byKey
}

// handleCall runs a request of any method and path.
func (s *Service) handleCall(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		http.Error(w, "can't read the body", http.StatusBadRequest)
		return
	}
	f := s.nextFault()
	f.trigger(r, BeforeRun)
	run, ok := s.recordRun(r, body)
	w.Header().Set(attemptHeader, run.Attempt)
	if !ok {
		s.writeJSON(w, http.StatusConflict, attemptStatus{State: "refused"}, nil, r)
		return
	}
	pause.For(r.Context(), s.config.Delay)
	f.trigger(r, AfterRun)
	s.writeJSON(w, http.StatusOK, runResponse(run), f, r)
}

// runResponse is the body of the response to a request that ran.
type runResponse Run

// attemptStatus is the body of the response to a status query or to an attempt
// that was refused.
type attemptStatus struct {
	State string `json:"state"`
}

// MarshalJSON implements json.Marshaler.
func (a runResponse) MarshalJSON() ([]byte, error) {
	return json.Marshal(struct {
		Run    int    `json:"run"`
		Method string `json:"method"`
		Path   string `json:"path"`
		Key    string `json:"key"`
		Body   string `json:"body"`
	}{a.Number, a.Method, a.Path, a.IdempotencyKey, a.Body})
}

// recordRun records a run. With ReportsStatus, it returns false for an attempt
// that has already run or was reported as absent.
func (s *Service) recordRun(r *http.Request, body []byte) (Run, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	run := Run{
		Attempt:        r.Header.Get(attemptHeader),
		IdempotencyKey: r.Header.Get(idempotencyKeyHeader),
		Method:         r.Method,
		Path:           r.URL.Path,
		Body:           string(body),
		Number:         len(s.runs) + 1,
	}
	if s.config.ReportsStatus && run.Attempt != "" {
		if s.states[run.Attempt] != "" {
			return run, false
		}
		s.states[run.Attempt] = "done"
	}
	s.runs = append(s.runs, run)
	return run, true
}

// getAttempt returns the state of an attempt. An attempt that has not arrived yet
// is reported as absent and refused from then on.
func (s *Service) getAttempt(w http.ResponseWriter, r *http.Request) {
	if !s.config.ReportsStatus {
		http.NotFound(w, r)
		return
	}
	attempt := mux.Vars(r)["attempt"]
	s.mu.Lock()
	if s.states[attempt] == "" {
		s.states[attempt] = "absent"
	}
	state := s.states[attempt]
	s.mu.Unlock()
	w.Header().Set(attemptHeader, attempt)
	s.writeJSON(w, http.StatusOK, attemptStatus{State: state}, nil, r)
}

// runSummary is an entry of the response to GET /runs.
type runSummary struct {
	Run     int    `json:"run"`
	Attempt string `json:"attempt"`
	Key     string `json:"key"`
	Path    string `json:"path"`
}

// listRuns returns all runs.
func (s *Service) listRuns(w http.ResponseWriter, r *http.Request) {
	listed := []runSummary{}
	for _, run := range s.Runs() {
		listed = append(listed, runSummary{Run: run.Number, Attempt: run.Attempt, Key: run.IdempotencyKey, Path: run.Path})
	}
	s.writeJSON(w, http.StatusOK, listed, nil, r)
}

// writeJSON sends a response with v as its JSON body. It stops after half of the
// body if the fault requires it.
func (s *Service) writeJSON(w http.ResponseWriter, status int, v any, f *fault, r *http.Request) {
	body, err := json.Marshal(v)
	if err != nil {
		panic("service: " + err.Error())
	}
	s.mu.Lock()
	w.Header().Set(epochHeader, strconv.Itoa(s.epoch))
	s.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(status)
	_, _ = w.Write(body[:len(body)/2])
	if f != nil && f.point == DuringResponse {
		_ = http.NewResponseController(w).Flush()
		f.trigger(r, DuringResponse)
	}
	_, _ = w.Write(body[len(body)/2:])
}
