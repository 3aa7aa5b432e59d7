package capacity_test

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"

	"snipetally.example/coordination/revision"
	"snipetally.example/router/internal/capacity"
	"snipetally.example/router/internal/document"
	"snipetally.example/router/internal/fleet"
	"snipetally.example/router/internal/limit"
	"snipetally.example/router/internal/link"
	"snipetally.example/router/internal/prefix"
	"snipetally.example/router/internal/schedule"
)

// liveHeap returns the size of the live heap in bytes.
func liveHeap() uint64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// heapGrowth runs build and returns how many bytes the live heap grew while its
// result is held.
func heapGrowth(build func() any) float64 {
	before := liveHeap()
	held := build()
	after := liveHeap()
	runtime.KeepAlive(held)
	return float64(after) - float64(before)
}

// encodePlan returns the revision whose documents are the plan of a size.
func encodePlan(tb testing.TB, size capacity.Size) *revision.Snapshot {
	tb.Helper()
	s, err := capacity.Encode(capacity.Plan(size))
	if err != nil {
		tb.Fatal(err)
	}
	return s
}

// decodeSnapshot decodes a revision into a fleet snapshot.
func decodeSnapshot(tb testing.TB, decoder *document.Decoder, s *revision.Snapshot) *fleet.Snapshot {
	tb.Helper()
	parsed, err := decoder.Decode(s)
	if err != nil {
		tb.Fatal(err)
	}
	plan, problems := document.Convert(parsed)
	if len(problems) > 0 {
		tb.Fatal(problems)
	}
	return fleet.New(s.Revision, plan)
}

// BenchmarkHeap measures the live heap of those parts of a router that grow
// with the plan.
func BenchmarkHeap(b *testing.B) {
	for _, size := range capacity.Sizes() {
		b.Run(size.String(), func(b *testing.B) {
			for b.Loop() {
				reportHeap(b, size)
			}
		})
	}
}

// reportHeap reports the heap growth of each part as a metric in MB.
func reportHeap(b *testing.B, size capacity.Size) {
	b.Helper()
	const megabytes = 1e-6
	report := func(part string, build func() any) {
		b.ReportMetric(heapGrowth(build)*megabytes, part+"-MB")
	}
	var s *revision.Snapshot
	report("documents", func() any { s = encodePlan(b, size); return s })
	var decoder document.Decoder
	report("parsed", func() any { _, _ = decoder.Decode(s); return &decoder })
	var f *fleet.Snapshot
	report("fleet", func() any { f = decodeSnapshot(b, &decoder, s); return f })
	report("gate", func() any {
		gate := schedule.NewGateWithOptions(schedule.Options{Router: "r0"})
		gate.Apply(f)
		return gate
	})
	report("links", func() any {
		pool := link.NewPool()
		for _, server := range f.Servers {
			pool.Get(server.Address)
		}
		return pool
	})
	report("limits", func() any { return activeLimiter(size, f) })
	report("prefixes", func() any { return fullPrefixIndex(schedule.PrefixLimit) })
	report("metrics", func() any { return fullRegistry(size) })
	runtime.KeepAlive(s)
	runtime.KeepAlive(f)
	runtime.KeepAlive(&decoder)
}

// activeLimiter returns the limiter of a router that every team calls.
func activeLimiter(size capacity.Size, f *fleet.Snapshot) *limit.Limiter {
	l := limit.NewLimiter("router-0")
	l.SetRouters(routerNames(size.Routers))
	now := time.Unix(1000, 0)
	for _, team := range f.Teams {
		l.Allow(now, team, 100)
	}
	l.EndPeriod(now)
	return l
}

func routerNames(n int) []string {
	names := make([]string, n)
	for i := range names {
		names[i] = fmt.Sprintf("router-%d", i)
	}
	return names
}

// fullPrefixIndex returns a prefix index filled to its limit of n.
func fullPrefixIndex(n int) *prefix.Index {
	index := prefix.NewIndex(n)
	now := time.Unix(1000, 0)
	for i := range n {
		for server := range 3 {
			index.Add(now, uint64(i), fmt.Sprintf("server-%05d", server), 1)
		}
	}
	return index
}

// fullRegistry returns the metrics of six classes, with the sample reservoirs
// of the timers full. Teams have no metrics.
func fullRegistry(capacity.Size) metrics.Registry {
	const classes, timers, counters, samples = 6, 2, 12, 2000
	r := metrics.NewRegistry()
	for class := range classes {
		for n := range timers {
			timer := metrics.GetOrRegisterTimer(fmt.Sprintf("timer.%d.%d", n, class), r)
			for range samples {
				timer.Update(time.Millisecond)
			}
		}
		for n := range counters {
			metrics.GetOrRegisterCounter(fmt.Sprintf("counter.%d.%d", n, class), r)
		}
	}
	return r
}
