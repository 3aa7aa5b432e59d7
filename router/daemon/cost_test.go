package daemon_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"runtime"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"snipetally.example/standin/engine"
)

// target is one side of a comparison.
type target struct {
	url    string
	client *http.Client
}

func newTarget(address string) *target {
	const idle = 512
	return &target{
		url:    "http://" + address + "/v1/chat/completions",
		client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: idle, MaxConnsPerHost: idle}},
	}
}

// call sends a request and returns the time to the first byte and the bytes of
// the answer.
func (c *target) call(ctx context.Context, body string) (time.Duration, int64, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, c.url, strings.NewReader(body))
	if err != nil {
		return 0, 0, err
	}
	request.Header.Set("Authorization", "Bearer team-key")
	request.Header.Set("Content-Type", "application/json")
	begun := time.Now()
	response, err := c.client.Do(request)
	if err != nil {
		return 0, 0, err
	}
	defer func() { _ = response.Body.Close() }()
	first := make([]byte, 1)
	if _, err := io.ReadFull(response.Body, first); err != nil {
		return 0, 0, err
	}
	took := time.Since(begun)
	n, err := io.Copy(io.Discard, response.Body)
	if response.StatusCode != http.StatusOK && err == nil {
		err = fmt.Errorf("status %d", response.StatusCode)
	}
	return took, n + 1, err
}

func chatBody(n, tokens int) string {
	return fmt.Sprintf(`{"model":"model","stream":true,"max_tokens":%d,"messages":[{"role":"user","content":"request %d"}]}`, tokens, n)
}

func quantile(times []time.Duration, q float64) float64 {
	slices.Sort(times)
	return float64(times[int(q*float64(len(times)-1))].Microseconds())
}

// BenchmarkAddedLatency compares the time to the first byte through a router
// with that of a direct call, in turns over loopback.
func BenchmarkAddedLatency(b *testing.B) {
	router, address := startWith(b, engine.Config{Models: []string{"model"}, TokenLatency: time.Microsecond, PrefillPerBlock: time.Microsecond})
	direct, routed := newTarget(address), newTarget(router.CallerAddress())
	const rounds, warm = 3000, 300
	var plain, added []time.Duration
	for b.Loop() {
		plain, added = nil, nil
		for n := range rounds + warm {
			d, _, err := direct.call(b.Context(), chatBody(n, 1))
			if err != nil {
				b.Fatal(err)
			}
			r, _, err := routed.call(b.Context(), chatBody(n, 1))
			if err != nil {
				b.Fatal(err)
			}
			if n >= warm {
				plain, added = append(plain, d), append(added, r)
			}
		}
	}
	b.ReportMetric(quantile(plain, 0.5), "direct-p50-µs")
	b.ReportMetric(quantile(added, 0.5), "routed-p50-µs")
	b.ReportMetric(quantile(plain, 0.99), "direct-p99-µs")
	b.ReportMetric(quantile(added, 0.99), "routed-p99-µs")
	b.ReportMetric(quantile(added, 0.5)-quantile(plain, 0.5), "added-p50-µs")
	b.ReportMetric(quantile(added, 0.99)-quantile(plain, 0.99), "added-p99-µs")
}

// BenchmarkDataPath measures processor time, allocations and bytes for each
// streamed token, with many streams at once. It runs the same streams directly
// and through a router in one process and reports the difference, so that the
// figures hold the router and the second hop of the client's side.
func BenchmarkDataPath(b *testing.B) {
	const streams = 200
	for _, tokens := range []int{10, 400} {
		b.Run(fmt.Sprintf("tokens=%d", tokens), func(b *testing.B) {
			router, address := startWith(b, engine.Config{
				Models: []string{"model"}, Slots: streams, TokenLatency: 5 * time.Millisecond, PrefillPerBlock: time.Microsecond,
			})
			direct, routed := newTarget(address), newTarget(router.CallerAddress())
			load(b, direct, streams, tokens)
			load(b, routed, streams, tokens)
			var plain, full cost
			rounds := 0.0
			for b.Loop() {
				rounds++
				plain.add(load(b, direct, streams, tokens))
				full.add(load(b, routed, streams, tokens))
			}
			plain.divide(rounds)
			full.divide(rounds)
			processor := (full.processor - plain.processor).Seconds() * 1e6
			b.ReportMetric(processor/float64(streams*tokens), "added-cpu-µs/token")
			b.ReportMetric(processor/streams, "added-cpu-µs/request")
			b.ReportMetric(float64(full.allocations-plain.allocations)/float64(streams*tokens), "added-allocs/token")
			b.ReportMetric(float64(full.answered)/float64(streams*tokens), "bytes/token")
			b.ReportMetric(float64(full.answered)/streams, "bytes/request")
		})
	}
}

// cost is what a load took of the process.
type cost struct {
	processor   time.Duration
	allocations uint64
	answered    int64
}

// add adds the cost of another load.
func (c *cost) add(other cost) {
	c.processor += other.processor
	c.allocations += other.allocations
	c.answered += other.answered
}

// divide makes the sum over loads the mean of one.
func (c *cost) divide(loads float64) {
	c.processor = time.Duration(float64(c.processor) / loads)
	c.allocations /= uint64(loads)
	c.answered /= int64(loads)
}

// load runs the streams at once and returns what they took.
func load(b *testing.B, c *target, streams, tokens int) cost {
	b.Helper()
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	begun := processorTime()
	var group sync.WaitGroup
	var mu sync.Mutex
	var total int64
	for n := range streams {
		group.Go(func() {
			_, bytes, err := c.call(b.Context(), chatBody(n, tokens))
			mu.Lock()
			defer mu.Unlock()
			total += bytes
			if err != nil {
				b.Error(err)
			}
		})
	}
	group.Wait()
	runtime.ReadMemStats(&after)
	return cost{
		processor:   processorTime() - begun,
		allocations: after.Mallocs - before.Mallocs,
		answered:    total,
	}
}

// processorTime returns the processor time of the process so far.
func processorTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
