package record_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"

	"snipetally.example/coordination/record"
)

func TestNoMismatchWithARequestThatWasNotRecorded(t *testing.T) {
	for _, second := range []int{0, 2} {
		synctest.Test(t, func(t *testing.T) {
			g := gomega.NewWithT(t)
			c := newCluster(t.Context(), 3, nil, nil)
			defer c.stop()
			// The table is unavailable for both bodies, so that neither owns
			// the key, whether the second request finds the first at its own
			// router or at the home.
			c.outages = []outagePeriod{{from: time.Now(), to: time.Now().Add(time.Second)}}
			history := c.sendAll([]request{
				{router: 0, key: "k", body: "b"},
				{at: 10 * time.Millisecond, router: second, key: "k", body: "c"},
				{at: 3 * time.Second, router: 1, key: "k", body: "c"},
				{at: 4 * time.Second, router: second, key: "k", body: "b"},
			})
			g.Expect(history[1].kind).NotTo(gomega.Equal(record.Mismatch))
			g.Expect(history[2].reported).To(gomega.Equal(reportedRun))
			g.Expect(history[3].kind).To(gomega.Equal(record.Mismatch))
			g.Expect(c.check(history)).To(gomega.BeEmpty())
		})
	}
}
