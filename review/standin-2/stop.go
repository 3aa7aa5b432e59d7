package main

import (
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"
)

// caseStop partitions one router from all runners, so that others run its requests, and stops
// one of those as planned.
func caseStop(w *world) {
	const (
		consumers = 24
		events    = 120
		pause     = 50 * time.Millisecond
	)
	for _, id := range []string{"i-1", "i-2", "i-3"} {
		r := w.startRunner(id, "llm")
		r.events, r.pause = events, pause
		r.beat()
	}
	for _, id := range []string{"p-1", "p-2"} {
		w.startRunner(id, "plots").beat()
	}
	w.store.put("op", "config", config(1, []map[string]any{
		route("status", "unsafe", "plots", nil),
		route("summary", "streaming", "llm", map[string]any{"timeout-ms": 12000, "target-latency-ms": 1500, "target-gap-ms": 800}),
	}, nil))
	w.addRouter(true) // Its links to the runners can be cut.
	for range 2 {
		w.addRouter(false)
	}
	for _, r := range w.routers {
		w.startRouter(r)
	}
	for _, r := range w.routers {
		w.awaitReady(r)
		w.watchReadiness(r)
	}
	first, second := w.routers[0], w.routers[1]
	status := request{path: "/status/x", method: http.MethodPost, deadline: 1500 * time.Millisecond}
	summary := request{path: "/summary/x", method: http.MethodPost, deadline: 12 * time.Second, stream: true}
	for _, r := range w.routers {
		w.sendAtRate(20, r, status)
	}

	// Each consumer has used its connection to the first router before.
	clients := make([]*http.Client, consumers)
	for i := range clients {
		clients[i] = &http.Client{Transport: &http.Transport{DisableCompression: true, MaxIdleConnsPerHost: 1}}
	}
	time.Sleep(4 * time.Second)
	for _, client := range clients {
		w.send(client, first, status)
	}
	if w.trouble {
		w.record("router %s is partitioned from all runners", first.ip)
		first.cutFromRunners(true)
	}
	time.Sleep(1200 * time.Millisecond)
	var all sync.WaitGroup
	outcomes := make([]outcome, consumers)
	for i, client := range clients {
		all.Add(1)
		go func() {
			defer all.Done()
			outcomes[i] = w.send(client, first, summary)
		}()
		time.Sleep(20 * time.Millisecond)
	}
	time.Sleep(300 * time.Millisecond)
	stopped := time.Now()
	w.signal(second, syscall.SIGTERM)
	select {
	case <-second.ended:
		w.record("router %s ended %v after SIGTERM; its grace period is 8 s", second.ip, time.Since(stopped).Round(time.Millisecond))
	case <-time.After(8 * time.Second):
	}
	all.Wait()
	whole, cut := 0, 0
	for _, o := range outcomes {
		got := strings.Count(o.body, "\n\n")
		switch {
		case o.err == nil && o.status == http.StatusOK && got == events:
			whole++
		case o.kept && o.status == http.StatusOK && o.err != nil:
			cut++
			runs := w.runsOf(o.id)
			w.record("request %s, sent %v before SIGTERM, ran %d times; its connection, which was kept, was closed after event %d of %d", o.id, stopped.Sub(o.sentAt).Round(time.Millisecond), len(runs), got, events)
		}
	}
	w.record("%d streams were whole, %d were cut", whole, cut)
	if cut > 3 {
		w.breaks("LOST: router %s passed %d requests from kept connections on to sound runners and closed these connections without a whole answer", first.ip, cut)
	}
}
