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

	"snipetally.example/coordination/lease"
	"snipetally.example/coordination/seeds"
	"snipetally.example/coordination/table"
	"snipetally.example/coordination/table/memory"
)

func init() { seeds.Fix() }

func TestEitherClockEndsALease(t *testing.T) {
	g := gomega.NewWithT(t)
	start := lease.ReadClocks()
	suspended := lease.ClockReading{Monotonic: start.Monotonic + time.Second, Wall: start.Wall.Add(time.Hour)}
	setBack := lease.ClockReading{Monotonic: start.Monotonic + time.Minute, Wall: start.Wall.Add(-time.Hour)}
	g.Expect(start.MaxElapsed(suspended)).To(gomega.Equal(time.Hour))
	g.Expect(start.MaxElapsed(setBack)).To(gomega.Equal(time.Minute))
	g.Expect(start.MinElapsed(suspended)).To(gomega.Equal(time.Second))
	g.Expect(start.MinElapsed(setBack)).To(gomega.Equal(-time.Hour))
}

func TestSuccessorWaitsOutAnUnchangedRow(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		tab := memory.New()
		first, err := lease.NewManager(tab, lease.Settings{Holder: "a"}).Acquire(t.Context(), "orders")
		g.Expect(err).NotTo(gomega.HaveOccurred())
		time.Sleep(5 * time.Second)
		g.Expect(first.Renew(t.Context())).To(gomega.Succeed())
		renewed := time.Now()
		next, err := lease.NewManager(tab, lease.Settings{Holder: "b"}).Acquire(t.Context(), "orders")
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(time.Since(renewed)).To(gomega.BeNumerically(">=", 12*time.Second))
		g.Expect(next.Fence()).To(gomega.BeNumerically(">", first.Fence()))
		g.Expect(next.Settled()).To(gomega.BeTrue())
		g.Expect(next.Confirm(t.Context())).To(gomega.Succeed())
		g.Expect(first.Confirm(t.Context())).To(gomega.MatchError(lease.ErrLost))
		g.Expect(first.Renew(t.Context())).To(gomega.MatchError(lease.ErrLost))

		g.Expect(next.Release(t.Context())).To(gomega.Succeed())
		released := time.Now()
		third, err := lease.NewManager(tab, lease.Settings{Holder: "a"}).Acquire(t.Context(), "orders")
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(time.Since(released)).To(gomega.BeZero())
		g.Expect(third.Settled()).To(gomega.BeFalse())
		time.Sleep(12 * time.Second)
		g.Expect(third.Settled()).To(gomega.BeTrue())
	})
}

func TestWorkEndsBeforeTheLeaseWhenTheTableHangs(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		tab := memory.New()
		var left time.Duration
		keeper := lease.Runner[int]{Manager: lease.NewManager(tab, lease.Settings{Holder: "a"}), Name: "orders",
			Work: func(ctx context.Context, l *lease.Lease) (int, error) {
				tab.SetFaults(func(table.Kind) memory.Fault { return memory.Fault{Mode: memory.Hanging} })
				<-ctx.Done()
				left = l.Remaining()
				return 7, nil
			}}
		result, err := keeper.Run(t.Context())
		g.Expect(err).To(gomega.MatchError(lease.ErrLost))
		g.Expect(result).To(gomega.Equal(7))
		g.Expect(left).To(gomega.BeNumerically(">=", 2*time.Second))
	})
}

// act is one order as a server saw it.
type act struct {
	fence uint64
	at    time.Time
}

// world counts the orders that servers took.
type world struct {
	mu      sync.Mutex
	highest uint64
	taken   []act
	naive   []act
}

// order arrives at a server that checks fencing numbers and at one that does
// not, which is only sent orders by a settled holder.
func (w *world) order(fence uint64, settled bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if fence >= w.highest {
		w.highest = fence
		w.taken = append(w.taken, act{fence, time.Now()})
	}
	if settled {
		w.naive = append(w.naive, act{fence, time.Now()})
	}
}

// rising reports whether no number follows a higher one.
func rising(acts []act) bool {
	for i := 1; i < len(acts); i++ {
		if acts[i].fence < acts[i-1].fence {
			return false
		}
	}
	return true
}

// TestNoStaleOrderFollowsTheSuccessors runs holders that pause anywhere, also
// between the check of the lease and the order, by up to the margin there, and
// whose orders travel within the margin.
func TestNoStaleOrderFollowsTheSuccessors(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		millis := func(label string, values ...int) []time.Duration {
			drawn := rapid.SliceOfN(rapid.SampledFrom(values), 1, 12).Draw(rt, label)
			list := make([]time.Duration, 0, len(drawn))
			for _, v := range drawn {
				list = append(list, time.Duration(v)*time.Millisecond)
			}
			return list
		}
		pauses := millis("pauses", 0, 100, 1500, 6000, 9900, 15000, 40000)
		travel := millis("travel", 0, 10, 900, 1900)
		delays := millis("delays", 0, 0, 5, 400, 2500)
		modes := rapid.SliceOfN(rapid.IntRange(0, 4), 0, 60).Draw(rt, "modes")
		renewals := rapid.SliceOfN(rapid.Bool(), 1, 12).Draw(rt, "renewals")
		holders := rapid.IntRange(2, 3).Draw(rt, "holders")
		var failure string
		synctest.Test(t, func(t *testing.T) {
			tab := memory.New()
			var calls, turns atomic.Int64
			tab.SetFaults(func(table.Kind) memory.Fault {
				n := int(calls.Add(1)) - 1
				fault := memory.Fault{Delay: delays[n%len(delays)]}
				if n < len(modes) {
					fault.Mode = memory.Mode(modes[n])
				}
				return fault
			})
			var w world
			ctx, cancel := context.WithTimeout(t.Context(), 2*time.Minute)
			defer cancel()
			var group sync.WaitGroup
			for h := range holders {
				group.Go(func() {
					manager := lease.NewManager(tab, lease.Settings{Holder: fmt.Sprint(h), PollInterval: 100 * time.Millisecond})
					for ctx.Err() == nil {
						tenure(ctx, manager, &w, func() (time.Duration, time.Duration, bool) {
							n := int(turns.Add(1))
							return pauses[n%len(pauses)], travel[n%len(travel)], renewals[n%len(renewals)]
						})
						// Without it a history in which nothing takes time would
						// never come to its end.
						time.Sleep(time.Millisecond)
					}
				})
			}
			group.Wait()
			time.Sleep(time.Minute)
			w.mu.Lock()
			defer w.mu.Unlock()
			if !rising(w.taken) {
				failure = "a checking server took an old order"
			}
			if !rising(w.naive) {
				failure = fmt.Sprintf("a stale order came after the successor's: %v", w.naive)
			}
		})
		if failure != "" {
			rt.Fatalf("%s", failure)
		}
	})
}

// tenure acquires the lease, acts, pauses and acts again. The process is paused
// as a whole, so that it does not renew meanwhile. A holder that does not renew
// after an order is gone without a release.
func tenure(ctx context.Context, m *lease.Manager, w *world, draw func() (pause, travel time.Duration, renew bool)) {
	l, err := m.Acquire(ctx, "orders")
	if err != nil {
		return
	}
	for range 4 {
		pause, travel, renew := draw()
		time.Sleep(pause)
		if !l.Held(0) {
			return
		}
		fence, settled := l.Fence(), l.Settled()
		time.AfterFunc(travel, func() { w.order(fence, settled) })
		if !renew {
			return
		}
		_ = l.Renew(ctx)
	}
	_ = l.Release(ctx)
}
