package retrybudget_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/onsi/gomega"
)

// threeRouters and eightRouters are small fleets with one service.
var (
	threeRouters = fleetSize{routers: 3, engines: 9, perSecond: 30, services: 1, extra: 20}
	eightRouters = fleetSize{routers: 8, engines: 18, perSecond: 90, services: 1, extra: 58}
)

// callerSizes are the sizes of the simulations in which callers move. All engines fail
// there, so that few are enough.
var callerSizes = []fleetSize{
	threeRouters,
	eightRouters,
	{routers: 80, engines: 140, perSecond: 1_880, services: 15, extra: 200},
	{routers: 400, engines: 600, perSecond: 9_400, services: 15, extra: 200},
}

// expectBoundKeptWhile checks the sum over all routers at each size, while all engines
// fail and callers change where and how much they ask.
func expectBoundKeptWhile(t *testing.T, change func(f *fleet)) {
	t.Helper()
	for _, size := range callerSizes {
		t.Run(size.String(), func(t *testing.T) {
			t.Parallel()
			tally, most := simulate(t, 1, size, routerRules{secureFirst: true, useExtra: true}, func(f *fleet) {
				f.strike(allFail, time.Hour)
				change(f)
			})
			t.Logf("%.0f beyond the ratio, of %d allowed: %+v", most, size.extra, tally)
			gomega.NewWithT(t).Expect(most).To(gomega.BeNumerically("<=", size.extra), "%+v", tally)
		})
	}
}

// TestCallersThatMoveKeepTheBound has callers leave some routers while all engines fail,
// and then go to these alone. It guards against routers that retry by the ratio of
// requests that other routers counted, too, in the window of the sum.
func TestCallersThatMoveKeepTheBound(t *testing.T) {
	t.Parallel()
	for _, fraction := range []float64{0.25, 0.5} {
		for _, after := range []time.Duration{3 * time.Second, 6 * time.Second, windowLength} {
			t.Run(fmt.Sprintf("%.0f%% after %v", 100*fraction, after), func(t *testing.T) {
				t.Parallel()
				expectBoundKeptWhile(t, func(f *fleet) {
					f.run(after)
					f.leaveAndReturn(max(int(fraction*float64(f.size.routers)), 1), after, 2)
				})
			})
		}
	}
}

// TestBurstsKeepTheBound has the load rise and fall while all engines fail. It guards
// against routers whose windows end at different times, each when its own requests are
// many.
func TestBurstsKeepTheBound(t *testing.T) {
	t.Parallel()
	expectBoundKeptWhile(t, func(f *fleet) { f.pulse(4) })
}
