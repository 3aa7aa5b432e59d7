package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

func init() { plays["parts"] = playParts }

const (
	// firstEvent is the time that an engine takes to its first event at least.
	firstEvent = 50 * time.Millisecond

	// crowd is the number of clients at the same time. bodyBytes is the length of their bodies, and
	// manyParts the number of the parts of their prompts, with which a head stays within max-header-bytes.
	crowd     = 940
	bodyBytes = 32_000
	manyParts = 3900
)

// stream answers with events for a time.
func stream(work time.Duration, events int) func(*runner, net.Conn, *http.Request, []byte) bool {
	return func(r *runner, c net.Conn, request *http.Request, _ []byte) bool {
		r.record(c, request, true)
		id := request.Header.Get("X-Attempt-Id")
		_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\nX-Response-Signature: sig-%s\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n", id, id)
		for i := range events {
			time.Sleep(firstEvent)
			if i > 0 {
				time.Sleep(work / time.Duration(events))
			}
			event := fmt.Sprintf("id: %d\ndata: piece %d\n\n", i+1, i+1)
			if _, err := fmt.Fprintf(c, "%x\r\n%s\r\n", len(event), event); err != nil {
				return false
			}
		}
		_, err := io.WriteString(c, "0\r\n\r\n")
		return err == nil
	}
}

// playParts has a crowd send streaming requests of legal size whose prompts have very many parts.
func playParts(w *world) string {
	w.putConfig(1, []map[string]any{route("chat", "streaming", "llm", 1, map[string]any{"target-gap-ms": 3000, "sticky": true, "target-latency-ms": 4000})},
		[]map[string]any{engineService("llm", 64)}, "key-1")
	for i := range 18 {
		startRunner(w.store, fmt.Sprintf("llm-%d", i), "llm", freeAddress(w.ip(100+i)), 64, stream(9*time.Second, 6))
	}
	router := w.startRouters(1)[0]
	rest := ",2:50,3:20"
	if w.trouble {
		rest = strings.Repeat(",1:1", manyParts)
	}
	body := strings.Repeat("x", bodyBytes)
	peak := 0
	done := make(chan struct{})
	go func() {
		defer close(done)
		for end := time.Now().Add(30 * time.Second); time.Now().Before(end) && !router.hasEnded(); time.Sleep(100 * time.Millisecond) {
			if mb := router.residentMB(); mb > peak {
				peak = mb
				w.note("resident %d MB", mb)
			}
		}
	}()
	var wait sync.WaitGroup
	var statuses [600]atomic.Int64
	for member := range crowd {
		wait.Go(func() {
			for end := time.Now().Add(20 * time.Second); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
				c, err := net.DialTimeout("tcp4", router.front(), time.Second)
				if err != nil {
					continue
				}
				_, _ = io.WriteString(c, head("POST", "/chat/x", nextID(), 12*time.Second, "X-Model: m", "X-Token-Usage: 4000,40", fmt.Sprintf("X-Prompt-Prefix: %x:10%s", member+16, rest), fmt.Sprintf("Content-Length: %d", len(body)))+"\r\n"+body)
				_ = c.SetDeadline(time.Now().Add(13 * time.Second))
				got := readAnswer(bufio.NewReader(c))
				statuses[got.status].Add(1)
				_ = c.Close()
			}
		})
	}
	wait.Wait()
	<-done
	for status := range statuses {
		if n := statuses[status].Load(); n > 0 {
			w.note("answered %d: %d", status, n)
		}
	}
	w.note("peak %d MB of %d", peak, memoryMB)
	if router.hasEnded() || peak > memoryMB {
		return fmt.Sprintf("the process took %d MB on a machine with %d MB", peak, memoryMB)
	}
	return ""
}
