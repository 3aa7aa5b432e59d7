package main

import (
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

func init() { plays["oversize"] = playOversize }

const (
	// brittleRunners is the number of runners of the service, each with brittleSlots slots and memory for
	// runnerTokens tokens. One that turns away more than tolerated requests in a second falls over, and is
	// back after downTime.
	brittleRunners = 6
	brittleSlots   = 16
	runnerTokens   = 674_009
	tolerated      = 2
	downTime       = 4 * time.Second

	// longPrompts is the number of long prompts that a batch job sends together, every longInterval.
	// oversized and fitting are their lengths in tokens.
	longPrompts  = 12
	longInterval = 4 * time.Second
	oversized    = 700_000
	fitting      = 60_000
)

// brittleEngine is a runner that says that it is brittle.
type brittleEngine struct {
	*runner
	address string

	running  int
	tokens   int
	rejected []time.Time
	falls    []time.Time
	open     map[net.Conn]struct{}
}

// tokensOf returns the length of the prompt of a request.
func tokensOf(request *http.Request) int {
	prompt, _, _ := strings.Cut(request.Header.Get("X-Token-Usage"), ",")
	n, _ := strconv.Atoi(prompt)
	return n
}

// admit takes a request in, or turns it away for want of room. It reports whether the runner falls over.
func (e *brittleEngine) admit(c net.Conn, tokens int) (admitted, falls bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.open[c] = struct{}{}
	if e.running < brittleSlots && e.tokens+tokens <= runnerTokens {
		e.running++
		e.tokens += tokens
		return true, false
	}
	now := time.Now()
	e.rejected = append(e.rejected, now)
	for now.Sub(e.rejected[0]) > time.Second {
		e.rejected = e.rejected[1:]
	}
	if len(e.rejected) <= tolerated {
		return false, false
	}
	e.rejected = nil
	e.falls = append(e.falls, now)
	return false, true
}

// fall ends the lifetime of the runner: all connections are reset, and new ones refused for a while.
func (e *brittleEngine) fall(w *world) {
	e.mu.Lock()
	lost := e.running
	open := e.open
	e.open = map[net.Conn]struct{}{}
	e.mu.Unlock()
	w.note("runner %s falls over with %d requests in progress", e.id, lost)
	_ = e.listener.Close()
	for c := range open {
		_ = c.(*net.TCPConn).SetLinger(0)
		_ = c.Close()
	}
	time.AfterFunc(downTime, func() {
		listener, err := net.Listen("tcp4", e.address)
		if err != nil {
			w.note("runner %s is not back: %v", e.id, err)
			return
		}
		e.mu.Lock()
		e.listener, e.born, e.sequence = listener, time.Now().UnixMilli(), 0
		e.mu.Unlock()
		e.register()
		go e.serve()
	})
}

// playOversize has a batch job send prompts that no runner has the memory for, while the runners are brittle.
func playOversize(w *world) string {
	w.putConfig(1, []map[string]any{route("chat", "streaming", "llm", 1, map[string]any{"target-gap-ms": 800, "target-latency-ms": 1500, "sticky": true})},
		[]map[string]any{engineService("llm", brittleSlots)}, "key-1")
	var lost atomic.Int64
	var engines []*brittleEngine
	for i := range brittleRunners {
		address := freeAddress(w.ip(100 + i))
		e := &brittleEngine{address: address, open: map[net.Conn]struct{}{}}
		e.runner = startRunner(w.store, fmt.Sprintf("llm-%d", i), "llm", address, brittleSlots,
			func(r *runner, c net.Conn, request *http.Request, _ []byte) bool {
				said := fmt.Sprintf("Content-Type: text/event-stream\r\nServer-Brittle: %d\r\n", tolerated)
				tokens := tokensOf(request)
				admitted, falls := e.admit(c, tokens)
				r.record(c, request, admitted)
				if falls {
					e.fall(w)
					return false
				}
				if !admitted {
					respond(c, request, http.StatusServiceUnavailable, "X-Not-Executed: 1\r\n"+said, "")
					return true
				}
				time.Sleep(200 * time.Millisecond)
				e.mu.Lock()
				e.running--
				e.tokens -= tokens
				e.mu.Unlock()
				respond(c, request, http.StatusOK, said, "id: 1\ndata: all\n\n")
				return true
			})
		engines = append(engines, e)
	}
	routers := w.startRouters(3)
	end := time.Now().Add(40 * time.Second)
	var wait sync.WaitGroup
	var statuses [600]atomic.Int64
	for worker := range 24 {
		wait.Go(func() {
			for ; time.Now().Before(end); time.Sleep(300 * time.Millisecond) {
				id := nextID()
				got := ask(routers[worker%3].front(), http.MethodPost, "/chat/x", id, "{}", 5*time.Second,
					"X-Model: m", "X-Token-Usage: 600,40", fmt.Sprintf("X-Prompt-Prefix: 1:100,%s:500", id[1:]))
				statuses[got.status].Add(1)
				if got.status == http.StatusBadGateway || got.status == 0 {
					lost.Add(1)
				}
			}
		})
	}
	time.Sleep(8 * time.Second)
	length := fitting
	if w.trouble {
		length = oversized
	}
	for time.Now().Before(end) {
		for i := range longPrompts {
			wait.Go(func() {
				id := nextID()
				got := ask(routers[i%3].front(), http.MethodPost, "/chat/x", id, "{}", 12*time.Second,
					"X-Model: m", fmt.Sprintf("X-Token-Usage: %d,100", length), fmt.Sprintf("X-Prompt-Prefix: 1:100,%s:%d", id[1:], length-100))
				w.note("attempt %s of %d tokens answered %d %v", id, length, got.status, got.err)
			})
		}
		time.Sleep(longInterval)
	}
	wait.Wait()
	for status := range statuses {
		if n := statuses[status].Load(); n > 0 {
			w.note("ordinary attempts answered %d: %d", status, n)
		}
	}
	falls := 0
	for _, e := range engines {
		falls += len(e.falls)
	}
	bound := 2 + brittleRunners/10
	w.note("%d runners fell over %d times, bound %d; %d ordinary attempts were lost", brittleRunners, falls, bound, lost.Load())
	if falls > bound {
		return fmt.Sprintf("brittle runners fell over %d times, bound %d", falls, bound)
	}
	return ""
}
