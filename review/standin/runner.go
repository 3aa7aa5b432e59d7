package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	// heartbeat is the interval at which runners write their entries, and heartbeatRetry the pause
	// after a write that failed.
	heartbeat      = 1200 * time.Millisecond
	heartbeatRetry = 100 * time.Millisecond
)

// run is a run of a request at a runner.
type run struct {
	attempt string
	runner  string
	tenant  string
	at      time.Time
}

// runner is a stand-in for a plain runner.
type runner struct {
	d       *deployment
	id      string
	service string
	address string
	work    time.Duration
	server  *http.Server

	// mu guards the fields below.
	mu       sync.Mutex
	sequence int
	state    string
	stopped  bool
	runs     []run
}

// startRunner starts a runner that serves and registers itself. phase delays its first heartbeat.
func (d *deployment) startRunner(id, service string, work, phase time.Duration, handler func(r *runner) http.HandlerFunc) (*runner, error) {
	listener, err := net.Listen("tcp4", d.freeAddress(9))
	if err != nil {
		return nil, err
	}
	r := &runner{d: d, id: id, service: service, address: listener.Addr().String(), work: work, state: "ready"}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /health", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("X-Instance-Id", r.id)
		w.WriteHeader(http.StatusOK)
	})
	mux.HandleFunc("/", handler(r))
	r.server = &http.Server{Handler: mux}
	go func() { _ = r.server.Serve(listener) }()
	go r.beat(phase)
	return r, nil
}

// entry returns the entry of the runner.
func (r *runner) entry() map[string]any {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.sequence++
	return map[string]any{
		"service": r.service, "address": r.address, "zone": "z-1", "version": "v1", "slots": 6, "state": r.state,
		"cold-remaining-ms": 0, "sequence": r.sequence, "stage": "colocated",
		"models": []map[string]any{{"name": "m", "version": 1, "adapters": []string{}}},
	}
}

// beat writes the entry at the heartbeat interval, and again soon after a write that failed.
func (r *runner) beat(phase time.Duration) {
	_, _, _ = r.d.store.put("servers", r.id, r.entry())
	time.Sleep(phase)
	for {
		r.mu.Lock()
		stopped := r.stopped
		r.mu.Unlock()
		if stopped {
			return
		}
		if version, _, err := r.d.store.put("servers", r.id, r.entry()); err != nil {
			time.Sleep(heartbeatRetry)
			continue
		} else if r.d.logBeats {
			r.d.logf("store: runner %s writes its entry at version %d", r.id, version)
		}
		time.Sleep(heartbeat)
	}
}

// accept answers requests that do not run, and records those that do.
func (r *runner) accept(w http.ResponseWriter, request *http.Request) bool {
	if request.Header.Get("X-Expect-Instance") != "" && request.Header.Get("X-Expect-Instance") != r.id {
		w.Header().Set("X-Instance-Id", r.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return false
	}
	if request.Header.Get("X-Attempt-Id") == "" {
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusBadRequest)
		return false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.runs = append(r.runs, run{
		attempt: request.Header.Get("X-Attempt-Id"), runner: r.id, tenant: request.Header.Get("X-Tenant"), at: time.Now(),
	})
	return true
}

// allRuns returns the runs at the runner so far.
func (r *runner) allRuns() []run {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]run(nil), r.runs...)
}

// servePlain answers requests after their work.
func servePlain(r *runner) http.HandlerFunc {
	return func(w http.ResponseWriter, request *http.Request) {
		_, _ = io.Copy(io.Discard, request.Body)
		if !r.accept(w, request) {
			return
		}
		time.Sleep(r.work)
		body := fmt.Sprintf("answer of %s to %s", r.id, request.Header.Get("X-Attempt-Id"))
		w.Header().Set("X-Attempt-Id", request.Header.Get("X-Attempt-Id"))
		w.Header().Set("X-Response-Signature", "sig-"+request.Header.Get("X-Attempt-Id"))
		w.Header().Set("Content-Length", fmt.Sprint(len(body)))
		_, _ = io.WriteString(w, body)
	}
}
