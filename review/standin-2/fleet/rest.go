package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

const (
	restTime  = 15 * time.Second
	restSlack = 500 * time.Millisecond
	absence   = 2 * time.Second
	turnTime  = 2 * time.Second
	restWork  = 30 * time.Millisecond
)

func plan(version int, keys ...string) map[string]any {
	route := func(name, kind string, attempts int) map[string]any {
		return map[string]any{
			"name": name, "host": "h.example", "path-prefix": "/" + name + "/", "kind": kind, "timeout-ms": 1500, "target-latency-ms": 100,
			"priority": 2, "service": "app", "max-attempts": attempts, "public": false, "sticky": false, "resumable": false,
		}
	}
	return map[string]any{
		"version": version, "routes": []any{route("once", "unsafe", 1), route("safe", "safe", 2)},
		"services": []any{map[string]any{"name": "app", "health-path": "/health", "max-connections": 110, "protocol": "h1", "tls": false}},
		"limits":   map[string]any{"max-header-bytes": 16384, "max-body-bytes": 4194304, "header-timeout-ms": 3000, "idle-timeout-ms": 15000},
		"tenants":  []any{map[string]any{"name": "tenant", "api-keys": keys, "priority": 1}},
	}
}

// playRest lets a runner turn one request of each router away with 503 and Retry-After. Its entry is away for a while meanwhile.
func playRest(program, record string, trouble bool) int {
	f, err := newFleet(program, record, 2)
	if err != nil {
		fmt.Println(err)
		return unable
	}
	defer f.stop()
	var mu sync.Mutex
	said := make(map[string]time.Time)
	tired := false
	f.store.put("op", "config", plan(1, "key-1"))
	resting, err := f.newRunner("r-1", "app", func(r *runner, w http.ResponseWriter, q *http.Request) string {
		router := q.Header.Get(routerHeader)
		mu.Lock()
		turn := tired
		if _, asked := said[router]; tired && !asked {
			said[router] = time.Now()
		}
		mu.Unlock()
		if turn {
			w.Header().Set("X-Not-Executed", "1")
			w.Header().Set("Retry-After", fmt.Sprint(restTime.Seconds()))
			w.WriteHeader(http.StatusServiceUnavailable)
			return "503, Retry-After"
		}
		time.Sleep(restWork)
		return serveSound(r, w, q)
	})
	if err != nil {
		return unable
	}
	for _, id := range []string{"r-2", "r-3", "r-4", "r-5"} {
		if _, err := f.newRunner(id, "app", func(r *runner, w http.ResponseWriter, q *http.Request) string {
			time.Sleep(restWork)
			return serveSound(r, w, q)
		}); err != nil {
			return unable
		}
	}
	if !f.startAll() {
		return unable
	}
	c := f.startCallers(http.MethodGet, "/once/x", "key-1", 40, 1500*time.Millisecond)
	time.Sleep(4 * time.Second)
	mu.Lock()
	tired = true
	mu.Unlock()
	time.Sleep(turnTime)
	mu.Lock()
	tired = false
	mu.Unlock()
	if trouble {
		f.store.remove("servers", resting.id)
		f.note("entry of runner r-1 removed")
		time.Sleep(absence)
		resting.register("ready")
	}
	time.Sleep(11 * time.Second)
	c.stop()
	result := held
	mu.Lock()
	defer mu.Unlock()
	for router, at := range said {
		n := 0
		resting.mu.Lock()
		for _, a := range resting.arrivals {
			if a.router == router && a.at.After(at.Add(restSlack)) && a.at.Before(at.Add(restTime)) {
				n++
			}
		}
		resting.mu.Unlock()
		f.note("%s: %d requests in the time of Retry-After", router, n)
		fmt.Printf("%s: %d requests in the time of Retry-After\n", router, n)
		if n > 2 {
			result = broken
		}
	}
	if len(said) < 2 {
		return unable
	}
	return result
}
