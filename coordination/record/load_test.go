package record_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"sync"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"

	"snipetally.example/coordination/record"
	"snipetally.example/coordination/table/memory"
)

// figuresVariable is the environment variable that enables the tests that print
// figures.
const figuresVariable = "SNIPETALLY_FIGURES"

// loadScenario is the load of a measurement in virtual time.
type loadScenario struct {
	routers  int
	buckets  int
	pace     time.Duration
	rate     int
	duration time.Duration

	// crash is the time at which the home of all rows crashes, if it is set.
	// The router stays in the list of members.
	crash time.Duration

	// timed means that keys carry a time.
	timed bool
}

// loadCost is the measured cost of a load. Transactions, rows and reads are per
// granted attempt.
type loadCost struct {
	granted      int
	refused      int
	transactions float64
	rows         float64
	reads        float64
	median, p99  time.Duration
	max          time.Duration
}

func (c loadCost) String() string {
	return fmt.Sprintf("%d grants, %d refused: %.3f transactions, %.3f rows, %.3f reads for each; added wait median %v, 99th percentile %v, largest %v",
		c.granted, c.refused, c.transactions, c.rows, c.reads, c.median, c.p99, c.max)
}

// measureLoad runs a load of calls that arrive at random times at random
// routers.
func measureLoad(t *testing.T, l loadScenario) loadCost {
	t.Helper()
	var total loadCost
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t.Context(), l.routers, nil, func(config *record.Config) {
			config.MinWriteInterval = l.pace
			config.Homes = nil
			if l.buckets > 0 {
				vms := make([]string, l.routers)
				for i := range vms {
					vms[i] = fmt.Sprintf("r%d", i)
				}
				config.Homes = &record.RendezvousLocator{Self: config.VM, Buckets: l.buckets, Candidates: func(string) []string { return vms }}
			}
		})
		defer c.stop()
		if l.crash > 0 {
			time.AfterFunc(l.crash, func() { c.crashHome() })
		}
		random := rand.New(rand.NewPCG(1, 2))
		var callers sync.WaitGroup
		var mu sync.Mutex
		var waits []time.Duration
		for began := time.Now(); time.Since(began) < l.duration; {
			time.Sleep(time.Duration(random.ExpFloat64() * float64(time.Second) / float64(l.rate)))
			r := c.router(random.IntN(l.routers))
			if !r.alive() {
				continue
			}
			duration := time.Duration(20+random.IntN(180)) * time.Millisecond
			key := fmt.Sprintf("%016x", random.Uint64())
			if l.timed {
				made := time.Now().Add(-time.Duration(random.IntN(200)) * time.Millisecond)
				key = timedKey(made, random.Uint64()>>16)
			}
			callers.Go(func() {
				from := time.Now()
				d, err := r.recorder.Begin(c.ctx, record.Call{Team: "team", Key: key})
				wait := time.Since(from)
				if !r.alive() {
					return
				}
				if err != nil || d.Kind != record.Run {
					mu.Lock()
					defer mu.Unlock()
					total.refused++
					return
				}
				if d.Attempt.Dispatch(c.ctx) != nil {
					return
				}
				time.Sleep(duration)
				_ = d.Attempt.Finish(c.ctx, &record.Response{Status: 200, Body: make([]byte, 200)})
				mu.Lock()
				defer mu.Unlock()
				waits = append(waits, wait)
			})
		}
		// Calls at a crashed router never end, so the test does not wait for all.
		time.Sleep(3 * time.Second)
		mu.Lock()
		defer mu.Unlock()
		refused := total.refused
		total = c.cost(slices.Clone(waits))
		total.refused = refused
	})
	return total
}

// crashHome crashes the router that is the home of all rows.
func (c *cluster) crashHome() {
	home := (&record.RendezvousLocator{Candidates: func(string) []string { return c.vms() }}).Home("", "", func(string) bool { return false })
	r := c.routerByVM(home)
	c.mu.Lock()
	defer c.mu.Unlock()
	r.crashed = true
	close(r.dead)
}

// cost adds up the counters of all routers.
func (c *cluster) cost(waits []time.Duration) loadCost {
	slices.Sort(waits)
	n := float64(len(waits))
	out := loadCost{
		granted: len(waits),
		median:  waits[len(waits)/2],
		p99:     waits[len(waits)*99/100],
		max:     waits[len(waits)-1],
	}
	for _, r := range c.routers {
		counters := r.recorder.State().Counters
		out.transactions += float64(counters.Transactions) / n
		out.rows += float64(counters.Rows) / n
		out.reads += float64(counters.Reads) / n
	}
	return out
}

