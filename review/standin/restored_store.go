package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

// Times of the case. The store is away for storeAway and comes back from a copy that is
// copyAge old.
const (
	calmTime     = 4 * time.Second // from the first request to the moment of the copy
	changeAfter  = 1 * time.Second // from the copy to version 12 of the config
	awayAfter    = 2 * time.Second // from the copy to the outage
	storeAway    = 1 * time.Second
	operatorPoll = 20 * time.Millisecond
	watchTime    = 8 * time.Second // for which requests are sent after the bound

	// bound is revocation-ms and, as an unstable store stretches bounds of the config by at most that,
	// max-skew-ms.
	bound = 5*time.Second + 5*time.Second
)

// sent is a request as its caller sent it.
type sent struct {
	attempt string
	key     string
	router  string
	at      time.Time
	status  int
}

// config returns a config of a version. idle routes are used by no request.
func config(version, idle int, keys ...string) map[string]any {
	return configOfKind("safe", version, idle, keys...)
}

// configOfKind returns a config whose routes are of a kind.
func configOfKind(kind string, version, idle int, keys ...string) map[string]any {
	route := func(name, prefix string) map[string]any {
		return map[string]any{
			"name": name, "host": "ficu95.example", "path-prefix": prefix, "kind": kind, "timeout-ms": 1500,
			"target-latency-ms": 100, "priority": 2, "service": "wuno96b", "max-attempts": 2, "public": false,
		}
	}
	routes := []map[string]any{route("r-0", "/cufi504/")}
	for i := range idle {
		routes = append(routes, route(fmt.Sprintf("r-%d", i+1), fmt.Sprintf("/idle%d/", i)))
	}
	return map[string]any{
		"version": version, "routes": routes,
		"services": []map[string]any{{"name": "wuno96b", "health-path": "/health", "max-connections": 110, "protocol": "h1", "tls": false}},
		"limits":   map[string]any{"max-header-bytes": 16384, "max-body-bytes": 4194304, "header-timeout-ms": 3000, "idle-timeout-ms": 15000},
		"tenants":  []map[string]any{{"name": "hule930", "api-keys": keys, "priority": 1}},
	}
}

// operator writes configs, and writes its last one again if the store has lost it.
type operator struct {
	d    *deployment
	era  int64
	last map[string]any
}

// put writes a config as soon as the store is there. It returns when the store confirmed it.
func (o *operator) put(c map[string]any) time.Time {
	for {
		if o.last != nil {
			o.d.store.mu.Lock()
			era, away := o.d.store.era, o.d.store.away
			o.d.store.mu.Unlock()
			if !away && era != o.era {
				if version, era, err := o.d.store.put("op", "config", o.last); err == nil {
					o.d.logf("store: operator writes config %v again at version %d", o.last["version"], version)
					o.era = era
				}
			}
		}
		version, era, err := o.d.store.put("op", "config", c)
		if err == nil {
			confirmed := time.Now()
			o.d.logf("store: operator writes config %v at version %d", c["version"], version)
			o.era, o.last = era, c
			return confirmed
		}
		time.Sleep(operatorPoll)
	}
}

// playRestoredStore plays a drill: the store is away for a moment and comes back from a copy some
// seconds old. Just after that, a key is taken away. No request with it may run later than
// revocation-ms after the confirmation.
func playRestoredStore(d *deployment) (bool, error) {
	d.logBeats = true
	operator := &operator{d: d}
	operator.put(config(7, 0, "key-kept", "key-revoked"))
	var runners []*runner
	for i := range 4 {
		r, err := d.startRunner(fmt.Sprintf("i-%d", i+1), "wuno96b", 15*time.Millisecond, time.Duration(i)*heartbeat/4, servePlain)
		if err != nil {
			return false, err
		}
		runners = append(runners, r)
	}
	if err := d.startRouters(3); err != nil {
		return false, err
	}
	var mu sync.Mutex
	var all []sent
	stop := make(chan struct{})
	var callers sync.WaitGroup
	for i, r := range d.routers {
		for _, key := range []string{"key-kept", "key-revoked"} {
			callers.Go(func() { d.call(r, fmt.Sprint(i), key, stop, &mu, &all) })
		}
	}
	time.Sleep(calmTime)
	storeCopy := d.store.copy()
	copied := time.Now()
	d.logf("store: a copy is taken at version %d", storeCopy.version)
	time.Sleep(changeAfter)
	operator.put(config(12, 1, "key-kept", "key-revoked"))
	time.Sleep(time.Until(copied.Add(awayAfter)))
	back := make(chan error, 1)
	if d.trouble {
		d.sayf("store: away")
		d.store.goAway()
		time.AfterFunc(storeAway, func() {
			d.store.restore(storeCopy)
			d.sayf("store: back from a copy that is %.1f s old, at version %d", time.Since(copied).Seconds(), storeCopy.version)
			back <- d.store.comeBack()
		})
	} else {
		back <- nil
	}
	time.Sleep(storeAway / 2)
	d.logf("operator: wants to take key-revoked away")
	if !d.trouble {
		time.Sleep(storeAway / 2)
	}
	confirmed := operator.put(config(19, 1, "key-kept"))
	if err := <-back; err != nil {
		return false, err
	}
	d.sayf("operator: config 19 without key-revoked confirmed at %.1f", ms(d, confirmed))
	time.Sleep(bound + watchTime)
	close(stop)
	callers.Wait()
	return judgeRevocation(d, confirmed, all, runners)
}

// ms returns a time in milliseconds since the start of the case.
func ms(d *deployment, t time.Time) float64 { return float64(t.Sub(d.start).Microseconds()) / 1000 }

// judgeRevocation looks for runs of requests with the revoked key that were sent later than
// revocation-ms after the confirmation.
func judgeRevocation(d *deployment, confirmed time.Time, all []sent, runners []*runner) (bool, error) {
	byAttempt := make(map[string]sent)
	keptLate, keptServed := 0, 0
	for _, s := range all {
		byAttempt[s.attempt] = s
		if s.key == "key-kept" && s.at.After(confirmed.Add(bound)) {
			keptLate++
			if s.status == http.StatusOK {
				keptServed++
			}
		}
	}
	late := make(map[string]int)
	total := 0
	for _, r := range runners {
		for _, run := range r.allRuns() {
			s, ok := byAttempt[run.attempt]
			d.logf("run: %s at %s at %.1f for tenant %s", run.attempt, run.runner, ms(d, run.at), run.tenant)
			if ok && s.key == "key-revoked" && s.at.After(confirmed.Add(bound)) {
				late[s.router]++
				total++
			}
		}
	}
	d.sayf("requests with the kept key sent later than %s after the confirmation: %d, served %d", bound, keptLate, keptServed)
	d.sayf("runs of requests with the revoked key sent later than %s after the confirmation: %d, by router %v", bound, total, late)
	if keptLate == 0 || keptServed*2 < keptLate {
		return false, errCannotRun{fmt.Errorf("too few requests were served")}
	}
	return total > 0, nil
}
