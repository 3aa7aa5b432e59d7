package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Each stream has streamEvents events, one each eventPause, so that it lasts longer than
// drain-timeout-ms.
const (
	streamEvents = 80
	eventPause   = 60 * time.Millisecond
	streams      = 4 // at each router
	drainAfter   = 600 * time.Millisecond
	drainTimeout = 2 * time.Second // drain-timeout-ms
	lingerTime   = 1500 * time.Millisecond
	stride       = 6

	// settleTime is longer than retry-window-s: routers that have just started spare the budget, from
	// which a move is taken.
	settleTime = 12 * time.Second
)

// engine is a stand-in for a model runner. Its streams have neither a length nor chunks and end with
// their connection.
type engine struct {
	*runner

	// framed says that the streams come in chunks instead. It shows that moves work then.
	framed bool

	mu      sync.Mutex
	streams map[string]*engineStream
	copies  map[string]int // The events made so far, by handle.
	fleet   func(address string) *engine
}

// engineStream is a run in progress.
type engineStream struct {
	conn net.Conn
	made int

	// stop says that the run is to stop. stopped is closed when its stream is closed.
	stop    bool
	stopped chan struct{}
}

// engineConfig returns a config with one route of streams that may not be resumed.
func engineConfig(version int) map[string]any {
	return map[string]any{
		"version": version,
		"routes": []map[string]any{{
			"name": "r-0", "host": "ficu95.example", "path-prefix": "/lohu930/", "kind": "streaming", "timeout-ms": 12000,
			"target-latency-ms": 1500, "priority": 2, "service": "huvo11a", "max-attempts": 1, "public": false, "sticky": true,
			"resumable": false, "target-gap-ms": 800,
		}},
		"services": []map[string]any{{
			"name": "huvo11a", "health-path": "/health", "max-connections": 370, "protocol": "h1", "tls": false,
			"engine": map[string]any{
				"slots": 64, "kv-capacity": 674009, "kv-token-bytes": 327680, "bandwidth-mbps": 350000.0, "moves": true,
				"backups": true, "stride": stride, "most": 12, "pin-ms": 4000.0, "hold-ms": 2000.0, "handle-s": 5.0,
				"models": []map[string]any{{"name": "m"}},
			},
		}},
		"limits":  map[string]any{"max-header-bytes": 16384, "max-body-bytes": 4194304, "header-timeout-ms": 3000, "idle-timeout-ms": 15000},
		"tenants": []map[string]any{{"name": "hule930", "api-keys": []string{"key-kept"}, "priority": 1}},
	}
}

// startEngine starts a model runner.
func (d *deployment) startEngine(id string, fleet func(address string) *engine) (*engine, error) {
	e := &engine{streams: make(map[string]*engineStream), copies: make(map[string]int), fleet: fleet, framed: os.Getenv("FRAMED") == "1"}
	r, err := d.startRunner(id, "huvo11a", 0, 0, func(r *runner) http.HandlerFunc {
		e.runner = r
		return func(w http.ResponseWriter, request *http.Request) {
			switch {
			case request.URL.Path == "/v1/kv-move":
				e.serveMove(w, request)
			case strings.HasPrefix(request.URL.Path, "/v1/"):
				w.WriteHeader(http.StatusNotFound)
			default:
				e.serveStream(w, request)
			}
		}
	})
	e.runner = r
	return e, err
}