func TestGrantsCostFewTransactions(t *testing.T) {
	g := gomega.NewWithT(t)
	for _, timed := range []bool{false, true} {
		c := measureLoad(t, loadScenario{routers: 9, buckets: 1, rate: 1000, duration: 5 * time.Second, timed: timed})
		t.Logf("keys with time %v: %v", timed, c)
		g.Expect(c.granted).To(gomega.BeNumerically(">", 4500))
		g.Expect(c.transactions).To(gomega.BeNumerically("<", 0.2))
	}
}

func TestAttemptsAreGrantedWhenTheHomeCrashes(t *testing.T) {
	g := gomega.NewWithT(t)
	for _, timed := range []bool{false, true} {
		c := measureLoad(t, loadScenario{
			routers: 9, buckets: 1, rate: 1000, duration: 5 * time.Second,
			crash: time.Second, timed: timed,
		})
		t.Logf("keys with time %v: %v", timed, c)
		g.Expect(c.refused).To(gomega.BeZero())
	}
}

func TestCostOfGrantsByConfiguration(t *testing.T) {
	if os.Getenv(figuresVariable) == "" {
		t.Skip("prints figures only if " + figuresVariable + " is set")
	}
	for _, l := range []loadScenario{
		{routers: 9, buckets: 0, pace: 1},
		{routers: 9, buckets: 0, pace: 7 * time.Millisecond},
		{routers: 9, buckets: 0, pace: 63 * time.Millisecond},
		{routers: 9, buckets: 0, pace: 7 * time.Millisecond, timed: true},
		{routers: 9, buckets: 1, pace: 7 * time.Millisecond, timed: true},
		{routers: 9, buckets: 1, pace: 10 * time.Millisecond, timed: true},
		{routers: 9, buckets: 1, pace: 1},
		{routers: 9, buckets: 1, pace: 5 * time.Millisecond},
		{routers: 9, buckets: 1, pace: 7 * time.Millisecond},
		{routers: 9, buckets: 1, pace: 10 * time.Millisecond},
		{routers: 9, buckets: 2, pace: 14 * time.Millisecond},
		{routers: 9, buckets: 3, pace: 21 * time.Millisecond},
	} {
		l.rate, l.duration = 1000, 2*time.Second
		t.Logf("%d buckets, pace %v, keys with time %v: %v", l.buckets, l.pace, l.timed, measureLoad(t, l))
	}
}

// BenchmarkCall measures a whole call against a table that responds at once.
// Beside the usual time, which is mostly waiting for the batch, it reports the
// CPU time of the process.
func BenchmarkCall(b *testing.B) {
	ctx, cancel := context.WithCancel(b.Context())
	recorder, err := record.New(record.Config{Table: memory.New(), VM: "vm", MaxPending: 1 << 20, MaxRecentBytes: 1 << 20})
	if err != nil {
		b.Fatal(err)
	}
	var running sync.WaitGroup
	running.Go(func() { _ = recorder.Run(ctx) })
	response := &record.Response{Status: 200, Body: make([]byte, 200)}
	before := processCPUTime()
	b.ReportAllocs()
	b.SetParallelism(64)
	b.RunParallel(func(pb *testing.PB) {
		random := rand.New(rand.NewPCG(rand.Uint64(), 1))
		for pb.Next() {
			key := fmt.Sprintf("%016x", random.Uint64())
			d, err := recorder.Begin(ctx, record.Call{Team: "team", Key: key})
			if err != nil || d.Kind != record.Run {
				b.Errorf("%v %v", d.Kind, err)
				return
			}
			if d.Attempt.Dispatch(ctx) == nil {
				_ = d.Attempt.Finish(ctx, response)
			}
		}
	})
	b.ReportMetric(float64(processCPUTime()-before)/float64(b.N), "cpu-ns/op")
	counters := recorder.State().Counters
	b.ReportMetric(float64(counters.Transactions)/float64(b.N), "transactions/op")
	cancel()
	running.Wait()
}

// processCPUTime returns the CPU time that the process has used.
func processCPUTime() time.Duration {
	var usage syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &usage)
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
