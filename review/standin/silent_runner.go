package main

import (
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"time"
)

const (
	// silentEvents is the number of events of a stream in this case, and silentEventPause the time
	// between two.
	silentEvents     = 100
	silentEventPause = 50 * time.Millisecond

	// silentAfter is the time from the last request to the silence, and silence how long the runner
	// stands still.
	silentAfter = 1 * time.Second
	silence     = 1300 * time.Millisecond

	// stillAtWork is the time after which the runner before must not work on a request any more that
	// goes on at another one.
	stillAtWork = 400 * time.Millisecond
)

// keepingEngine is a stand-in for a model runner. Most drop a request when its connection closes; one
// that keeps it works on it to its end.
type keepingEngine struct {
	*runner

	// mu guards the fields below. silentUntil is until when the process stands still.
	mu          sync.Mutex
	keeps       bool
	silentUntil time.Time
	works       map[string]*work
}

// work is what a runner did for a request.
type work struct {
	begun  time.Time
	after  int
	last   time.Time
	events int
}

// resumableConfig returns a config with one route of streams that may be resumed.
func resumableConfig(version int) map[string]any {
	c := engineConfig(version)
	c["routes"] = []map[string]any{{
		"name": "r-0", "host": "ficu95.example", "path-prefix": "/lohu930/", "kind": "streaming", "timeout-ms": 12000,
		"target-latency-ms": 250, "priority": 0, "service": "huvo11a", "max-attempts": 2, "public": false, "sticky": true,
		"resumable": true, "target-gap-ms": 200,
	}}
	return c
}

// startKeepingEngine starts a model runner.
func (d *deployment) startKeepingEngine(id string) (*keepingEngine, error) {
	e := &keepingEngine{works: make(map[string]*work)}
	r, err := d.startRunner(id, "huvo11a", 0, 0, func(r *runner) http.HandlerFunc {
		e.runner = r
		return e.serve
	})
	e.runner = r
	return e, err
}

// stand waits while the process stands still.
func (e *keepingEngine) stand() {
	for {
		e.mu.Lock()
		wait := time.Until(e.silentUntil)
		e.mu.Unlock()
		if wait <= 0 {
			return
		}
		time.Sleep(wait)
	}
}

// serve runs a request, after the last event that its caller has.
func (e *keepingEngine) serve(w http.ResponseWriter, request *http.Request) {
	e.stand()
	if len(request.URL.Path) > 4 && request.URL.Path[:4] == "/v1/" {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	if !e.accept(w, request) {
		return
	}
	attempt := request.Header.Get("X-Attempt-Id")
	after, _ := strconv.Atoi(request.Header.Get("Last-Event-Id"))
	done := &work{begun: time.Now(), after: after}
	e.mu.Lock()
	e.works[attempt] = done
	e.mu.Unlock()
	e.d.logf("%s: run of %s begins after event %d", e.id, attempt, after)
	w.Header().Set("X-Attempt-Id", attempt)
	w.Header().Set("X-Response-Signature", "sig-"+attempt)
	w.Header().Set("Content-Type", "text/event-stream")
	broken := false
	for n := after + 1; n <= silentEvents; n++ {
		time.Sleep(silentEventPause)
		e.stand()
		e.mu.Lock()
		done.last, done.events = time.Now(), done.events+1
		e.mu.Unlock()
		if broken {
			continue // It goes on: it does not drop a request when its connection closes.
		}
		_, err := fmt.Fprintf(w, "id: %d\ndata: %s event %d of %d\n\n", n, attempt, n, silentEvents)
		if flushErr := http.NewResponseController(w).Flush(); err != nil || flushErr != nil {
			e.mu.Lock()
			keeps := e.keeps
			e.mu.Unlock()
			e.d.logf("%s: run of %s: its connection is closed at event %d; the runner works on: %v", e.id, attempt, n, keeps)
			if !keeps {
				return
			}
			broken = true
		}
	}
	e.d.logf("%s: run of %s is done", e.id, attempt)
}

// playSilentRunner has a model runner stand still for a second or so while streams run there. A request
// must not go on at another runner while the runner before still works on it 400 ms later.
func playSilentRunner(d *deployment) (bool, error) {
	operator := &operator{d: d}
	operator.put(resumableConfig(7))
	var engines []*keepingEngine
	for i := range 3 {
		e, err := d.startKeepingEngine(fmt.Sprintf("i-%d", i+1))
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
	time.Sleep(silentAfter)
	silent := mostWork(engines)
	silent.mu.Lock()
	silent.keeps = true
	silent.mu.Unlock()
	if d.trouble {
		silent.mu.Lock()
		silent.silentUntil = time.Now().Add(silence)
		silent.mu.Unlock()
		d.sayf("runner %s stands still for %s", silent.id, silence)
	}
	whole := 0
	for range streams * len(d.routers) {
		r := <-results
		d.sayf("%s: stream %s: %d of %d events, ends as complete: %v, %v", r.router, r.attempt, len(r.events), silentEvents, r.complete, r.err)
		if r.complete && len(r.events) == silentEvents {
			whole++
		}
	}
	time.Sleep(silence + silentEvents*silentEventPause) // The runners end their work.
	twice := 0
	for _, before := range engines {
		for _, after := range engines {
			twice += d.countTwice(before, after)
		}
	}
	d.sayf("streams: %d whole; requests that went on at another runner while the one before worked on them %s later: %d", whole, stillAtWork, twice)
	if whole == 0 {
		return false, errCannotRun{fmt.Errorf("no stream was served")}
	}
	return twice > 0, nil
}

// mostWork returns the engine that has most requests.
func mostWork(engines []*keepingEngine) *keepingEngine {
	most, found := -1, engines[0]
	for _, e := range engines {
		e.mu.Lock()
		n := len(e.works)
		e.mu.Unlock()
		if n > most {
			most, found = n, e
		}
	}
	return found
}

// countTwice returns the number of requests that went on at a runner while the one before still
// worked on them some time later.
func (d *deployment) countTwice(before, after *keepingEngine) int {
	if before == after {
		return 0
	}
	before.mu.Lock()
	defer before.mu.Unlock()
	after.mu.Lock()
	defer after.mu.Unlock()
	twice := 0
	for attempt, second := range after.works {
		first, ok := before.works[attempt]
		if !ok || !first.begun.Before(second.begun) || !first.last.After(second.begun.Add(stillAtWork)) {
			continue
		}
		twice++
		d.sayf("request %s: goes on at %s at %.1f after event %d; %s works on it until %.1f", attempt, after.id, ms(d, second.begun), second.after, before.id, ms(d, first.last))
	}
	return twice
}
