package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// arrival is a request that reached a runner.
type arrival struct {
	at      time.Time
	id      string
	router  string
	born    int64
	outcome string
}

// runner is a stand-in for a runner.
type runner struct {
	fleet   *fleet
	id      string
	service string
	zone    string
	slots   int

	mu       sync.Mutex
	server   *http.Server
	address  string
	born     int64
	crashed  bool
	arrivals []arrival

	// handle answers a request that is for this runner, and returns what it did.
	handle func(r *runner, w http.ResponseWriter, q *http.Request) string
}

// routerHeader is the header in which the stand-in for consumers names the router.
const routerHeader = "X-Sent-To"

func (f *fleet) newRunner(id, service string, handle func(*runner, http.ResponseWriter, *http.Request) string) (*runner, error) {
	r := &runner{fleet: f, id: id, service: service, zone: "z", slots: 64, handle: handle, born: time.Now().UnixMilli()}
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	r.address = l.Addr().String()
	r.serve(l)
	r.register("ready")
	return r, nil
}

// serve begins to answer requests at a listener.
func (r *runner) serve(l net.Listener) {
	server := &http.Server{Handler: r, IdleTimeout: 10 * time.Second}
	r.mu.Lock()
	r.server = server
	r.mu.Unlock()
	go func() { _ = server.Serve(l) }()
}

// crash ends the runner as the end of its process does: its connections break and new ones are refused. After a time it
// is back under its ID and address, in a new lifetime.
func (r *runner) crash(away time.Duration, back func()) {
	r.mu.Lock()
	server, already := r.server, r.crashed
	r.crashed = true
	r.mu.Unlock()
	if already {
		return
	}
	r.fleet.note("runner %s crashes", r.id)
	go func() { _ = server.Close() }()
	time.AfterFunc(away, func() {
		var l net.Listener
		for err := error(net.ErrClosed); err != nil; {
			if l, err = net.Listen("tcp4", r.address); err != nil {
				time.Sleep(10 * time.Millisecond)
			}
		}
		r.mu.Lock()
		r.born, r.crashed = time.Now().UnixMilli(), false
		r.mu.Unlock()
		back()
		r.serve(l)
		r.register("ready")
	})
}

// register writes the entry of the runner.
func (r *runner) register(state string) {
	r.mu.Lock()
	entry := map[string]any{
		"service": r.service, "address": r.address, "zone": r.zone, "version": "v1", "slots": r.slots, "state": state,
		"cold-remaining-ms": 0, "sequence": 1, "born": r.born,
	}
	r.mu.Unlock()
	r.fleet.store.put("servers", r.id, entry)
	r.fleet.note("entry of runner %s: %s", r.id, state)
}

func (r *runner) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	id := q.Header.Get("X-Attempt-Id")
	if q.URL.Path == "/health" {
		w.Header().Set("X-Instance-Id", r.id)
		return
	}
	w.Header().Set("X-Attempt-Id", id)
	if q.Header.Get("X-Expect-Instance") != r.id {
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	a := arrival{at: time.Now(), id: id, router: q.Header.Get(routerHeader)}
	r.mu.Lock()
	a.born = r.born
	r.mu.Unlock()
	a.outcome = r.handle(r, w, q)
	r.mu.Lock()
	r.arrivals = append(r.arrivals, a)
	r.mu.Unlock()
	r.fleet.note("runner %s gets %s from %s: %s", r.id, id, a.router, a.outcome)
}

func serveSound(r *runner, w http.ResponseWriter, q *http.Request) string {
	_, _ = io.Copy(io.Discard, q.Body)
	w.Header().Set("X-Response-Signature", "s."+r.id)
	_, _ = fmt.Fprintf(w, "answer of %s to %s", r.id, q.Header.Get("X-Attempt-Id"))
	return "200"
}