// serveStream runs a request, from its start or from a copy of its memory.
func (e *engine) serveStream(w http.ResponseWriter, request *http.Request) {
	attempt := request.Header.Get("X-Attempt-Id")
	made := 0
	if from := request.Header.Get("Kv-From"); from != "" {
		_, handle, _ := strings.Cut(from, "/")
		e.mu.Lock()
		_, ok := e.copies[handle]
		delete(e.copies, handle)
		e.mu.Unlock()
		last, err := strconv.Atoi(request.Header.Get("Last-Event-Id"))
		if !ok || err != nil {
			w.Header().Set("X-Attempt-Id", attempt)
			w.Header().Set("X-Not-Executed", "1")
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		made = last
	}
	if !e.accept(w, request) {
		return
	}
	e.d.logf("%s: run of %s begins after event %d", e.id, attempt, made)
	conn, _, err := w.(http.Hijacker).Hijack()
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	s := &engineStream{conn: conn, made: made, stopped: make(chan struct{})}
	e.mu.Lock()
	e.streams[attempt] = s
	e.mu.Unlock()
	head := "HTTP/1.1 200 OK\r\nX-Attempt-Id: " + attempt + "\r\nX-Response-Signature: sig-" + attempt + "\r\nContent-Type: text/event-stream\r\n"
	if e.framed {
		head += "Transfer-Encoding: chunked\r\n"
	}
	if _, err := conn.Write([]byte(head + "\r\n")); err != nil {
		return
	}
	for {
		time.Sleep(eventPause)
		e.mu.Lock()
		stop := s.stop
		e.mu.Unlock()
		if stop {
			_ = conn.Close()
			e.d.logf("%s: run of %s stops after event %d, its stream is closed", e.id, attempt, s.made)
			close(s.stopped)
			return
		}
		e.mu.Lock()
		s.made++
		n := s.made
		e.mu.Unlock()
		event := fmt.Sprintf("id: %d\ndata: %s event %d of %d\n\n", n, attempt, n, streamEvents)
		if e.framed {
			event = fmt.Sprintf("%x\r\n%s\r\n", len(event), event)
		}
		if _, err := conn.Write([]byte(event)); err != nil {
			e.d.logf("%s: run of %s: its connection broke at event %d", e.id, attempt, n)
			return
		}
		if n == streamEvents {
			if e.framed {
				_, _ = conn.Write([]byte("0\r\n\r\n"))
			}
			e.d.logf("%s: run of %s is complete", e.id, attempt)
			return
		}
	}
}

// serveMove copies the memory of a run to another runner, and stops the run first if that is the
// last copy.
func (e *engine) serveMove(w http.ResponseWriter, request *http.Request) {
	var body struct {
		ID   string `json:"id"`
		To   string `json:"to"`
		Last bool   `json:"last"`
	}
	if err := json.NewDecoder(request.Body).Decode(&body); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	s, ok := e.streams[body.ID]
	if ok && body.Last {
		s.stop = true
	}
	e.mu.Unlock()
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	if body.Last {
		<-s.stopped
	}
	time.Sleep(20 * time.Millisecond) // The transfer.
	e.mu.Lock()
	made := s.made
	e.mu.Unlock()
	handle := "h-" + body.ID
	to := e.fleet(body.To)
	to.mu.Lock()
	to.copies[handle] = made
	to.mu.Unlock()
	e.d.logf("%s: memory of %s after event %d copied to %s, last %v", e.id, body.ID, made, to.id, body.Last)
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(map[string]any{"handle": handle, "created": made})
}

// received is a stream as its caller got it.
type received struct {
	attempt  string
	router   string
	events   []int
	complete bool
	err      error
}

// playUnframedStream has one of two model runners drain while streams run that end with their
// connections. A stream must not end as complete before its last event.
func playUnframedStream(d *deployment) (bool, error) {
	operator := &operator{d: d}
	operator.put(engineConfig(7))
	var engines []*engine
	fleet := func(address string) *engine {
		for _, e := range engines {
			if e.address == address {
				return e
			}
		}
		return nil
	}
	for i := range 2 {
		e, err := d.startEngine(fmt.Sprintf("i-%d", i+1), fleet)
		if err != nil {
			return false, err
		}
		engines = append(engines, e)
	}
	if err := d.startRouters(2); err != nil {
		return false, err
	}
	time.Sleep(settleTime)
	results := make(chan received)
	for i, r := range d.routers {
		for n := range streams {
			go func() { results <- d.callStream(r, fmt.Sprintf("%d-%d", i, n)) }()
			time.Sleep(50 * time.Millisecond)
		}
	}
	time.Sleep(drainAfter)
	if d.trouble {
		if err := busiest(engines).drain(); err != nil {
			return false, err
		}
	}
	short, whole := 0, 0
	for range streams * len(d.routers) {
		r := <-results
		d.sayf("%s: stream %s: %d of %d events, ends as complete: %v, %v", r.router, r.attempt, len(r.events), streamEvents, r.complete, r.err)
		for i, id := range r.events {
			if id != i+1 {
				d.sayf("%s: stream %s: event %d stands where %d is due", r.router, r.attempt, id, i+1)
				short++
				break
			}
		}
		switch {
		case r.complete && len(r.events) < streamEvents:
			short++
		case r.complete:
			whole++
		}
	}
	d.sayf("streams: %d whole, %d that end as complete before their last event", whole, short)
	if whole+short == 0 {
		return false, errCannotRun{fmt.Errorf("no stream was served")}
	}
	return short > 0, nil
}

// busiest returns the engine with most runs in progress.
func busiest(engines []*engine) *engine {
	most, found := -1, engines[0]
	for _, e := range engines {
		e.mu.Lock()
		n := len(e.streams)
		e.mu.Unlock()
		if n > most {
			most, found = n, e
		}
	}
	return found
}

// drain makes the runner report that it drains. It serves for drain-timeout-ms and a little longer,
// and then exits.
func (e *engine) drain() error {
	e.runner.mu.Lock()
	e.state, e.stopped = "draining", true
	e.runner.mu.Unlock()
	if _, _, err := e.d.store.put("servers", e.id, e.entry()); err != nil {
		return err
	}
	e.d.sayf("store: runner %s reports that it drains", e.id)
	time.AfterFunc(drainTimeout+lingerTime, func() {
		e.d.logf("runner %s leaves", e.id)
		_ = e.d.store.removeRow("servers", e.id)
		_ = e.server.Close()
		e.mu.Lock()
		defer e.mu.Unlock()
		for _, s := range e.streams {
			if tcp, ok := s.conn.(*net.TCPConn); ok {
				_ = tcp.SetLinger(0)
			}
			_ = s.conn.Close()
		}
	})
	return nil
}

// callStream calls for a stream and reads it to its end.
func (d *deployment) callStream(r *router, attempt string) received {
	got := received{attempt: attempt, router: r.name}
	body := strings.Repeat("x", 600)
	request, err := http.NewRequest(http.MethodPost, "http://"+r.frontend()+"/lohu930/2f", strings.NewReader(body))
	if err != nil {
		got.err = err
		return got
	}
	request.Host = "ficu95.example"
	for name, value := range map[string]string{
		"X-Attempt-Id": attempt, "X-Model": "m", "X-Token-Usage": fmt.Sprintf("200,%d", streamEvents*stride),
		"X-Prompt-Prefix": "5c1e07a2:100,e44" + fmt.Sprintf("%x", len(attempt)) + strings.ReplaceAll(attempt, "-", "") + ":100",
		"X-Deadline-Ms":   "12000", "X-Credential": "key-kept",
	} {
		request.Header.Set(name, value)
	}
	d.logf("%s: stream %s sent", r.name, attempt)
	response, err := (&http.Client{Transport: &http.Transport{}, Timeout: 15 * time.Second}).Do(request)
	if err != nil {
		got.err = err
		return got
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		got.err = fmt.Errorf("status %d", response.StatusCode)
		return got
	}
	lines := bufio.NewScanner(response.Body)
	for lines.Scan() {
		if text, ok := strings.CutPrefix(lines.Text(), "id: "); ok {
			id, _ := strconv.Atoi(text)
			got.events = append(got.events, id)
		}
	}
	got.err = lines.Err()
	got.complete = got.err == nil
	d.logf("%s: stream %s ends after %d events: %v", r.name, attempt, len(got.events), got.err)
	return got
}
