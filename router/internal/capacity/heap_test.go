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

// heap returns the bytes of live heap.
func heap() uint64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// grown runs build and returns how much the live heap grew while its result is
// held.
func grown(build func() any) float64 {
	before := heap()
	held := build()
	after := heap()
	runtime.KeepAlive(held)
	return float64(after) - float64(before)
}

func documents(tb testing.TB, size capacity.Size) *revision.Snapshot {
	tb.Helper()
	changes, err := document.Encode(capacity.Plan(size))
	if err != nil {
		tb.Fatal(err)
	}
	s := &revision.Snapshot{Revision: 1, Documents: make(map[string]revision.Document, len(changes))}
	for _, change := range changes {
		s.Documents[change.Key] = revision.Document{Key: change.Key, Value: change.Value, Revision: 1}
	}
	return s
}

func snapshot(tb testing.TB, decoder *document.Decoder, s *revision.Snapshot) *fleet.Snapshot {
	tb.Helper()
	form, err := decoder.Decode(s)
	if err != nil {
		tb.Fatal(err)
	}
	plan, problems := document.Convert(form)
	if len(problems) > 0 {
		tb.Fatal(problems)
	}
	return fleet.New(s.Revision, plan)
}

// BenchmarkHeap measures the live heap of the parts of a router that grow with
// the plan.
func BenchmarkHeap(b *testing.B) {
	for _, size := range capacity.Sizes() {
		b.Run(size.String(), func(b *testing.B) {
			for b.Loop() {
				measureHeap(b, size)
			}
		})
	}
}

func measureHeap(b *testing.B, size capacity.Size) {
	b.Helper()
	const mega = 1e-6
	report := func(part string, build func() any) {
		b.ReportMetric(grown(build)*mega, part+"-MB")
	}
	var s *revision.Snapshot
	report("documents", func() any { s = documents(b, size); return s })
	var decoder document.Decoder
	report("parsed", func() any { _, _ = decoder.Decode(s); return &decoder })
	var f *fleet.Snapshot
	report("fleet", func() any { f = snapshot(b, &decoder, s); return f })
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
	report("limits", func() any { return limiter(size, f) })
	report("prefixes", func() any { return prefixes(schedule.PrefixLimit) })
	report("metrics", func() any { return registry(size) })
	runtime.KeepAlive(s)
	runtime.KeepAlive(f)
	runtime.KeepAlive(&decoder)
}

// limiter returns a limiter of a router that serves every team.
func limiter(size capacity.Size, f *fleet.Snapshot) *limit.Limiter {
	l := limit.NewLimiter("router-0")
	l.SetRouters(routers(size.Routers))
	now := time.Unix(1000, 0)
	for _, team := range f.Teams {
		l.Allow(now, team, 100)
	}
	l.EndPeriod(now)
	return l
}

func routers(n int) []string {
	names := make([]string, n)
	for i := range names {
		names[i] = fmt.Sprintf("router-%d", i)
	}
	return names
}

// prefixes returns a belief that is full.
func prefixes(n int) *prefix.Index {
	belief := prefix.NewIndex(n)
	now := time.Unix(1000, 0)
	for i := range n {
		for server := range 3 {
			belief.Add(now, uint64(i), fmt.Sprintf("server-%05d", server), 1)
		}
	}
	return belief
}

// registry returns the metrics of six classes after the samples of their timers
// are full. Teams have none.
func registry(capacity.Size) metrics.Registry {
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
