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

// figuresVariable names the environment variable that asks for figures.
const figuresVariable = "SNIPETALLY_FIGURES"

// load is a measured run in virtual time.
type load struct {
	routers int
	buckets int
	pace    time.Duration
	rate    int
	length  time.Duration

	// crash is the time at which the home of all rows crashes, if it is set.
	// It stays in the list of members.
	crash time.Duration

	// timed says that keys carry their time.
	timed bool
}

// cost is what a load cost.
type cost struct {
	grants       int
	refused      int
	transactions float64
	rows         float64
	reads        float64
	median, p99  time.Duration
	largest      time.Duration
}

func (c cost) String() string {
	return fmt.Sprintf("%d grants, %d refused: %.3f transactions, %.3f rows, %.3f reads for each; added wait median %v, 99th percentile %v, largest %v",
		c.grants, c.refused, c.transactions, c.rows, c.reads, c.median, c.p99, c.largest)
}

// measure plays a load of grants that arrive at random at all routers.
func measure(t *testing.T, l load) cost {
	t.Helper()
	var out cost
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t.Context(), l.routers, nil, func(config *record.Config) {
			config.Pace = l.pace
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
		for began := time.Now(); time.Since(began) < l.length; {
			time.Sleep(time.Duration(random.ExpFloat64() * float64(time.Second) / float64(l.rate)))
			r := c.router(random.IntN(l.routers))
			if !r.alive() {
				continue
			}
			length := time.Duration(20+random.IntN(180)) * time.Millisecond
			key := fmt.Sprintf("%016x", random.Uint64())
			if l.timed {
				made := time.Now().Add(-time.Duration(random.IntN(200)) * time.Millisecond)
				key = timedKey(made, random.Uint64()>>16)
			}
			callers.Go(func() {
				from := time.Now()
				d, err := r.book.Begin(c.ctx, record.Call{Team: "team", Key: key})
				wait := time.Since(from)
				if !r.alive() {
					return
				}
				if err != nil || d.Kind != record.Run {
					mu.Lock()
					defer mu.Unlock()
					out.refused++
					return
				}
				if d.Attempt.Dispatch(c.ctx) != nil {
					return
				}
				time.Sleep(length)
				_ = d.Attempt.Finish(c.ctx, &record.Response{Status: 200, Body: make([]byte, 200)})
				mu.Lock()
				defer mu.Unlock()
				waits = append(waits, wait)
			})
		}
		// Calls at a crashed router never end, so there is no waiting for all.
		time.Sleep(3 * time.Second)
		mu.Lock()
		defer mu.Unlock()
		refused := out.refused
		out = c.cost(slices.Clone(waits))
		out.refused = refused
	})
	return out
}

// crashHome crashes the router that batches for all rows.
func (c *cluster) crashHome() {
	home := (&record.RendezvousLocator{Candidates: func(string) []string { return c.members() }}).Home("", "", func(string) bool { return false })
	r := c.named(home)
	c.mu.Lock()
	defer c.mu.Unlock()
	r.crashed = true
	close(r.dead)
}

// cost sums the counters of all routers up.
func (c *cluster) cost(waits []time.Duration) cost {
	slices.Sort(waits)
	n := float64(len(waits))
	out := cost{
		grants:  len(waits),
		median:  waits[len(waits)/2],
		p99:     waits[len(waits)*99/100],
		largest: waits[len(waits)-1],
	}
	for _, r := range c.routers {
		counters := r.book.State().Counters
		out.transactions += float64(counters.Transactions) / n
		out.rows += float64(counters.Rows) / n
		out.reads += float64(counters.Reads) / n
	}
	return out
}

func TestGrantsCostFewTransactions(t *testing.T) {
	g := gomega.NewWithT(t)
	for _, timed := range []bool{false, true} {
		c := measure(t, load{routers: 9, buckets: 1, rate: 1000, length: 5 * time.Second, timed: timed})
		t.Logf("keys with time %v: %v", timed, c)
		g.Expect(c.grants).To(gomega.BeNumerically(">", 4500))
		g.Expect(c.transactions).To(gomega.BeNumerically("<", 0.2))
	}
}

func TestGrantsGoOnWhenTheHomeCrashes(t *testing.T) {
	g := gomega.NewWithT(t)
	for _, timed := range []bool{false, true} {
		c := measure(t, load{
			routers: 9, buckets: 1, rate: 1000, length: 5 * time.Second,
			crash: time.Second, timed: timed,
		})
		t.Logf("keys with time %v: %v", timed, c)
		g.Expect(c.refused).To(gomega.BeZero())
	}
}

func TestCostOfGrantsByLayout(t *testing.T) {
	if os.Getenv(figuresVariable) == "" {
		t.Skip("prints figures for the design note if " + figuresVariable + " is set")
	}
	for _, l := range []load{
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
		l.rate, l.length = 1000, 2*time.Second
		t.Logf("%d buckets, pace %v, keys with time %v: %v", l.buckets, l.pace, l.timed, measure(t, l))
	}
}

// BenchmarkCall measures a whole call against a table that answers at once.
// Beside the usual time, which is mostly waiting for the batch, it reports the
// processor time of the process.
func BenchmarkCall(b *testing.B) {
	ctx, cancel := context.WithCancel(b.Context())
	book, err := record.New(record.Config{Table: memory.New(), VM: "vm", MaxPending: 1 << 20, Recent: 1 << 20})
	if err != nil {
		b.Fatal(err)
	}
	var running sync.WaitGroup
	running.Go(func() { _ = book.Run(ctx) })
	answer := &record.Response{Status: 200, Body: make([]byte, 200)}
	before := processor()
	b.ReportAllocs()
	b.SetParallelism(64)
	b.RunParallel(func(pb *testing.PB) {
		random := rand.New(rand.NewPCG(rand.Uint64(), 1))
		for pb.Next() {
			key := fmt.Sprintf("%016x", random.Uint64())
			d, err := book.Begin(ctx, record.Call{Team: "team", Key: key})
			if err != nil || d.Kind != record.Run {
				b.Errorf("%v %v", d.Kind, err)
				return
			}
			if d.Attempt.Dispatch(ctx) == nil {
				_ = d.Attempt.Finish(ctx, answer)
			}
		}
	})
	b.ReportMetric(float64(processor()-before)/float64(b.N), "cpu-ns/op")
	counters := book.State().Counters
	b.ReportMetric(float64(counters.Transactions)/float64(b.N), "transactions/op")
	cancel()
	running.Wait()
}

// processor returns the processor time of the process.
func processor() time.Duration {
	var usage syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &usage)
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
