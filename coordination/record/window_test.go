package record_test

import (
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"

	"snipetally.example/coordination/record"
)

func TestEvictedWindowsAreReadAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		c := newCluster(t.Context(), 3, nil, nil)
		defer c.stop()
		// More windows are in flight at once than the batcher keeps in memory,
		// and each gets several rows.
		const windowCount, rounds = 60, 3
		var requests []request
		for i := range windowCount {
			for round := range rounds {
				requests = append(requests, request{
					at:     time.Duration(round*20+i%7) * time.Millisecond,
					router: i % 3,
					key:    timedKey(epoch.Add(-time.Duration(i)*time.Minute), uint64(round)),
					body:   "b",
				})
			}
		}
		first := c.sendAll(requests)
		again := c.sendAll(requests)
		for i := range first {
			g.Expect(first[i].reported).To(gomega.Equal(reportedRun))
			g.Expect(again[i].reported).To(gomega.Equal(reportedRun))
		}
		g.Expect(c.check(append(first, again...))).To(gomega.BeEmpty())
	})
}

func TestRoutersAppendToAWindowWithoutAHome(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		c := newCluster(t.Context(), 4, nil, func(config *record.Config) { config.Homes = nil })
		defer c.stop()
		var callers sync.WaitGroup
		kinds := make([]record.Kind, 40)
		for i := range kinds {
			callers.Go(func() {
				key := timedKey(time.Now(), uint64(i/4))
				d, err := c.router(i%4).recorder.Begin(c.ctx, record.Call{Team: "team", Key: key})
				g.Expect(err).NotTo(gomega.HaveOccurred())
				kinds[i] = d.Kind
			})
		}
		callers.Wait()
		granted := 0
		for _, kind := range kinds {
			if kind == record.Run {
				granted++
				continue
			}
			g.Expect(kind).To(gomega.Equal(record.Join))
		}
		g.Expect(granted).To(gomega.Equal(len(kinds) / 4))
	})
}
