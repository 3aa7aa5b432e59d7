package record_test

import (
	"math/rand/v2"
	"os"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"

	"snipetally.example/coordination/record"
)

// outageScenario is how calls are handled during an outage of the table.
type outageScenario struct {
	name   string
	outage record.OutagePolicy
	homes  bool

	// crash means that the home of all rows crashes in the middle of the
	// outage.
	crash bool
}

var outageScenarios = []outageScenario{
	{name: "refuse", outage: record.OutageRefuse, homes: true},
	{name: "attempt, memory of the router", outage: record.OutageAttempt},
	{name: "attempt, memory of the home", outage: record.OutageAttempt, homes: true},
	{name: "refuse, home crashes", outage: record.OutageRefuse, homes: true, crash: true},
	{name: "attempt, home crashes", outage: record.OutageAttempt, homes: true, crash: true},
}

// outageCost counts the calls of an outage, those that got no response, and
// those that ran more than once.
type outageCost struct {
	calls, unanswered, ranTwice int
}

// simulateOutage simulates an outage with 20 callers a second, each of whom
// sends the same key to a random router every second until it gets a response
// or 30 s have passed. One response in ten is lost on the way to the caller.
func simulateOutage(t *testing.T, s outageScenario, duration time.Duration) outageCost {
	t.Helper()
	const (
		rate        = 20
		giveUpAfter = 30 * time.Second
		start       = time.Second
	)
	var cost outageCost
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t.Context(), 9, nil, func(config *record.Config) {
			if !s.homes {
				config.Homes = nil
			}
		})
		defer c.stop()
		c.outages = []outagePeriod{{from: time.Now().Add(start), to: time.Now().Add(start + duration)}}
		if s.crash {
			time.AfterFunc(start+duration/2, c.crashHome)
		}
		var callers sync.WaitGroup
		var mu sync.Mutex
		for i := range int((duration + 2*start).Seconds() * rate) {
			random := rand.New(rand.NewPCG(7, uint64(i)))
			callers.Go(func() {
				time.Sleep(time.Duration(i) * time.Second / rate)
				key := timedKey(time.Now(), uint64(i))
				for began := time.Now(); time.Since(began) < giveUpAfter; time.Sleep(time.Second) {
					res := c.send(request{router: random.IntN(9), key: key, body: "b", outage: s.outage})
					if res.reported == reportedRun && random.IntN(10) > 0 {
						return
					}
				}
				mu.Lock()
				defer mu.Unlock()
				cost.unanswered++
			})
			cost.calls++
		}
		callers.Wait()
		for _, runs := range c.server.runs {
			if len(runs) > 1 {
				cost.ranTwice++
			}
		}
	})
	return cost
}

func TestOutageCostByPolicy(t *testing.T) {
	g := gomega.NewWithT(t)
	durations := []time.Duration{5 * time.Second}
	if os.Getenv(figuresVariable) != "" {
		durations = []time.Duration{time.Second, 5 * time.Second, 20 * time.Second, 60 * time.Second, 180 * time.Second}
	}
	for _, s := range outageScenarios {
		for _, duration := range durations {
			cost := simulateOutage(t, s, duration)
			t.Logf("%s, %v: %+v", s.name, duration, cost)
			if s.outage == record.OutageRefuse || s.homes && !s.crash {
				g.Expect(cost.ranTwice).To(gomega.BeZero(), s.name)
			}
			if s.outage == record.OutageAttempt || duration <= 5*time.Second {
				g.Expect(cost.unanswered).To(gomega.BeZero(), s.name)
			}
		}
	}
}
