package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"sort"
	"sync"
	"time"
)

const (
	serverLimit  = 10.0
	stableWindow = 3 * time.Second
	limitWindow  = 4 * time.Second
)

// setSeeds rewrites the seeds in the settings file of a router.
func (f *fleet) setSeeds(r *router, seeds ...*router) {
	data, _ := os.ReadFile(r.settings)
	var all map[string]any
	_ = json.Unmarshal(data, &all)
	var list []string
	for _, s := range seeds {
		list = append(list, s.ip+":8229")
	}
	all["seeds"] = list
	data, _ = json.Marshal(all)
	_ = os.WriteFile(r.settings+".new", data, 0o600)
	_ = os.Rename(r.settings+".new", r.settings)
	f.note("settings of %s now have the seeds %v", r.name, list)
}

// playLimit replaces three machines by others, and lets a runner name a limit later.
func playLimit(program, record string, trouble bool) int {
	f, err := newFleet(program, record, 8)
	if err != nil {
		fmt.Println(err)
		return unable
	}
	defer f.stop()
	f.store.put("op", "config", plan(1, "key-1"))
	var mu sync.Mutex
	var since time.Time
	passed := make(map[string]time.Time)
	needy, err := f.newRunner("r-1", "app", func(r *runner, w http.ResponseWriter, q *http.Request) string {
		mu.Lock()
		limited := !since.IsZero()
		mu.Unlock()
		if limited {
			w.Header().Set("Server-Limit", fmt.Sprint(serverLimit))
		}
		return serveSound(r, w, q)
	})
	if err != nil {
		return unable
	}
	for _, id := range []string{"r-2"} {
		if _, err := f.newRunner(id, "app", serveSound); err != nil {
			return unable
		}
	}
	if !f.replaceMachines(trouble) {
		return unable
	}
	all := f.routers
	f.routers = all[3:]
	time.Sleep(memory)
	c := f.startCallers(http.MethodGet, "/once/x", "key-1", 40, 1500*time.Millisecond)
	time.Sleep(3 * time.Second)
	mu.Lock()
	since = time.Now()
	mu.Unlock()
	f.note("runner r-1 names its limit from now on")
	time.Sleep(20 * time.Second)
	calls := c.stop()
	f.routers = all
	for _, one := range calls {
		if one.sentAt.After(since) && one.err == nil {
			if at, ok := passed[one.router.name]; !ok || one.endAt.Before(at) {
				for _, a := range needy.arrivals {
					if a.id == one.id {
						passed[one.router.name] = one.endAt
					}
				}
			}
		}
	}
	var counted []time.Time
	for _, a := range needy.arrivals {
		if at, ok := passed[a.router]; ok && a.at.After(at.Add(500*time.Millisecond)) && a.at.After(since.Add(stableWindow)) {
			counted = append(counted, a.at)
		}
	}
	sort.Slice(counted, func(i, j int) bool { return counted[i].Before(counted[j]) })
	most := 0
	for i := range counted {
		n := sort.Search(len(counted), func(j int) bool { return counted[j].After(counted[i].Add(limitWindow)) }) - i
		most = max(most, n)
	}
	allowed := 1.5*serverLimit*limitWindow.Seconds() + 5
	f.note("most requests in %v: %d, allowed %.0f", limitWindow, most, allowed)
	fmt.Printf("most requests in %v: %d, allowed %.0f; routers %d\n", limitWindow, most, allowed, len(passed))
	if float64(most) > allowed {
		return broken
	}
	return held
}
