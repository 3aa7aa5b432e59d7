package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

// poisonAway is how long a runner is away that crashed.
const poisonAway = 2 * time.Second

// poisonWork is how long a runner works on a sound request.
const poisonWork = 100 * time.Millisecond

// poisonPause is the time between two such requests.
const poisonPause = 1500 * time.Millisecond

// playPoison sends a request that crashes each runner that runs it, again and again to the routers in turn.
func playPoison(program, record string, trouble bool) int {
	f, err := newFleet(program, record, 8)
	if err != nil {
		fmt.Println(err)
		return unable
	}
	defer f.stop()
	f.store.put("op", "config", plan(1, "key-1"))
	var mu sync.Mutex
	var crashes []time.Time
	var after []arrival
	lost := 0
	handle := func(r *runner, w http.ResponseWriter, q *http.Request) string {
		if q.URL.Path != "/safe/poison" {
			select {
			case <-q.Context().Done():
				mu.Lock()
				lost++
				mu.Unlock()
				return "lost, running"
			case <-time.After(poisonWork):
			}
			return serveSound(r, w, q)
		}
		mu.Lock()
		crashes = append(crashes, time.Now())
		after = append(after, arrival{at: time.Now(), router: q.Header.Get(routerHeader), id: q.Header.Get("X-Attempt-Id")})
		mu.Unlock()
		r.crash(poisonAway, func() {})
		<-q.Context().Done()
		return "crash"
	}
	for i := range 5 {
		if _, err := f.newRunner(fmt.Sprintf("r-%d", i+1), "app", handle); err != nil {
			return unable
		}
	}
	if !f.replaceMachines(trouble) {
		return unable
	}
	all := f.routers
	f.routers = all[3:]
	time.Sleep(3 * time.Second)
	c := f.startCallers(http.MethodPost, "/once/x", "key-1", 10, 1500*time.Millisecond)
	time.Sleep(time.Second)
	client := &http.Client{Timeout: 3 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for i := range 40 {
		go f.send(client, f.routers[i%len(f.routers)], http.MethodGet, "/safe/poison", "key-1", 1500*time.Millisecond)
		time.Sleep(poisonPause)
	}
	calls := c.stop()
	f.routers = all
	mu.Lock()
	defer mu.Unlock()
	n := 0
	if len(crashes) >= 3 {
		for _, a := range after {
			if a.at.After(crashes[2].Add(stableWindow)) {
				n++
			}
		}
	}
	statuses := make(map[int]int)
	for _, one := range calls {
		statuses[one.status]++
	}
	text := fmt.Sprintf("crashes %d; later than %v after the third: %d, allowed 3; sound runs lost %d; their answers %v", len(crashes), stableWindow, n, lost, statuses)
	f.note("%s", text)
	fmt.Println(text)
	if n > 3 {
		return broken
	}
	return held
}
