package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

// playLastTenant has the operator take the only tenant, and with it its key, out of the config. No
// request with that key may run later than revocation-ms after the confirmation.
func playLastTenant(d *deployment) (bool, error) {
	operator := &operator{d: d}
	operator.put(config(7, 0, "key-revoked"))
	var runners []*runner
	for i := range 3 {
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
		for _, key := range []string{"key-revoked", "key-unknown", ""} {
			callers.Go(func() { d.call(r, fmt.Sprint(i), key, stop, &mu, &all) })
		}
	}
	time.Sleep(calmTime)
	confirmed := time.Now()
	if d.trouble {
		c := config(12, 0)
		c["tenants"] = []map[string]any{}
		confirmed = operator.put(c)
		d.sayf("operator: config 12 with no tenant any more confirmed at %.1f", ms(d, confirmed))
	} else {
		confirmed = operator.put(config(12, 0, "key-kept"))
		d.sayf("operator: config 12 with another key of the tenant confirmed at %.1f", ms(d, confirmed))
	}
	time.Sleep(bound + watchTime)
	close(stop)
	callers.Wait()
	statuses := make(map[string]map[int]int)
	before := 0
	byAttempt := make(map[string]sent)
	for _, s := range all {
		byAttempt[s.attempt] = s
		if s.at.After(confirmed.Add(bound)) {
			if statuses[s.key] == nil {
				statuses[s.key] = make(map[int]int)
			}
			statuses[s.key][s.status]++
		} else if s.at.Before(confirmed) && s.status == http.StatusOK {
			before++
		}
	}
	late := 0
	for _, r := range runners {
		for _, run := range r.allRuns() {
			d.logf("run: %s at %s at %.1f for tenant %q", run.attempt, run.runner, ms(d, run.at), run.tenant)
			if s, ok := byAttempt[run.attempt]; ok && s.key == "key-revoked" && s.at.After(confirmed.Add(bound)) {
				late++
			}
		}
	}
	d.sayf("requests served before the change: %d", before)
	d.sayf("answers to requests sent later than %s after the confirmation, by key and status: %v", bound, statuses)
	d.sayf("runs of requests with the revoked key sent later than %s after the confirmation: %d", bound, late)
	if before == 0 {
		return false, errCannotRun{fmt.Errorf("no request was served")}
	}
	return late > 0, nil
}
