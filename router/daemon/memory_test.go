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

// BenchmarkStreamMemory measures the heap and stack memory that a stream in
// progress uses. It keeps the same streams open directly and through a router in
// one process and reports the difference per stream.
func BenchmarkStreamMemory(b *testing.B) {
	const (
		streams = 200

		// settleTime is long enough for an engine to end streams that nobody reads.
		settleTime = 2 * time.Second
	)
	router, address := startWithEngine(b, engine.Config{
		Models: []string{"model"}, Slots: streams, TokenLatency: 20 * time.Millisecond, PrefillPerBlock: time.Microsecond,
		OrphanTimeout: 500 * time.Millisecond,
	})
	direct, routed := newTarget(address), newTarget(router.CallerAddress())
	for b.Loop() {
		time.Sleep(settleTime)
		before := memoryInUse()
		directBytes := streamMemory(b, direct, streams) - before
		time.Sleep(settleTime)
		before = memoryInUse()
		routedBytes := streamMemory(b, routed, streams) - before
		b.ReportMetric(float64(routedBytes-directBytes)/streams, "bytes/stream")
	}
}

// memoryInUse returns the bytes of live heap and of stacks.
func memoryInUse() int64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc + m.StackInuse)
}

// streamMemory opens streams, measures the memory in use once each has received
// its first byte, and cancels them.
func streamMemory(b *testing.B, t *target, streams int) int64 {
	b.Helper()
	const tokens = 400
	ctx, cancel := context.WithCancel(b.Context())
	var started, ended sync.WaitGroup
	started.Add(streams)
	for n := range streams {
		ended.Go(func() {
			request, err := http.NewRequestWithContext(ctx, http.MethodPost, t.url, strings.NewReader(chatBody(n, tokens)))
			if err != nil {
				b.Error(err)
				started.Done()
				return
			}
			request.Header.Set("Authorization", "Bearer team-key")
			response, err := t.client.Do(request)
			if err != nil {
				b.Error(err)
				started.Done()
				return
			}
			defer func() { _ = response.Body.Close() }()
			_, _ = io.ReadFull(response.Body, make([]byte, 1))
			started.Done()
			_, _ = io.Copy(io.Discard, response.Body)
		})
	}
	started.Wait()
	bytes := memoryInUse()
	cancel()
	ended.Wait()
	return bytes
}
