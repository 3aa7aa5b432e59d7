package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// runner is a sound runner: it runs what is meant for it, echoes the attempt's id and
// signs its answers. Its methods are safe for concurrent use.
type runner struct {
	id      string
	service string
	address string
	world   *world

	// work is how long a plain request takes. events is the number of events of a stream
	// and pause the time before each.
	work   time.Duration
	events int
	pause  time.Duration

	mu       sync.Mutex
	running  int
	sequence int64
	born     int64
}

// slots is the number of requests that a runner works on at once.
const slots = 16

// viaHeader holds the router that a consumer sent a request to.
const viaHeader = "X-Via"

// startRunner starts a runner that listens on a loopback address. It is not registered.
func (w *world) startRunner(id, service string) *runner {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		fail(err)
	}
	r := &runner{
		id: id, service: service, address: listener.Addr().String(), world: w,
		work: 15 * time.Millisecond, events: 60, pause: 60 * time.Millisecond, born: time.Now().UnixMilli(),
	}
	go func() { _ = (&http.Server{Handler: r}).Serve(listener) }()
	return r
}

// entry returns the runner's entry for the store.
func (r *runner) entry(state string) map[string]any {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.sequence++
	return map[string]any{
		"service": r.service, "address": r.address, "zone": "hall-a", "version": "v1", "slots": slots, "state": state,
		"cold-remaining-ms": 0, "sequence": r.sequence, "born": r.born,
	}
}

// beat writes the runner's entry now and at each heartbeat until the end of the case.
func (r *runner) beat() {
	r.world.store.put("servers", r.id, r.entry("ready"))
	go func() {
		for range time.Tick(heartbeat) {
			r.world.store.put("servers", r.id, r.entry("ready"))
		}
	}()
}

// ServeHTTP runs a request.
func (r *runner) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	if q.URL.Path == "/health" {
		w.Header().Set("X-Instance-Id", r.id)
		return
	}
	id := q.Header.Get("X-Attempt-Id")
	w.Header().Set("X-Attempt-Id", id)
	if q.Header.Get("X-Expect-Instance") != r.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if _, err := io.Copy(io.Discard, q.Body); err != nil {
		return
	}
	if !r.take() {
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer r.leave()
	if ms, err := strconv.ParseFloat(q.Header.Get("X-Deadline-Ms"), 64); err == nil { // It stops work then.
		ctx, cancel := context.WithTimeout(q.Context(), time.Duration(ms*float64(time.Millisecond)))
		defer cancel()
		q = q.WithContext(ctx)
	}
	r.world.noteRun(run{id: id, runner: r.id, service: r.service, tenant: q.Header.Get("X-Tenant"), via: q.Header.Get(viaHeader), at: time.Now()})
	if q.Header.Get("X-Model") != "" {
		r.stream(w, q)
		return
	}
	select {
	case <-time.After(r.work):
	case <-q.Context().Done():
		return
	}
	text := "answer of " + r.id + " to " + id
	w.Header().Set("X-Response-Signature", fmt.Sprintf("%s.%d", r.id, len(text)))
	w.Header().Set("Content-Length", strconv.Itoa(len(text)))
	_, _ = io.WriteString(w, text)
}

// take takes a slot, and reports whether one was free. A sound runner would queue a few more requests;
// no case comes near its slots.
func (r *runner) take() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.running >= slots {
		return false
	}
	r.running++
	return true
}

// leave frees a slot.
func (r *runner) leave() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.running--
}

// stream answers with events.
func (r *runner) stream(w http.ResponseWriter, q *http.Request) {
	w.Header().Set("X-Response-Signature", r.id+".stream")
	w.Header().Set("Content-Type", "text/event-stream")
	last, _ := strconv.Atoi(q.Header.Get("Last-Event-Id"))
	for i := last + 1; i <= r.events; i++ {
		select {
		case <-time.After(r.pause):
		case <-q.Context().Done():
			r.world.record("runner %s: run of %s ends after event %d: %v", r.id, q.Header.Get("X-Attempt-Id"), i-1, q.Context().Err())
			return
		}
		_, _ = fmt.Fprintf(w, "id: %d\ndata: token %d\n\n", i, i)
		_ = http.NewResponseController(w).Flush()
	}
}

// link is a proxy on the way from one router to one runner.
type link struct {
	address string
	target  string

	mu    sync.Mutex
	cut   bool
	conns map[net.Conn]struct{}
	ln    net.Listener
}

// newLink starts a link to a runner.
func newLink(target string) *link {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		fail(err)
	}
	l := &link{address: listener.Addr().String(), target: target, conns: make(map[net.Conn]struct{}), ln: listener}
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			go l.pass(c)
		}
	}()
	return l
}

// pass passes on what comes on a connection. While the link is cut, connections are reset.
func (l *link) pass(c net.Conn) {
	_ = c.(*net.TCPConn).SetLinger(0)
	if l.isCut() {
		_ = c.Close()
		return
	}
	to, err := net.Dial("tcp4", l.target)
	if err != nil {
		_ = c.Close()
		return
	}
	l.mu.Lock()
	l.conns[c], l.conns[to] = struct{}{}, struct{}{}
	l.mu.Unlock()
	go func() {
		_, _ = io.Copy(to, c)
		_ = to.Close()
	}()
	if _, err := io.Copy(c, to); err == nil {
		_ = c.(*net.TCPConn).SetLinger(-1)
	}
	_ = c.Close()
	l.mu.Lock()
	delete(l.conns, c)
	delete(l.conns, to)
	l.mu.Unlock()
}

// isCut reports whether the link is cut.
func (l *link) isCut() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.cut
}

// setCut cuts the link and resets its connections, or heals it.
func (l *link) setCut(cut bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.cut = cut
	if cut {
		for c := range l.conns {
			_ = c.Close()
		}
	}
}
