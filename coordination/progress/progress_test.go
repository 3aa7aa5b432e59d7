package progress_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/juju/errors"
	"github.com/onsi/gomega"

	"snipetally.example/coordination/progress"
)

const errFailed = errors.ConstError("failed")

// timeouts are those of the calls below.
var timeouts = progress.Timeouts{Begin: 5 * time.Second, Stall: time.Second, Total: 30 * time.Second}

// Guards against a call that is given up while it makes progress, or not given up when
// it makes none.
func TestCallEndsWhenItMakesNoProgress(t *testing.T) {
	cases := map[string]struct {
		// passes are the times at which something passes, and end when the call
		// is canceled.
		passes []time.Duration
		end    time.Duration
		cause  error
	}{
		"nothing passes":        {end: 5 * time.Second, cause: progress.ErrSilent},
		"it stops":              {passes: []time.Duration{3 * time.Second}, end: 4 * time.Second, cause: progress.ErrSilent},
		"it goes on, and stops": {passes: every(900*time.Millisecond, 20), end: 19 * time.Second, cause: progress.ErrSilent},
		"it never ends":         {passes: every(100*time.Millisecond, 400), end: 30 * time.Second, cause: context.DeadlineExceeded},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := gomega.NewWithT(t)
				start := time.Now()
				ctx, watch := progress.Begin(t.Context(), timeouts)
				defer watch.Stop()
				for _, at := range c.passes {
					time.Sleep(at - time.Since(start))
					if ctx.Err() == nil {
						watch.Passed(1)
						watch.Passed(0)
					}
				}
				<-ctx.Done()
				g.Expect(min(time.Since(start), c.end)).To(gomega.Equal(c.end))
				err := watch.Explain(errFailed)
				g.Expect(err).To(gomega.MatchError(c.cause))
				g.Expect(err).To(gomega.MatchError(errFailed))
			})
		})
	}
}

// every returns n times at an interval.
func every(interval time.Duration, n int) []time.Duration {
	times := make([]time.Duration, n)
	for i := range times {
		times[i] = time.Duration(i+1) * interval
	}
	return times
}

func TestErrorOfACallThatWasNotCanceledStays(t *testing.T) {
	g := gomega.NewWithT(t)
	_, watch := progress.Begin(t.Context(), timeouts)
	defer watch.Stop()
	g.Expect(watch.Explain(errFailed)).To(gomega.Equal(errFailed))
	g.Expect(watch.Explain(nil)).To(gomega.Succeed())
}
