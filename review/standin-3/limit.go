package main

import (
	"fmt"
	"net"
	"net/http"
	"sort"
	"sync"
	"sync/atomic"
	"time"
)

func init() {
	plays["hint"] = func(w *world) string { return playLimit(w, sendFarOffHints) }
	plays["foreign"] = func(w *world) string { return playLimit(w, writeForeignEntries) }
}

// limitPerSecond is what each runner names in Server-Limit.
const limitPerSecond = 10

// playLimit has runners in need name their limits, beside a disruption that lasts until a time.
func playLimit(w *world, disrupt func(w *world, routers []*router, end time.Time)) string {
	w.putConfig(1, []map[string]any{route("chat", "streaming", "llm", 1, map[string]any{"target-gap-ms": 800, "target-latency-ms": 1500})},
		[]map[string]any{engineService("llm", 64)}, "key-1")
	var named atomic.Int64
	var runners []*runner
	for i := range 6 {
		runners = append(runners, startRunner(w.store, fmt.Sprintf("llm-%d", i), "llm", freeAddress(w.ip(100+i)), 64,
			func(r *runner, c net.Conn, request *http.Request, _ []byte) bool {
				r.record(c, request, true)
				time.Sleep(20 * time.Millisecond)
				named.CompareAndSwap(0, time.Now().UnixNano())
				respond(c, request, http.StatusOK, fmt.Sprintf("Content-Type: text/event-stream\r\nServer-Limit: %d\r\n", limitPerSecond), "id: 1\ndata: all\n\n")
				return true
			}))
	}
	routers := w.startRouters(4)
	end := time.Now().Add(70 * time.Second)
	var wait sync.WaitGroup
	var statuses [600]atomic.Int64
	for worker := range 40 {
		wait.Go(func() {
			for ; time.Now().Before(end); time.Sleep(150 * time.Millisecond) {
				id := nextID()
				got := ask(routers[worker%4].front(), http.MethodPost, "/chat/x", id, "{}", 5*time.Second,
					"X-Model: m", "X-Token-Usage: 600,40", fmt.Sprintf("X-Prompt-Prefix: 1:100,%s:500", id[1:]))
				statuses[got.status].Add(1)
			}
		})
	}
	time.Sleep(6 * time.Second)
	if w.trouble {
		disrupt(w, routers, end)
	}
	wait.Wait()
	for status := range statuses {
		if n := statuses[status].Load(); n > 0 {
			w.note("answered %d: %d", status, n)
		}
	}
	from := time.Unix(0, named.Load()).Add(3 * time.Second)
	most, where := 0, ""
	for _, r := range runners {
		var times []time.Time
		for _, a := range r.all() {
			if a.at.After(from) {
				times = append(times, a.at)
			}
		}
		sort.Slice(times, func(i, j int) bool { return times[i].Before(times[j]) })
		first := 0
		for i := range times {
			for times[i].Sub(times[first]) > 4*time.Second {
				first++
			}
			if n := i - first + 1; n > most {
				most, where = n, fmt.Sprintf("%s at %.1f s", r.id, times[i].Sub(w.start).Seconds())
			}
		}
		w.note("runner %s got %d requests after %.1f s", r.id, len(times), from.Sub(w.start).Seconds())
	}
	bound := int(1.5*4*limitPerSecond + 5)
	w.note("most in 4 s: %d (%s); bound %d", most, where, bound)
	if most > bound {
		return fmt.Sprintf("a runner that named %d a second got %d requests in 4 s, bound %d", limitPerSecond, most, bound)
	}
	return ""
}

// noEstimate is the largest number of the type that many clients keep lengths in.
const noEstimate = "9223372036854775807"

// sendFarOffHints has one consumer send a request to each router every 8 s, whose X-Length-Hint is far off.
func sendFarOffHints(w *world, routers []*router, end time.Time) {
	for time.Now().Before(end) {
		for _, r := range routers {
			id := nextID()
			got := ask(r.front(), http.MethodPost, "/chat/x", id, "{}", 5*time.Second, "X-Model: m", "X-Token-Usage: 600,40",
				fmt.Sprintf("X-Prompt-Prefix: 1:100,%s:500", id[1:]), "X-Length-Hint: "+noEstimate)
			w.note("attempt %s with X-Length-Hint: %s answered %d %v", id, noEstimate, got.status, got.err)
		}
		time.Sleep(8 * time.Second)
	}
}

// foreignEntries is the number of entries of another writer.
const foreignEntries = 400

// writeForeignEntries has another writer write entries of services that no config names.
func writeForeignEntries(w *world, _ []*router, _ time.Time) {
	for i := range foreignEntries {
		w.store.put("servers", fmt.Sprintf("batch-%03d", i), map[string]any{
			"service": fmt.Sprintf("batch-job-%03d", i), "address": w.ip(200) + fmt.Sprintf(":%d", 20000+i), "zone": "z", "version": "v1", "slots": 1,
			"state": "ready", "cold-remaining-ms": 0, "sequence": 1,
		})
		time.Sleep(5 * time.Millisecond)
	}
	w.note("another writer has written %d entries of services that no config names", foreignEntries)
}
