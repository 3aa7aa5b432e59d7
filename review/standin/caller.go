package main

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

// callPause is the mean pause of a caller between two requests.
const callPause = 100 * time.Millisecond

// call sends requests with a key to a router until stop is closed, and adds them to all.
func (d *deployment) call(r *router, caller, key string, stop <-chan struct{}, mu *sync.Mutex, all *[]sent) {
	client := &http.Client{Transport: &http.Transport{}, Timeout: 3 * time.Second}
	for n := 0; ; n++ {
		select {
		case <-stop:
			return
		case <-time.After(callPause/2 + rand.N(callPause)):
		}
		s := sent{attempt: fmt.Sprintf("%s-%s-%d", caller, key, n), key: key, router: r.name, at: time.Now()}
		request, err := http.NewRequest(d.method(), "http://"+r.frontend()+"/cufi504/2f", nil)
		if err != nil {
			panic(err)
		}
		request.Host = "ficu95.example"
		request.Header.Set("X-Attempt-Id", s.attempt)
		request.Header.Set("X-Deadline-Ms", "1500")
		if key != "" {
			request.Header.Set("X-Credential", key)
		}
		response, err := client.Do(request)
		if err == nil {
			_, _ = io.Copy(io.Discard, response.Body)
			_ = response.Body.Close()
			s.status = response.StatusCode
		}
		mu.Lock()
		*all = append(*all, s)
		mu.Unlock()
		d.logf("%s: request %s sent at %.1f, answered %d", r.name, s.attempt, ms(d, s.at), s.status)
	}
}

// method returns the method of requests.
func (d *deployment) method() string {
	if d.unsafe {
		return http.MethodPost
	}
	return http.MethodGet
}
