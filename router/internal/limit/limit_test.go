package limit_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"pgregory.net/rapid"

	"snipetally.example/coordination/seeds"
	"snipetally.example/router/internal/contract"
	"snipetally.example/router/internal/limit"
)

func init() {
	seeds.Fix()
}

// TestLimitHoldsAcrossRouters runs routers with uneven and changing demand,
// delayed messages and temporary partitions. Together they may admit at most
// the rate times the duration, plus one request per router, plus two bursts for
// each time that the totals are unknown or outdated: at the start, after each
// change of demand and in each partition.
func TestLimitHoldsAcrossRouters(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		g := gomega.NewWithT(rt)
		n := rapid.IntRange(1, 12).Draw(rt, "routers")
		rate := float64(rapid.IntRange(5, 200).Draw(rt, "rate"))
		seconds := rapid.IntRange(5, 30).Draw(rt, "seconds")
		demandChanges := rapid.IntRange(0, 2).Draw(rt, "demand changes")
		partitioned := rapid.Bool().Draw(rt, "partitioned")
		team := &contract.Team{Name: "team", Limits: contract.Limits{RequestsPerSecond: rate, MaxRunning: 4 * n}}
		names := make([]string, n)
		routers := make([]*limit.Limiter, n)
		for i := range names {
			names[i] = fmt.Sprintf("router%d", i)
			routers[i] = limit.NewLimiter(names[i])
		}
		for _, r := range routers {
			r.SetRouters(names)
		}
		admitted := 0
		now := time.Unix(1000, 0)
		for second := range seconds {
			busy := (second * (demandChanges + 1) / seconds) % n
			for tick := range 20 {
				for i, r := range routers {
					attempts := 1
					if i == busy {
						attempts = 20
					}
					for range attempts {
						if _, ok := r.Allow(now, team, 1); ok {
							admitted++
							r.Done(team, 0)
						}
					}
				}
				now = now.Add(limit.ReportInterval / 20)
				_ = tick
			}
			lost := partitioned && second%4 < 2
			for i, r := range routers {
				for _, m := range r.EndPeriod(now) {
					for j := range routers {
						if names[j] == m.To && (!lost || i%2 == j%2) {
							routers[j].Receive(now, m)
						}
					}
				}
			}
		}
		events := float64(1 + demandChanges)
		if partitioned {
			events += float64(seconds)/4 + 1
		}
		bound := rate*float64(seconds) + rate*2*limit.Burst.Seconds()*events + float64(n)
		g.Expect(float64(admitted)).To(gomega.BeNumerically("<=", bound))
	})
}

func TestSteadyDemandGetsMostOfTheLimit(t *testing.T) {
	g := gomega.NewWithT(t)
	const rate, seconds = 100, 20
	team := &contract.Team{Name: "team", Limits: contract.Limits{RequestsPerSecond: rate}}
	one, two := limit.NewLimiter("one"), limit.NewLimiter("two")
	names := []string{"one", "two"}
	one.SetRouters(names)
	two.SetRouters(names)
	now := time.Unix(1000, 0)
	admitted := 0
	for range seconds {
		for range 1000 {
			if _, ok := one.Allow(now, team, 1); ok {
				admitted++
				one.Done(team, 0)
			}
			now = now.Add(time.Millisecond)
		}
		for _, m := range append(one.EndPeriod(now), two.EndPeriod(now)...) {
			g.Expect(m.Size()).To(gomega.BeNumerically(">", 0))
			one.Receive(now, m)
			two.Receive(now, m)
		}
	}
	g.Expect(admitted).To(gomega.BeNumerically(">=", 0.85*rate*seconds))
	g.Expect(admitted).To(gomega.BeNumerically("<=", rate*(seconds+1)))
}

func TestRunningRequestsAreBounded(t *testing.T) {
	g := gomega.NewWithT(t)
	team := &contract.Team{Name: "team", Limits: contract.Limits{MaxRunning: 3}}
	l := limit.NewLimiter("one")
	now := time.Unix(1000, 0)
	for range 3 {
		_, ok := l.Allow(now, team, 1)
		g.Expect(ok).To(gomega.BeTrue())
	}
	after, ok := l.Allow(now, team, 1)
	g.Expect(ok).To(gomega.BeFalse())
	g.Expect(after).To(gomega.BeNumerically(">", 0))
	l.Done(team, 0)
	_, ok = l.Allow(now, team, 1)
	g.Expect(ok).To(gomega.BeTrue())
}
