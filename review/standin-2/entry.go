package main

import (
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"time"
)

// caseEntry lets another writer leave an entry among those of the runners that lacks most
// fields. At its address is an ordinary web server that is no runner.
func caseEntry(w *world) {
	for i := range 3 {
		w.startRunner(fmt.Sprintf("i-%d", i+1), "plots").beat()
	}
	w.store.put("op", "config", config(1, []map[string]any{route("status", "unsafe", "plots", nil)}, nil))
	for range 3 {
		w.addRouter(false)
	}
	for _, r := range w.routers {
		w.startRouter(r)
	}
	for _, r := range w.routers {
		w.awaitReady(r)
	}
	var arrived atomic.Int64
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		fail(err)
	}
	go func() {
		_ = http.Serve(listener, http.HandlerFunc(func(rw http.ResponseWriter, q *http.Request) {
			if q.URL.Path != "/health" {
				arrived.Add(1)
				w.record("the web server that is no runner gets %s %s, id %s", q.Method, q.URL.Path, q.Header.Get("X-Attempt-Id"))
			}
			rw.Header().Set("Connection", "close")
			http.NotFound(rw, q)
		}))
	}()
	time.Sleep(4 * time.Second)
	if w.trouble {
		w.record("another writer writes an entry without version, slots, cold-remaining-ms, sequence and born")
		w.store.put("servers", "inventory-7", map[string]any{"service": "plots", "address": listener.Addr().String(), "zone": "hall-a", "state": "ready"})
	}
	time.Sleep(4 * time.Second)
	var stops []func() []outcome
	for _, r := range w.routers {
		stops = append(stops, w.sendAtRate(20, r, request{path: "/status/x", method: http.MethodPost, deadline: 1500 * time.Millisecond}))
	}
	time.Sleep(12 * time.Second)
	total, denied := 0, 0
	statuses := map[string]int{}
	for _, stop := range stops {
		for _, o := range stop() {
			total++
			statuses[fmt.Sprintf("%d signed %t", o.status, o.signed)]++
			if o.status >= 300 && o.status < 500 && o.status != 408 && o.status != 421 && o.status != 429 && !o.signed {
				denied++
			}
		}
	}
	w.record("answers: %v; %d requests reached what is no runner", statuses, arrived.Load())
	fmt.Println(statuses, arrived.Load())
	if float64(denied) > 5+float64(total)/500 {
		w.breaks("DENIED: %d of %d proper requests ended with a 3xx or 4xx that no runner gave", denied, total)
	}
}
