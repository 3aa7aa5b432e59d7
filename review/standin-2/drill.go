package main

import (
	"net/http"
	"time"
)

// caseDrill takes a key away. The store comes back from a copy that is some seconds old, and
// the operator writes its config again soon. A machine is added meanwhile.
func caseDrill(w *world) {
	const (
		copyAge   = 8 * time.Second
		awayTime  = 1200 * time.Millisecond
		rewriteIn = 2 * time.Second
	)
	for _, id := range []string{"i-1", "i-2", "i-3"} {
		w.startRunner(id, "plots").beat()
	}
	routes := []map[string]any{route("status", "unsafe", "plots", map[string]any{"public": false})}
	tenants := func(keys ...string) []map[string]any {
		return []map[string]any{{"name": "hall", "api-keys": []string{"key-hall"}}, {"name": "co-op", "api-keys": keys}}
	}
	w.store.put("op", "config", config(1, routes, tenants("key-1", "key-2")))
	for range 3 {
		w.addRouter(false)
	}
	for _, r := range w.routers[:2] {
		w.startRouter(r)
	}
	for _, r := range w.routers[:2] {
		w.awaitReady(r)
	}
	sound := request{path: "/status/x", method: http.MethodPost, key: "key-hall", deadline: 1500 * time.Millisecond}
	revoked := sound
	revoked.key = "key-1"
	time.Sleep(4 * time.Second)
	var stops []func() []outcome
	for _, r := range w.routers {
		w.watchReadiness(r)
		stops = append(stops, w.sendAtRate(20, r, revoked), w.sendAtRate(5, r, sound))
	}
	time.Sleep(2 * time.Second)

	older := w.store.copy()
	second := config(2, routes, tenants("key-2"))
	time.Sleep(200 * time.Millisecond)
	w.store.put("op", "config", second)
	confirmed := time.Now()
	w.record("the store confirms config 2, which takes key-1 away")

	time.Sleep(copyAge - 200*time.Millisecond)
	if w.trouble {
		w.record("drill: the store is away")
		w.store.setAway(true)
	}
	w.record("planned work: a machine is added")
	w.startRouter(w.routers[2])
	time.Sleep(awayTime)
	if w.trouble {
		w.store.restore(older)
		w.record("drill: the store is back from a copy that was made %v before it went away", copyAge)
	}
	time.Sleep(rewriteIn)
	if w.trouble {
		w.store.put("op", "config", second)
		w.record("the operator has written config 2 again")
	}
	time.Sleep(4 * time.Second)
	ran, late, latest, answered := 0, 0, 0, 0
	for i, stop := range stops {
		for _, o := range stop() {
			if o.status == http.StatusOK {
				answered++
			}
			if runs := w.runsOf(o.id); i%2 == 0 && len(runs) > 0 {
				ran++
				if after := o.sentAt.Sub(confirmed); after > 5*time.Second {
					late++
					if after > 10*time.Second { // revocation-ms and max-skew-ms together.
						latest++
					}
					w.record("request %s with key-1 was sent %v after its end was confirmed, to %s, and ran", o.id, after.Round(time.Millisecond), runs[0].via)
				}
			}
		}
	}
	w.record("%d requests were served, %d ran with key-1, %d of them were sent over 5 s after its end was confirmed, %d over 10 s", answered, ran, late, latest)
	if late > 0 {
		w.breaks("CONFIG: %d requests ran with a key that was taken away, sent over revocation-ms after the confirmation", late)
	}
}
