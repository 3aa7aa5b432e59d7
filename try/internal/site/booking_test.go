package site_test

import (
	"context"
	"fmt"
	"io"
	"slices"
	"testing"
	"time"

	"snipetally.example/try/internal/site"
	"snipetally.example/try/internal/traffic"
)

// BenchmarkBookingAgainstLookup compares the latency of a booking, which is
// recorded before it is sent, with that of a lookup of the same service, which is
// not. It sends both alternately over loopback, one at a time, and uses the
// routers in turn.
func BenchmarkBookingAgainstLookup(b *testing.B) {
	ctx, cancel := context.WithCancel(context.Background())
	s, err := site.New(ctx, "", io.Discard)
	if err != nil {
		b.Fatal(err)
	}
	done := make(chan error, 1)
	go func() { done <- s.Run(ctx) }()
	defer func() {
		cancel()
		if err := <-done; err != nil {
			b.Error(err)
		}
	}()
	var addresses []string
	for _, router := range s.Routers {
		for !router.Ready() {
			time.Sleep(time.Millisecond)
		}
		addresses = append(addresses, router.CallerAddress())
	}
	generator := traffic.NewGenerator(site.TeamKey, addresses...)
	const rounds, warmup = 600, 60
	latencies := map[string][]float64{}
	for b.Loop() {
		clear(latencies)
		for n := range rounds + warmup {
			for _, class := range []string{"lookup", "booking"} {
				stream := traffic.Stream{Class: class, Team: "plots", Service: "plots"}
				result := generator.SendRequest(ctx, stream, addresses[n%len(addresses)], fmt.Sprintf("%s-%d-%d", class, b.N, n))
				if !result.Completed {
					b.Fatal(result.ErrorCode, result.RunState, result.Err)
				}
				if n >= warmup {
					latencies[class] = append(latencies[class], result.FirstToken.Seconds()*1000)
				}
			}
		}
	}
	for class, samples := range latencies {
		slices.Sort(samples)
		b.ReportMetric(samples[len(samples)/2], class+"-p50-ms")
		b.ReportMetric(samples[len(samples)*99/100], class+"-p99-ms")
	}
}
