package lease_test

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"pgregory.net/rapid"

	"snipetally.example/coordination/bubble"
	"snipetally.example/coordination/lease"
	"snipetally.example/coordination/table"
	"snipetally.example/coordination/table/memory"
)

// TestWorkIsDoneByOneRunnerAtATime runs runners through outages of the table.
// Each must stop its work before another starts, and work must continue once
// the table is available again.
func TestWorkIsDoneByOneRunnerAtATime(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		fault := rapid.Custom(func(rt *rapid.T) memory.Fault {
			return memory.Fault{
				Mode:  memory.Mode(rapid.IntRange(0, 4).Draw(rt, "mode")),
				Delay: time.Duration(rapid.SampledFrom([]int{0, 5, 900, 4000}).Draw(rt, "delay")) * time.Millisecond,
			}
		})
		var faults []memory.Fault
		for range rapid.IntRange(0, 5).Draw(rt, "runs") {
			repeated := fault.Draw(rt, "fault")
			for range rapid.SampledFrom([]int{1, 2, 10, 40}).Draw(rt, "length") {
				faults = append(faults, repeated)
			}
		}
		workSeconds := rapid.SliceOfN(rapid.SampledFrom([]int{1, 3, 30, 300}), 1, 5).Draw(rt, "work seconds")
		bubble.Run(t, rt, func(t *testing.T) (failure string) {
			tab := memory.New()
			var calls, working, runs atomic.Int64
			var overlap atomic.Bool
			tab.SetFaults(func(table.Kind) memory.Fault {
				if n := int(calls.Add(1)) - 1; n < len(faults) {
					return faults[n]
				}
				return memory.Fault{}
			})
			work := func(ctx context.Context, _ *lease.Lease) (struct{}, error) {
				if working.Add(1) > 1 {
					overlap.Store(true)
				}
				defer working.Add(-1)
				n := int(runs.Add(1))
				timer := time.NewTimer(time.Duration(workSeconds[n%len(workSeconds)]) * time.Second)
				defer timer.Stop()
				select {
				case <-timer.C:
				case <-ctx.Done():
				}
				return struct{}{}, nil
			}
			ctx, cancel := context.WithTimeout(t.Context(), 8*time.Minute)
			defer cancel()
			var group sync.WaitGroup
			for k := range 3 {
				runner := lease.Runner[struct{}]{
					Manager: lease.NewManager(tab, lease.Config{Holder: fmt.Sprint(k)}), Name: "orders", Work: work,
				}
				group.Go(func() {
					for ctx.Err() == nil {
						_, _ = runner.Run(ctx)
						time.Sleep(time.Millisecond)
					}
				})
			}
			group.Wait()
			if overlap.Load() {
				failure = "two runners worked at the same time"
			}
			if runs.Load() == 0 {
				failure = "no runner worked in eight minutes"
			}
			return failure
		})
	})
}
