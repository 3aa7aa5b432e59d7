package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"
)

func init() { plays["refused"] = playRefused }

// The dose of srv_grey: a runner fails this share of its requests, while its health check is good.
const failing = 0.4

// retries is how often a consumer repeats a request, after a promise that it has not run.
const retries = 1

// isPromise reports whether a status says that the request has not run and never will.
func isPromise(status int) bool {
	return status == 429 || status == 503 || status == 408 || status == 421
}

// playRefused lets one runner of four fail requests that it has run, with 503 and without
// X-Not-Executed, and has consumers send requests that may run once.
func playRefused(w *world) string {
	w.putConfig(1, []map[string]any{route("grant", "unsafe", "app", 1, map[string]any{"timeout-ms": 1500, "target-latency-ms": 150})},
		[]map[string]any{plainService("app")}, "key-1")
	var runners []*runner
	for i := range 4 {
		grey := i == 0 && w.trouble
		runners = append(runners, startRunner(w.store, fmt.Sprintf("app-%d", i), "app", freeAddress(w.ip(100+i)), 6,
			func(r *runner, c net.Conn, request *http.Request, body []byte) bool {
				if !grey || rand.Float64() >= failing {
					return sound(20*time.Millisecond)(r, c, request, body)
				}
				r.record(c, request, true)
				time.Sleep(20 * time.Millisecond)
				respond(c, request, http.StatusServiceUnavailable, "", "the voucher is booked, the receipt is not")
				return true
			}))
	}
	routers := w.startRouters(2)
	var mu sync.Mutex
	answers := map[string]int{}
	var wait sync.WaitGroup
	for worker := range 8 {
		wait.Go(func() {
			for end := time.Now().Add(10 * time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
				grant := "/grant/" + nextID()
				for range 1 + retries {
					id := nextID()
					got := ask(routers[worker%2].front(), http.MethodPost, grant, id, "{}", 1500*time.Millisecond)
					mu.Lock()
					answers[id] = got.status
					mu.Unlock()
					w.note("attempt %s for %s answered %d %v", id, grant, got.status, got.err)
					if !isPromise(got.status) {
						break
					}
				}
			}
		})
	}
	wait.Wait()
	ran, granted := map[string]int{}, map[string]int{}
	for _, r := range runners {
		for _, a := range r.all() {
			w.note("attempt %s for %s at runner %s, ran: %t", a.id, a.path, a.runner, a.ran)
			if a.ran {
				ran[a.id]++
				granted[a.path]++
			}
		}
	}
	promised, served := 0, 0
	for id, status := range answers {
		switch {
		case status == 200:
			served++
		case isPromise(status) && ran[id] > 0:
			promised++
		}
	}
	doubled := 0
	for _, runs := range granted {
		if runs > 1 {
			doubled++
		}
	}
	w.note("%d grants, of which %d were given twice", len(granted), doubled)
	w.note("%d attempts, %d answered 200, %d answered as not run that had run", len(answers), served, promised)
	if promised > 0 {
		return fmt.Sprintf("%d attempts that ran were answered with a promise that they had not", promised)
	}
	return ""
}
