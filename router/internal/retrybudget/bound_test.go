package retrybudget_test

import (
	"fmt"
	"os"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"
)

// fleetSizes are the sizes of the simulations. The last one is the one to design
// for.
var fleetSizes = []fleetSize{
	{routers: 8, engines: 30, perSecond: 64, services: 3, extra: 50, runs: 40},
	{routers: 80, engines: 2_400, perSecond: 1_880, services: 15, extra: 200, runs: 4},
	{routers: 400, engines: 12_000, perSecond: 9_400, services: 15, extra: 200, runs: 1},
}

// rarelyUsed is a service alone of which each router has few requests in a window.
var rarelyUsed = fleetSize{routers: 400, engines: 64, perSecond: 50, services: 1, extra: 200, runs: 10}

// simulate runs what a test does with a fleet in virtual time. It returns what the
// routers did, and the most retries beyond the ratio in any window.
func simulate(t *testing.T, seed uint64, size fleetSize, rules routerRules, do func(f *fleet)) (tally fleetTally, most float64) {
	t.Helper()
	synctest.Test(t, func(*testing.T) {
		f := newFleet(seed, size, rules)
		f.run(warmup)
		do(f)
		tally, most = f.tally, f.mostBeyondRatio()
	})
	return tally, most
}

// expectBoundKept checks the sum over all routers at each size.
func expectBoundKept(t *testing.T, do func(f *fleet)) {
	t.Helper()
	for _, size := range append(slices.Clone(fleetSizes), rarelyUsed) {
		t.Run(size.String(), func(t *testing.T) {
			t.Parallel()
			tally, most := simulate(t, 1, size, routerRules{secureFirst: true, useExtra: true}, do)
			gomega.NewWithT(t).Expect(most).To(gomega.BeNumerically("<=", size.extra), "%+v", tally)
		})
	}
}

// String returns the name of a size in tests and figures.
func (s fleetSize) String() string {
	return fmt.Sprintf("%d routers with %.0f requests a second", s.routers, s.perSecond)
}

// TestRetriesOfAllRoutersKeepTheBound has engines pause and fail. It guards against
// routers that each stay within the ratio in windows of their own and together
// exceed the bound.
func TestRetriesOfAllRoutersKeepTheBound(t *testing.T) {
	t.Parallel()
	for _, what := range []trouble{onePauses, oneDies, allPause, allFail} {
		t.Run(string(what), func(t *testing.T) {
			t.Parallel()
			expectBoundKept(t, func(f *fleet) {
				f.strike(what, outage)
				f.run(observed)
			})
		})
	}
}

// TestRestartedRouterKeepsTheBound has a router restart while all engines fail. It
// guards against a router that uses its part of the extra again.
func TestRestartedRouterKeepsTheBound(t *testing.T) {
	t.Parallel()
	expectBoundKept(t, func(f *fleet) {
		f.strike(allFail, longOutage)
		f.run(5 * time.Second)
		f.restart(f.routers[0])
		f.run(longOutage)
	})
}

// TestManyRestartedRoutersKeepTheBound has half of all routers restart at once while all
// engines fail, when they have used their retries. It guards against routers that forget
// what they used of the ratio.
func TestManyRestartedRoutersKeepTheBound(t *testing.T) {
	t.Parallel()
	expectBoundKept(t, func(f *fleet) {
		f.strike(allFail, longOutage)
		f.run(5 * time.Second)
		for _, r := range f.routers[:f.size.routers/2] {
			f.restart(r)
		}
		f.run(longOutage)
	})
}

// TestStartingRoutersKeepTheBound has all routers start shortly before all engines
// fail. It guards against routers that take the part of a smaller number of routers
// before they have heard of all.
func TestStartingRoutersKeepTheBound(t *testing.T) {
	t.Parallel()
	expectBoundKept(t, func(f *fleet) {
		for _, r := range f.routers {
			f.restart(r)
		}
		f.run(time.Second)
		f.strike(allFail, longOutage)
		f.run(longOutage)
	})
}

// TestPartitionedRoutersKeepTheBound partitions the routers into halves and has all
// of one half restart, some time before all engines fail. It guards against routers
// that take the part of a smaller number, as they have never heard the others.
func TestPartitionedRoutersKeepTheBound(t *testing.T) {
	t.Parallel()
	expectBoundKept(t, func(f *fleet) {
		half := f.routers[:f.size.routers/2]
		for _, r := range half {
			r.side = 1
			f.restart(r)
		}
		f.run(warmup)
		f.strike(allFail, longOutage)
		f.run(longOutage)
	})
}

// longOutage is an outage in which each router uses all retries that it may.
const longOutage = 25 * time.Second

// TestRetryFigures prints the figures of docs/CAPACITY.md, as means of runs.
func TestRetryFigures(t *testing.T) {
	if os.Getenv("SNIPETALLY_FIGURES") == "" {
		t.Skip("set SNIPETALLY_FIGURES=1 to print the figures")
	}
	rules := []routerRules{{}, {secureFirst: true}, {secureFirst: true, useExtra: true}}
	for _, size := range append(slices.Clone(fleetSizes), rarelyUsed) {
		for _, what := range []trouble{onePauses, oneDies, allPause, allFail} {
			for _, r := range rules {
				var sum fleetTally
				most := 0.0
				for seed := range size.runs {
					tally, beyond := simulate(t, uint64(seed+1), size, r, func(f *fleet) {
						f.strike(what, outage)
						f.run(observed)
					})
					sum.add(tally)
					most = max(most, beyond)
				}
				t.Logf("%v, %s, %+v: %s, at most %.0f beyond the ratio of %d allowed",
					size, what, r, sum.mean(size.runs), most, size.extra)
			}
		}
	}
}

// add adds the counts of another run.
func (t *fleetTally) add(o fleetTally) {
	t.struck += o.struck
	t.retries += o.retries
	t.replacements += o.replacements
	t.withoutBudget += o.withoutBudget
	t.keptWaiting += o.keptWaiting
}

// mean describes the mean counts of a number of runs.
func (t *fleetTally) mean(runs int) string {
	n := float64(runs)
	return fmt.Sprintf("%.1f struck, %.1f retries, %.1f replacements, %.1f without budget, %.1f kept waiting", float64(t.struck)/n,
		float64(t.retries)/n, float64(t.replacements)/n, float64(t.withoutBudget)/n, float64(t.keptWaiting)/n)
}
