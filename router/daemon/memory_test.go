package daemon_test

import (
	"context"
	"io"
	"net/http"
	"runtime"
	"strings"
	"sync"
	"testing"
	"time"

	"snipetally.example/standin/engine"
)

// BenchmarkStreamMemory measures the heap and the stacks that a stream in
// progress holds. It holds the same streams directly and through a router in
// one process and reports the difference for one.
func BenchmarkStreamMemory(b *testing.B) {
	const (
		streams = 200

		// settle is the time in which an engine ends what nobody reads.
		settle = 2 * time.Second
	)
	router, address := startWith(b, engine.Config{
		Models: []string{"model"}, Slots: streams, TokenLatency: 20 * time.Millisecond, PrefillPerBlock: time.Microsecond,
		OrphanTimeout: 500 * time.Millisecond,
	})
	direct, routed := newTarget(address), newTarget(router.CallerAddress())
	for b.Loop() {
		time.Sleep(settle)
		before := held()
		plain := hold(b, direct, streams) - before
		time.Sleep(settle)
		before = held()
		full := hold(b, routed, streams) - before
		b.ReportMetric(float64(full-plain)/streams, "bytes/stream")
	}
}

// held returns the bytes of live heap and of stacks.
func held() int64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc + m.StackInuse)
}

// hold opens streams, returns the memory in use once each has its first byte,
// and gives them up.
func hold(b *testing.B, c *target, streams int) int64 {
	b.Helper()
	const tokens = 400
	ctx, cancel := context.WithCancel(b.Context())
	var begun, ended sync.WaitGroup
	begun.Add(streams)
	for n := range streams {
		ended.Go(func() {
			request, err := http.NewRequestWithContext(ctx, http.MethodPost, c.url, strings.NewReader(chatBody(n, tokens)))
			if err != nil {
				b.Error(err)
				begun.Done()
				return
			}
			request.Header.Set("Authorization", "Bearer team-key")
			response, err := c.client.Do(request)
			if err != nil {
				b.Error(err)
				begun.Done()
				return
			}
			defer func() { _ = response.Body.Close() }()
			_, _ = io.ReadFull(response.Body, make([]byte, 1))
			begun.Done()
			_, _ = io.Copy(io.Discard, response.Body)
		})
	}
	begun.Wait()
	bytes := held()
	cancel()
	ended.Wait()
	return bytes
}
