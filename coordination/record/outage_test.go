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

// policy is what calls get during an outage of the table.
type policy struct {
	name   string
	outage record.OutagePolicy
	homes  bool

	// crash says that the home of all rows crashes in mid-outage.
	crash bool
}

var policies = []policy{
	{name: "refuse", outage: record.OutageRefuse, homes: true},
	{name: "attempt, memory of the router", outage: record.OutageAttempt},
	{name: "attempt, memory of the home", outage: record.OutageAttempt, homes: true},
	{name: "refuse, home crashes", outage: record.OutageRefuse, homes: true, crash: true},
	{name: "attempt, home crashes", outage: record.OutageAttempt, homes: true, crash: true},
}

// toll is what an outage cost.
type toll struct {
	calls, lost, doubled int
}

// suffer plays an outage: 20 callers a second, each of whom sends the same key
// to a random router every second until it has an answer or 30 s are over. One
// answer in ten is lost on the way to the caller.
func suffer(t *testing.T, p policy, length time.Duration) toll {
	t.Helper()
	const (
		rate     = 20
		patience = 30 * time.Second
		start    = time.Second
	)
	var out toll
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t.Context(), 9, nil, func(config *record.Config) {
			if !p.homes {
				config.Homes = nil
			}
		})
		defer c.stop()
		c.down = []window{{from: time.Now().Add(start), to: time.Now().Add(start + length)}}
		if p.crash {
			time.AfterFunc(start+length/2, c.crashHome)
		}
		var callers sync.WaitGroup
		var mu sync.Mutex
		for i := range int((length + 2*start).Seconds() * rate) {
			random := rand.New(rand.NewPCG(7, uint64(i)))
			callers.Go(func() {
				time.Sleep(time.Duration(i) * time.Second / rate)
				key := timedKey(time.Now(), uint64(i))
				for began := time.Now(); time.Since(began) < patience; time.Sleep(time.Second) {
					told := c.ask(request{router: random.IntN(9), key: key, body: "b", outage: p.outage})
					if told.run == runYes && random.IntN(10) > 0 {
						return
					}
				}
				mu.Lock()
				defer mu.Unlock()
				out.lost++
			})
			out.calls++
		}
		callers.Wait()
		for _, runs := range c.server.runs {
			if len(runs) > 1 {
				out.doubled++
			}
		}
	})
	return out
}

func TestOutageCostsLostOrDoubledGrantsByPolicy(t *testing.T) {
	g := gomega.NewWithT(t)
	lengths := []time.Duration{5 * time.Second}
	if os.Getenv(figuresVariable) != "" {
		lengths = []time.Duration{time.Second, 5 * time.Second, 20 * time.Second, 60 * time.Second, 180 * time.Second}
	}
	for _, p := range policies {
		for _, length := range lengths {
			out := suffer(t, p, length)
			t.Logf("%s, %v: %+v", p.name, length, out)
			if p.outage == record.OutageRefuse || p.homes && !p.crash {
				g.Expect(out.doubled).To(gomega.BeZero(), p.name)
			}
			if p.outage == record.OutageAttempt || length <= 5*time.Second {
				g.Expect(out.lost).To(gomega.BeZero(), p.name)
			}
		}
	}
}
