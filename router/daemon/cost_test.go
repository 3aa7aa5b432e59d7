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

// target is an endpoint whose cost a benchmark measures: the engine itself or the
// router.
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

// call sends a request and returns the time to the first byte and the number of
// bytes of the response body.
func (t *target) call(ctx context.Context, body string) (time.Duration, int64, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, t.url, strings.NewReader(body))
	if err != nil {
		return 0, 0, err
	}
	request.Header.Set("Authorization", "Bearer team-key")
	request.Header.Set("Content-Type", "application/json")
	start := time.Now()
	response, err := t.client.Do(request)
	if err != nil {
		return 0, 0, err
	}
	defer func() { _ = response.Body.Close() }()
	first := make([]byte, 1)
	if _, err := io.ReadFull(response.Body, first); err != nil {
		return 0, 0, err
	}
	took := time.Since(start)
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
// with that of a direct call. Direct and routed calls alternate over loopback.
func BenchmarkAddedLatency(b *testing.B) {
	router, address := startWithEngine(b, engine.Config{Models: []string{"model"}, TokenLatency: time.Microsecond, PrefillPerBlock: time.Microsecond})
	direct, routed := newTarget(address), newTarget(router.CallerAddress())
	const rounds, warmup = 3000, 300
	var directTimes, routedTimes []time.Duration
	for b.Loop() {
		directTimes, routedTimes = nil, nil
		for n := range rounds + warmup {
			d, _, err := direct.call(b.Context(), chatBody(n, 1))
			if err != nil {
				b.Fatal(err)
			}
			r, _, err := routed.call(b.Context(), chatBody(n, 1))
			if err != nil {
				b.Fatal(err)
			}
			if n >= warmup {
				directTimes, routedTimes = append(directTimes, d), append(routedTimes, r)
			}
		}
	}
	b.ReportMetric(quantile(directTimes, 0.5), "direct-p50-µs")
	b.ReportMetric(quantile(routedTimes, 0.5), "routed-p50-µs")
	b.ReportMetric(quantile(directTimes, 0.99), "direct-p99-µs")
	b.ReportMetric(quantile(routedTimes, 0.99), "routed-p99-µs")
	b.ReportMetric(quantile(routedTimes, 0.5)-quantile(directTimes, 0.5), "added-p50-µs")
	b.ReportMetric(quantile(routedTimes, 0.99)-quantile(directTimes, 0.99), "added-p99-µs")
}

// BenchmarkDataPath measures CPU time, allocations and bytes per streamed token
// with many concurrent streams. It runs the same streams directly and through a
// router in one process and reports the difference, so the results include the
// router and the client side of the second hop.
func BenchmarkDataPath(b *testing.B) {
	const streams = 200
	for _, tokens := range []int{10, 400} {
		b.Run(fmt.Sprintf("tokens=%d", tokens), func(b *testing.B) {
			router, address := startWithEngine(b, engine.Config{
				Models: []string{"model"}, Slots: streams, TokenLatency: 5 * time.Millisecond, PrefillPerBlock: time.Microsecond,
			})
			direct, routed := newTarget(address), newTarget(router.CallerAddress())
			runStreams(b, direct, streams, tokens)
			runStreams(b, routed, streams, tokens)
			var directCost, routedCost cost
			rounds := 0.0
			for b.Loop() {
				rounds++
				directCost.add(runStreams(b, direct, streams, tokens))
				routedCost.add(runStreams(b, routed, streams, tokens))
			}
			directCost.divide(rounds)
			routedCost.divide(rounds)
			addedCPU := (routedCost.cpu - directCost.cpu).Seconds() * 1e6
			b.ReportMetric(addedCPU/float64(streams*tokens), "added-cpu-µs/token")
			b.ReportMetric(addedCPU/streams, "added-cpu-µs/request")
			b.ReportMetric(float64(routedCost.allocations-directCost.allocations)/float64(streams*tokens), "added-allocs/token")
			b.ReportMetric(float64(routedCost.received)/float64(streams*tokens), "bytes/token")
			b.ReportMetric(float64(routedCost.received)/streams, "bytes/request")
		})
	}
}

// cost is the resource usage of the process during a run of streams.
type cost struct {
	cpu         time.Duration
	allocations uint64
	received    int64
}

// add adds the cost of another run.
func (c *cost) add(other cost) {
	c.cpu += other.cpu
	c.allocations += other.allocations
	c.received += other.received
}

// divide turns the sum over runs into the mean.
func (c *cost) divide(runs float64) {
	c.cpu = time.Duration(float64(c.cpu) / runs)
	c.allocations /= uint64(runs)
	c.received /= int64(runs)
}

// runStreams runs the streams concurrently and returns their cost.
func runStreams(b *testing.B, t *target, streams, tokens int) cost {
	b.Helper()
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	start := cpuTime()
	var group sync.WaitGroup
	var mu sync.Mutex
	var total int64
	for n := range streams {
		group.Go(func() {
			_, bytes, err := t.call(b.Context(), chatBody(n, tokens))
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
		cpu:         cpuTime() - start,
		allocations: after.Mallocs - before.Mallocs,
		received:    total,
	}
}

// cpuTime returns the CPU time of the process so far.
func cpuTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
