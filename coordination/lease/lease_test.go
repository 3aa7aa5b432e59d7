package lease_test

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"
	"pgregory.net/rapid"

	"snipetally.example/coordination/bubble"
	"snipetally.example/coordination/lease"
	"snipetally.example/coordination/seeds"
	"snipetally.example/coordination/table"
	"snipetally.example/coordination/table/memory"
)

func init() { seeds.Fix() }

func TestElapsedTimeUsesBothClocks(t *testing.T) {
	g := gomega.NewWithT(t)
	start := lease.ReadClocks()
	suspended := lease.ClockReading{Monotonic: start.Monotonic + time.Second, Wall: start.Wall.Add(time.Hour)}
	setBack := lease.ClockReading{Monotonic: start.Monotonic + time.Minute, Wall: start.Wall.Add(-time.Hour)}
	g.Expect(start.MaxElapsed(suspended)).To(gomega.Equal(time.Hour))
	g.Expect(start.MaxElapsed(setBack)).To(gomega.Equal(time.Minute))
	g.Expect(start.MinElapsed(suspended)).To(gomega.Equal(time.Second))
	g.Expect(start.MinElapsed(setBack)).To(gomega.Equal(-time.Hour))
}

func TestSuccessorWaitsUntilAnUnchangedRowExpires(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		tab := memory.New()
		first, err := lease.NewManager(tab, lease.Config{Holder: "a"}).Acquire(t.Context(), "orders")
		g.Expect(err).NotTo(gomega.HaveOccurred())
		time.Sleep(5 * time.Second)
		g.Expect(first.Renew(t.Context())).To(gomega.Succeed())
		renewed := time.Now()
		next, err := lease.NewManager(tab, lease.Config{Holder: "b"}).Acquire(t.Context(), "orders")
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(time.Since(renewed)).To(gomega.BeNumerically(">=", 12*time.Second))
		g.Expect(next.Fence()).To(gomega.BeNumerically(">", first.Fence()))
		g.Expect(next.PredecessorsSettled()).To(gomega.BeTrue())
		g.Expect(next.ConfirmHeld(t.Context())).To(gomega.Succeed())
		g.Expect(first.ConfirmHeld(t.Context())).To(gomega.MatchError(lease.ErrLost))
		g.Expect(first.Renew(t.Context())).To(gomega.MatchError(lease.ErrLost))

		g.Expect(next.Release(t.Context())).To(gomega.Succeed())
		released := time.Now()
		third, err := lease.NewManager(tab, lease.Config{Holder: "a"}).Acquire(t.Context(), "orders")
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(time.Since(released)).To(gomega.BeZero())
		g.Expect(third.PredecessorsSettled()).To(gomega.BeFalse())
		time.Sleep(12 * time.Second)
		g.Expect(third.PredecessorsSettled()).To(gomega.BeTrue())
	})
}

func TestWorkEndsBeforeTheLeaseWhenTheTableHangs(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		tab := memory.New()
		var left time.Duration
		runner := lease.Runner[int]{Manager: lease.NewManager(tab, lease.Config{Holder: "a"}), Name: "orders",
			Work: func(ctx context.Context, l *lease.Lease) (int, error) {
				tab.SetFaults(func(table.Kind) memory.Fault { return memory.Fault{Mode: memory.Hanging} })
				<-ctx.Done()
				left = l.Remaining()
				return 7, nil
			}}
		result, err := runner.Run(t.Context())
		g.Expect(err).To(gomega.MatchError(lease.ErrLost))
		g.Expect(result).To(gomega.Equal(7))
		g.Expect(left).To(gomega.BeNumerically(">=", 2*time.Second))
	})
}

// command is a command as it arrived at a server.
type command struct {
	fence uint64
	at    time.Time
}

// commandLog records the commands that two servers accepted: one that checks
// fencing tokens, and one that does not.
type commandLog struct {
	mu           sync.Mutex
	highestFence uint64
	accepted     []command
	unchecked    []command
}

