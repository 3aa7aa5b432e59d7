package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"
)

// caseUpload stops a router as planned while consumers with slow links are sending their requests.
func caseUpload(w *world) {
	const (
		consumers = 6
		events    = 100
		pause     = 50 * time.Millisecond

		// Each consumer begins to send beginAfter after SIGTERM and sends the last byte endAfter it.
		beginAfter = 2500 * time.Millisecond
		endAfter   = 4300 * time.Millisecond
		pieces     = 18
	)
	for _, id := range []string{"i-1", "i-2"} {
		r := w.startRunner(id, "llm")
		r.events, r.pause = events, pause
		r.beat()
	}
	w.store.put("op", "config", config(1, []map[string]any{
		route("summary", "streaming", "llm", map[string]any{"timeout-ms": 12000, "target-latency-ms": 1500, "target-gap-ms": 800}),
	}, nil))
	for range 2 {
		w.addRouter(false)
	}
	for _, r := range w.routers {
		w.startRouter(r)
	}
	for _, r := range w.routers {
		w.awaitReady(r)
	}
	first := w.routers[0]
	time.Sleep(4 * time.Second)
	conns := make([]net.Conn, consumers)
	for i := range conns {
		c, err := net.DialTimeout("tcp4", fmt.Sprintf("%s:%d", first.ip, frontendPort), time.Second)
		if err != nil {
			fail(err)
		}
		conns[i] = c
	}
	stopped := time.Now()
	if w.trouble {
		w.signal(first, syscall.SIGTERM)
	}
	time.Sleep(time.Until(stopped.Add(beginAfter)))
	var all sync.WaitGroup
	var mu sync.Mutex
	lost, whole, refused := 0, 0, 0
	for _, c := range conns {
		all.Add(1)
		go func() {
			defer all.Done()
			defer func() { _ = c.Close() }()
			id, sentAt, result := upload(w, c, first, stopped, endAfter-beginAfter, pieces, events)
			runs := w.runsOf(id)
			mu.Lock()
			defer mu.Unlock()
			switch {
			case result == "whole":
				whole++
			case strings.HasPrefix(result, "503"):
				refused++
			case len(runs) > 0:
				lost++
				w.record("request %s, whose last byte was sent %v after SIGTERM, was passed on and run by %s; its connection ended %v after SIGTERM: %s",
					id, sentAt.Round(time.Millisecond), runs[0].runner, time.Since(stopped).Round(time.Millisecond), result)
			}
		}()
	}
	all.Wait()
	w.record("%d answers were whole, %d requests were refused, %d were passed on and lost", whole, refused, lost)
	if lost > 0 {
		w.breaks("LOST: %d requests that were read and passed on after SIGTERM ended without a complete answer", lost)
	}
}

// upload sends a request whose body takes a time, and reads the answer. It returns when the last byte
// was sent, since SIGTERM, and how the request ended.
func upload(w *world, c net.Conn, r *router, stopped time.Time, takes time.Duration, pieces, events int) (id string, sentAt time.Duration, result string) {
	const pieceBytes = 1000
	id = fmt.Sprintf("%016x", rand.Uint64())
	head := fmt.Sprintf("POST /summary/x HTTP/1.1\r\nHost: app.example\r\nX-Attempt-Id: %s\r\nX-Deadline-Ms: 12000\r\n%s: %s\r\n"+
		"X-Model: m\r\nX-Token-Usage: 4000,100\r\nX-Prompt-Prefix: 5c1e07a2:500,%s:3500\r\nContent-Length: %d\r\n\r\n", id, viaHeader, r.ip, id, pieces*pieceBytes)
	w.record("consumer begins to send %s", id)
	if _, err := io.WriteString(c, head); err != nil {
		return id, 0, "not sent: " + err.Error()
	}
	for range pieces {
		time.Sleep(takes / time.Duration(pieces))
		if _, err := io.WriteString(c, strings.Repeat("x", pieceBytes)); err != nil {
			return id, 0, "not sent: " + err.Error()
		}
	}
	sentAt = time.Since(stopped)
	w.record("consumer has sent the last byte of %s", id)
	response, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return id, sentAt, "no answer: " + err.Error()
	}
	data, err := io.ReadAll(response.Body)
	got := strings.Count(string(data), "\n\n")
	switch {
	case err != nil:
		return id, sentAt, fmt.Sprintf("%d, closed after event %d of %d", response.StatusCode, got, events)
	case response.StatusCode == http.StatusOK && got == events:
		return id, sentAt, "whole"
	}
	return id, sentAt, fmt.Sprintf("%d with %d bytes", response.StatusCode, len(data))
}
