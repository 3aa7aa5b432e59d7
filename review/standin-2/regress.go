package main

import (
	"fmt"
	"net/http"
	"syscall"
	"time"
)

// caseRegress partitions one router from all runners, so that others run its requests. One of
// those stands still for a moment while the operator moves a route to another service.
func caseRegress(w *world) {
	const (
		frozen = 1200 * time.Millisecond

		// furtherRoutes is the number of routes that no request uses.
		furtherRoutes = 350
	)
	for _, id := range []string{"i-1", "i-2"} {
		w.startRunner(id, "plots").beat()
		w.startRunner(id+"-new", "plots-new").beat()
	}
	moved := func(version int, service string) map[string]any {
		routes := []map[string]any{route("status", "unsafe", service, nil)}
		for i := range furtherRoutes {
			routes = append(routes, route(fmt.Sprintf("further-%d", i), "safe", "plots", nil))
		}
		return config(version, routes, nil)
	}
	w.store.put("op", "config", moved(1, "plots"))
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
	stop := w.sendAtRate(60, first, status)
	stopOthers := []func() []outcome{w.sendAtRate(10, second, status), w.sendAtRate(10, w.routers[2], status)}
	time.Sleep(5 * time.Second)
	if w.trouble {
		w.record("router %s is partitioned from all runners", first.ip)
		first.cutFromRunners(true)
	}
	time.Sleep(400 * time.Millisecond)
	if w.trouble {
		w.signal(second, syscall.SIGSTOP)
	}
	time.Sleep(100 * time.Millisecond)
	w.store.put("op", "config", moved(2, "plots-new"))
	w.record("the store confirms config 2, which moves the route to service plots-new")
	time.Sleep(frozen - 100*time.Millisecond)
	if w.trouble {
		w.signal(second, syscall.SIGCONT)
	}
	time.Sleep(time.Second)
	if w.trouble {
		first.cutFromRunners(false)
		w.record("the partition ends")
	}
	time.Sleep(3 * time.Second)
	for _, s := range stopOthers {
		s()
	}
	outcomes := stop()
	var effect time.Time
	sent := make(map[string]time.Time)
	for _, o := range outcomes {
		sent[o.id] = o.sentAt
	}
	w.mu.Lock()
	runs := w.runs
	w.mu.Unlock()
	back, after := 0, 0
	for _, r := range runs { // In the order of the runs.
		at, own := sent[r.id]
		switch {
		case !own:
		case r.service == "plots-new" && effect.IsZero():
			effect = r.at
			w.record("first run by config 2 of a request to %s, at %.3f", first.ip, r.at.Sub(w.start).Seconds())
		case !effect.IsZero() && at.Sub(effect) > 250*time.Millisecond:
			after++
			if r.service == "plots" {
				back++
				w.record("request %s to %s, sent %v after a runner saw config 2, ran at the old service", r.id, r.via, at.Sub(effect).Round(time.Millisecond))
			}
		}
	}
	w.record("%d runs of requests to %s sent over 250 ms after a runner saw config 2, %d of them at the old service", after, first.ip, back)
	if back > 0 {
		w.breaks("CONFIG: router %s went back to the older config for %d requests", first.ip, back)
	}
}
