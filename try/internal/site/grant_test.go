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

// BenchmarkGrant compares, in turns over loopback, a booking, which is recorded
// before it is sent, with a lookup of the same service, which is not. Calls go to
// a router in turn, one at a time.
func BenchmarkGrant(b *testing.B) {
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
	load := traffic.NewGenerator(site.TeamKey, addresses...)
	const rounds, warm = 600, 60
	times := map[string][]float64{}
	for b.Loop() {
		clear(times)
		for n := range rounds + warm {
			for _, class := range []string{"lookup", "booking"} {
				stream := traffic.Stream{Class: class, Team: "plots", Service: "plots"}
				result := load.SendRequest(ctx, stream, addresses[n%len(addresses)], fmt.Sprintf("%s-%d-%d", class, b.N, n))
				if !result.Completed {
					b.Fatal(result.ErrorCode, result.RunState, result.Err)
				}
				if n >= warm {
					times[class] = append(times[class], result.FirstToken.Seconds()*1000)
				}
			}
		}
	}
	for class, list := range times {
		slices.Sort(list)
		b.ReportMetric(list[len(list)/2], class+"-p50-ms")
		b.ReportMetric(list[len(list)*99/100], class+"-p99-ms")
	}
}
