package guard_test

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/juju/errors"
	"github.com/onsi/gomega"
	"pgregory.net/rapid"

	"snipetally.example/coordination/bubble"
	"snipetally.example/coordination/seeds"
	"snipetally.example/coordination/table"
	"snipetally.example/coordination/table/guard"
	"snipetally.example/coordination/table/memory"
)

func init() { seeds.Fix() }

// createRow returns a transaction that creates an empty row.
func createRow(key string) table.Transaction {
	return table.Transaction{Checks: []table.Check{{Key: key}}, Writes: []table.Write{{Key: key}}}
}

func TestBreakerOpensProbesOnceAndCloses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		inner := memory.New()
		tab := guard.New(inner, guard.Config{Failures: 3})
		inner.SetFaults(func(table.Kind) memory.Fault { return memory.Fault{Mode: memory.Hanging} })
		for range 3 {
			g.Expect(tab.Commit(t.Context(), createRow("a"))).To(gomega.MatchError(table.ErrUncertain))
		}
		start := time.Now()
		err := tab.Commit(t.Context(), createRow("a"))
		g.Expect(err).To(gomega.MatchError(guard.ErrOpen))
		g.Expect(err).To(gomega.MatchError(table.ErrUnavailable))
		g.Expect(time.Since(start)).To(gomega.BeZero())

		time.Sleep(2 * time.Second)
		probe := make(chan error, 1)
		go func() { probe <- tab.Commit(t.Context(), createRow("a")) }()
		synctest.Wait()
		g.Expect(tab.Commit(t.Context(), createRow("a"))).To(gomega.MatchError(guard.ErrOpen))
		g.Expect(<-probe).To(gomega.MatchError(table.ErrUncertain))

		inner.SetFaults(nil)
		time.Sleep(4 * time.Second)
		g.Expect(tab.Commit(t.Context(), createRow("a"))).To(gomega.Succeed())
		g.Expect(tab.Statistics().State).To(gomega.Equal(guard.Closed))
	})
}

func TestNextCallProbesAfterCanceledProbe(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		inner := memory.New()
		tab := guard.New(inner, guard.Config{Failures: 1})
		inner.SetFaults(func(table.Kind) memory.Fault { return memory.Fault{Mode: memory.Hanging} })
		_, err := tab.Read(t.Context(), "a")
		g.Expect(err).To(gomega.HaveOccurred())
		time.Sleep(2 * time.Second)
		ctx, cancel := context.WithCancel(t.Context())
		time.AfterFunc(time.Millisecond, cancel)
		_, err = tab.Read(ctx, "a")
		g.Expect(err).To(gomega.HaveOccurred())
		inner.SetFaults(nil)
		_, err = tab.Read(t.Context(), "a")
		g.Expect(err).NotTo(gomega.HaveOccurred())
	})
}

func TestRateLimitAppliesPerKind(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		inner := memory.New()
		config := guard.Config{RateLimitWait: time.Second}
		config.RateLimits[table.KindRead] = guard.RateLimit{PerSecond: 10, Burst: 5}
		tab := guard.New(inner, config)
		for range 100 {
			go func() { _, _ = tab.Read(t.Context(), "a") }()
		}
		time.Sleep(10 * time.Second)
		g.Expect(inner.Counts().Calls[table.KindRead]).To(gomega.BeNumerically("<=", 15))
		g.Expect(tab.Statistics().Calls[table.KindRead].Refused).To(gomega.BeNumerically(">=", 85))
		g.Expect(tab.Commit(t.Context(), createRow("a"))).To(gomega.Succeed())
	})
}

// TestCommitReportsCertainOutcomesCorrectly checks that a commit that fails
// with an error other than ErrUncertain never takes effect, not even later, and
// that a successful commit did take effect, under random faults.
func TestCommitReportsCertainOutcomesCorrectly(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		faults := rapid.SliceOfN(rapid.Custom(func(rt *rapid.T) memory.Fault {
			return memory.Fault{
				Mode:  memory.Mode(rapid.IntRange(0, 4).Draw(rt, "mode")),
				Delay: time.Duration(rapid.IntRange(0, 4000).Draw(rt, "delay")) * time.Millisecond,
			}
		}), 1, 20).Draw(rt, "faults")
		pause := time.Duration(rapid.IntRange(0, 3000).Draw(rt, "pause")) * time.Millisecond
		bubble.Run(t, rt, func(t *testing.T) (failure string) {
			inner := memory.New()
			tab := guard.New(inner, guard.Config{Failures: 2})
			outcomes := make(map[string]error)
			for i, fault := range faults {
				inner.SetFaults(func(table.Kind) memory.Fault { return fault })
				key := fmt.Sprint(i)
				outcomes[key] = tab.Commit(t.Context(), createRow(key))
				time.Sleep(pause)
			}
			time.Sleep(time.Minute)
			inner.SetFaults(nil)
			for key, err := range outcomes {
				rows, _ := inner.Read(t.Context(), key)
				effect := rows[0].Version > 0
				if err == nil && !effect {
					failure = "a successful commit did not take effect"
				}
				if err != nil && !errors.Is(err, table.ErrUncertain) && effect {
					failure = fmt.Sprintf("a failed commit took effect: %v", err)
				}
			}
			return failure
		})
	})
}
