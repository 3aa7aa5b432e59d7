// Package service is a small stand-in for a plain service: session grants,
// bookings and plot lookups. It counts what it ran, so that tests can compare
// that with what callers were told. It imports the standard library,
// gorilla/mux and package network.
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

	"snipetally.example/standin/network"
)

const (
	attemptHeader = "Attempt"
	keyHeader     = "Idempotency-Key"
	epochHeader   = "Epoch"
	maxBody       = 1 << 20
)

// FailurePoint is a point in the handling of a call.
type FailurePoint uint8

// The moments at which a call can be made to fail.
const (
	// BeforeRun fails a call that has arrived and not run.
	BeforeRun FailurePoint = iota

	// AfterRun fails a call that has run and not been answered.
	AfterRun

	// DuringResponse fails a call after half of its answer.
	DuringResponse
)

// Config describes a service.
type Config struct {
	// Delay is the time that a call takes.
	Delay time.Duration

	// ReportsStatus makes the service honor attempt ids: it runs an attempt once and
	// answers where an attempt stands.
	ReportsStatus bool
}

// Run is one run of a call.
type Run struct {
	Attempt        string
	IdempotencyKey string
	Method         string
	Path           string
	Body           string

	// Number counts the runs of the service from 1. The answer carries it.
	Number int
}

// fault makes one call fail.
type fault struct {
	moment FailurePoint
	hang   bool
}

// Service is a stand-in for one plain service. It implements http.Handler.
type Service struct {
	config  Config
	handler http.Handler

	// mu guards all fields below.
	mu        sync.Mutex
	listeners []*network.Listener
	runs      []Run
	states    map[string]string
	faults    []fault
	epoch     int
}

// New returns a service that accepts calls at once.
func New(config Config) *Service {
	s := &Service{config: config, states: make(map[string]string), epoch: 1}
	r := mux.NewRouter()
	r.HandleFunc("/attempts/{attempt}", s.status).Methods(http.MethodGet)
	r.HandleFunc("/runs", s.list).Methods(http.MethodGet)
	r.PathPrefix("/").HandlerFunc(s.call)
	s.handler = r
	return s
}

// ServeHTTP implements http.Handler.
func (s *Service) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.handler.ServeHTTP(w, r)
}

// Serve serves on l until the context ends. Silence and Crash act on the
// connections that were accepted here.
func (s *Service) Serve(ctx context.Context, l net.Listener) error {
	tracked := network.Wrap(l)
	s.mu.Lock()
	s.listeners = append(s.listeners, tracked)
	s.mu.Unlock()
	server := &http.Server{Handler: s, ReadHeaderTimeout: time.Minute}
	stop := context.AfterFunc(ctx, func() {
		_ = server.Close()
		tracked.CloseConnections()
	})
	defer stop()
	if err := server.Serve(tracked); err != nil && ctx.Err() == nil {
		return fmt.Errorf("serve plain service: %w", err)
	}
	return nil
}

// BreakNext breaks the connection of the next call at the moment.
func (s *Service) BreakNext(at FailurePoint) { s.inject(fault{moment: at}) }

// HangNext leaves the next call without an answer from the moment on.
func (s *Service) HangNext(at FailurePoint) { s.inject(fault{moment: at, hang: true}) }

// BlackholeConnections makes all open connections silent for good while new ones work.
func (s *Service) BlackholeConnections() { s.each((*network.Listener).Blackhole) }

// Crash cuts all connections and accepts none until Restart. The service keeps
// what it ran, as one with a store of its own does.
func (s *Service) Crash() { s.each((*network.Listener).Disable) }

// Restart makes a crashed service accept connections again.
func (s *Service) Restart() { s.each((*network.Listener).Enable) }

// ForgetAttempts makes the service forget which attempts it ran. Runs still returns
// them.
func (s *Service) ForgetAttempts() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.states = make(map[string]string)
	s.epoch++
}

// Runs returns all runs in their order.
func (s *Service) Runs() []Run {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]Run(nil), s.runs...)
}

// CountRuns returns how often calls with the attempt id and with the idempotency
// key ran.
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

// call runs any call.
func (s *Service) call(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBody))
	if err != nil {
		http.Error(w, "can't read the body", http.StatusBadRequest)
		return
	}
	f := s.next()
	f.strike(r, BeforeRun)
	run, ok := s.run(r, body)
	w.Header().Set(attemptHeader, run.Attempt)
	if !ok {
		s.reply(w, http.StatusConflict, stateAnswer{State: "refused"}, nil, r)
		return
	}
	sleep(r.Context(), s.config.Delay)
	f.strike(r, AfterRun)
	s.reply(w, http.StatusOK, runAnswer(run), f, r)
}

// runAnswer is the answer to a call.
type runAnswer Run

// stateAnswer is the state of an attempt.
type stateAnswer struct {
	State string `json:"state"`
}

// MarshalJSON implements json.Marshaler.
func (a runAnswer) MarshalJSON() ([]byte, error) {
	return json.Marshal(struct {
		Run    int    `json:"run"`
		Method string `json:"method"`
		Path   string `json:"path"`
		Key    string `json:"key"`
		Body   string `json:"body"`
	}{a.Number, a.Method, a.Path, a.IdempotencyKey, a.Body})
}

// run notes a run, or reports false for an attempt that must not run.
func (s *Service) run(r *http.Request, body []byte) (Run, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	run := Run{
		Attempt:        r.Header.Get(attemptHeader),
		IdempotencyKey: r.Header.Get(keyHeader),
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

// status answers where an attempt stands. One that has not arrived is refused
// from then on.
func (s *Service) status(w http.ResponseWriter, r *http.Request) {
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
	s.reply(w, http.StatusOK, stateAnswer{State: state}, nil, r)
}

// listedRun is a run as /runs tells it.
type listedRun struct {
	Run     int    `json:"run"`
	Attempt string `json:"attempt"`
	Key     string `json:"key"`
	Path    string `json:"path"`
}

// list answers what the service ran.
func (s *Service) list(w http.ResponseWriter, r *http.Request) {
	listed := []listedRun{}
	for _, run := range s.Runs() {
		listed = append(listed, listedRun{Run: run.Number, Attempt: run.Attempt, Key: run.IdempotencyKey, Path: run.Path})
	}
	s.reply(w, http.StatusOK, listed, nil, r)
}

// reply writes a JSON answer, half of it where the fault says so.
func (s *Service) reply(w http.ResponseWriter, status int, v any, f *fault, r *http.Request) {
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
	if f != nil && f.moment == DuringResponse {
		_ = http.NewResponseController(w).Flush()
		f.strike(r, DuringResponse)
	}
	_, _ = w.Write(body[len(body)/2:])
}

// strike makes a call fail if the fault is for this moment.
func (f *fault) strike(r *http.Request, at FailurePoint) {
	if f == nil || f.moment != at {
		return
	}
	if f.hang {
		<-r.Context().Done()
	}
	panic(http.ErrAbortHandler)
}

// inject adds a fault.
func (s *Service) inject(f fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = append(s.faults, f)
}

// next takes the fault of the next call.
func (s *Service) next() *fault {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.faults) == 0 {
		return nil
	}
	f := s.faults[0]
	s.faults = s.faults[1:]
	return &f
}

// each applies do to all listeners.
func (s *Service) each(do func(*network.Listener)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, l := range s.listeners {
		do(l)
	}
}

// sleep waits for d or until the context ends.
func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
