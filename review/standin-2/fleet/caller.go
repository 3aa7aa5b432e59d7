package main

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

// call is a request of a consumer with its answer.
type call struct {
	id     string
	router *router
	sentAt time.Time
	endAt  time.Time
	status int
	signed bool
	body   string
	retry  string
	err    error
}

// callers send requests to the routers at a rate.
type callers struct {
	fleet  *fleet
	path   string
	method string
	key    string

	mu    sync.Mutex
	calls []call
	wg    sync.WaitGroup
	done  chan struct{}
}

// startCallers sends requests to each router at a rate a second until stop.
func (f *fleet) startCallers(method, path, key string, rate float64, deadline time.Duration) *callers {
	c := &callers{fleet: f, path: path, method: method, key: key, done: make(chan struct{})}
	for _, r := range f.routers {
		client := &http.Client{Timeout: deadline + time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 8, IdleConnTimeout: 8 * time.Second}}
		c.wg.Go(func() {
			for {
				select {
				case <-c.done:
					return
				case <-time.After(time.Duration(rand.ExpFloat64() / rate * float64(time.Second))):
				}
				c.wg.Go(func() { c.send(client, r, deadline) })
			}
		})
	}
	return c
}

func (c *callers) send(client *http.Client, r *router, deadline time.Duration) {
	one := c.fleet.send(client, r, c.method, c.path, c.key, deadline)
	c.mu.Lock()
	c.calls = append(c.calls, one)
	c.mu.Unlock()
}

// send sends one request and records its answer.
func (f *fleet) send(client *http.Client, r *router, method, path, key string, deadline time.Duration) call {
	one := call{id: attemptID(), router: r, sentAt: time.Now()}
	request, err := http.NewRequest(method, "http://"+r.ip+":8227"+path, nil)
	if err != nil {
		panic(err)
	}
	request.Host = "h.example"
	request.Header.Set("X-Attempt-Id", one.id)
	request.Header.Set("X-Deadline-Ms", fmt.Sprint(deadline.Milliseconds()))
	request.Header.Set("X-Credential", key)
	request.Header.Set(routerHeader, r.name)
	response, err := client.Do(request)
	if err == nil {
		var data []byte
		data, err = io.ReadAll(response.Body)
		_ = response.Body.Close()
		one.status, one.signed, one.body = response.StatusCode, response.Header.Get("X-Response-Signature") != "", string(data)
		one.retry = response.Header.Get("Retry-After")
	}
	one.err, one.endAt = err, time.Now()
	f.note("consumer sent %s to %s at %.3f s: %d %s %v", one.id, r.name, one.sentAt.Sub(f.start).Seconds(), one.status, one.retry, err)
	return one
}

// stop ends the sending and returns all requests.
func (c *callers) stop() []call {
	close(c.done)
	c.wg.Wait()
	return c.calls
}