// add records the arrival of a command at both servers. The server that does
// not check fencing tokens gets commands only from a holder whose lease is
// settled.
func (l *commandLog) add(fence uint64, settled bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if fence >= l.highestFence {
		l.highestFence = fence
		l.accepted = append(l.accepted, command{fence, time.Now()})
	}
	if settled {
		l.unchecked = append(l.unchecked, command{fence, time.Now()})
	}
}

// nonDecreasing reports whether no command has a lower fencing token than the
// one before it.
func nonDecreasing(commands []command) bool {
	for i := 1; i < len(commands); i++ {
		if commands[i].fence < commands[i-1].fence {
			return false
		}
	}
	return true
}

// TestNoCommandOfAFormerHolderArrivesAfterTheSuccessors runs holders that pause
// at any point, including between the check of the lease and the sending of a
// command, where the pause is at most the margin, and whose commands are in
// transit for at most the margin.
func TestNoCommandOfAFormerHolderArrivesAfterTheSuccessors(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		drawDurations := func(label string, values ...int) []time.Duration {
			drawn := rapid.SliceOfN(rapid.SampledFrom(values), 1, 12).Draw(rt, label)
			list := make([]time.Duration, 0, len(drawn))
			for _, v := range drawn {
				list = append(list, time.Duration(v)*time.Millisecond)
			}
			return list
		}
		pauses := drawDurations("pauses", 0, 100, 1500, 6000, 9900, 15000, 40000)
		transits := drawDurations("transits", 0, 10, 900, 1900)
		delays := drawDurations("delays", 0, 0, 5, 400, 2500)
		modes := rapid.SliceOfN(rapid.IntRange(0, 4), 0, 60).Draw(rt, "modes")
		renewals := rapid.SliceOfN(rapid.Bool(), 1, 12).Draw(rt, "renewals")
		holders := rapid.IntRange(2, 3).Draw(rt, "holders")
		bubble.Run(t, rt, func(t *testing.T) (failure string) {
			tab := memory.New()
			var calls, draws atomic.Int64
			tab.SetFaults(func(table.Kind) memory.Fault {
				n := int(calls.Add(1)) - 1
				fault := memory.Fault{Delay: delays[n%len(delays)]}
				if n < len(modes) {
					fault.Mode = memory.Mode(modes[n])
				}
				return fault
			})
			var log commandLog
			ctx, cancel := context.WithTimeout(t.Context(), 2*time.Minute)
			defer cancel()
			var group sync.WaitGroup
			for h := range holders {
				group.Go(func() {
					manager := lease.NewManager(tab, lease.Config{Holder: fmt.Sprint(h), PollInterval: 100 * time.Millisecond})
					for ctx.Err() == nil {
						holdLease(ctx, manager, &log, func() (time.Duration, time.Duration, bool) {
							n := int(draws.Add(1))
							return pauses[n%len(pauses)], transits[n%len(transits)], renewals[n%len(renewals)]
						})
						// Without this sleep, virtual time would not advance if no
						// drawn step takes any time, and the test would not end.
						time.Sleep(time.Millisecond)
					}
				})
			}
			group.Wait()
			time.Sleep(time.Minute)
			log.mu.Lock()
			defer log.mu.Unlock()
			if !nonDecreasing(log.accepted) {
				failure = "the server that checks fencing tokens accepted an old command"
			}
			if !nonDecreasing(log.unchecked) {
				failure = fmt.Sprintf("a command of a former holder arrived after the successor's: %v", log.unchecked)
			}
			return failure
		})
	})
}

// holdLease acquires the lease, pauses and sends commands. A pause stops the
// whole process, so that it does not renew the lease meanwhile. A holder that
// does not renew after a command exits without a release.
func holdLease(ctx context.Context, m *lease.Manager, log *commandLog, draw func() (pause, transit time.Duration, renew bool)) {
	l, err := m.Acquire(ctx, "orders")
	if err != nil {
		return
	}
	for range 4 {
		pause, transit, renew := draw()
		time.Sleep(pause)
		if !l.HeldFor(0) {
			return
		}
		fence, settled := l.Fence(), l.PredecessorsSettled()
		time.AfterFunc(transit, func() { log.add(fence, settled) })
		if !renew {
			return
		}
		_ = l.Renew(ctx)
	}
	_ = l.Release(ctx)
}
