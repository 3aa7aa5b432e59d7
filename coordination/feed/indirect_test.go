package feed_test

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"

	"snipetally.example/coordination/feed"
)

// cutSource is a table that one follower can't reach.
type cutSource struct {
	*fakeTable
	cut atomic.Bool
}

func (s *cutSource) Read(ctx context.Context, received feed.Received) (feed.Response[string], error) {
	if s.cut.Load() {
		return feed.Response[string]{}, errDown
	}
	return s.fakeTable.Read(ctx, received)
}

func (s *cutSource) Watch(ctx context.Context, after int64, wait time.Duration, received feed.Received) (feed.Response[string], error) {
	if s.cut.Load() {
		return feed.Response[string]{}, errDown
	}
	return s.fakeTable.Watch(ctx, after, wait, received)
}

// startCut starts a follower that others can help to reach the table, and returns it
// with a count of the calls through them.
func startCut(t *testing.T, source *cutSource) (*group, *atomic.Int32) {
	calls := &atomic.Int32{}
	g := startGroupWith(t, source.fakeTable, 1, 0, func(c *feed.Config[string]) {
		c.Source = source
		c.Indirect = func() (feed.Source[string], bool) {
			calls.Add(1)
			return source.fakeTable, true
		}
	})
	return g, calls
}

// Guards against a follower that knows from others that its copy is outdated, and
// keeps it until it reaches the table itself.
func TestChangeArrivesThroughAnotherWhileCutOff(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := gomega.NewWithT(t)
		source := &cutSource{fakeTable: newFakeTable()}
		source.put("a", "0")
		g, calls := startCut(t, source)
		time.Sleep(time.Second)
		source.cut.Store(true)
		time.Sleep(5 * time.Second)
		e.Expect(calls.Load()).To(gomega.BeZero(), "nothing is missing")
		source.put("a", "1")
		tellNewest(g, source.fakeTable)
		e.Expect(awaitRow(t, g, "1")).To(gomega.BeNumerically("<=", time.Second))
		asOf, _ := g.followers[0].AsOf()
		e.Expect(source.clock() - asOf).To(gomega.BeNumerically("<", time.Second))
		e.Expect(g.followers[0].OutageDuration()).To(gomega.BeNumerically(">", 5*time.Second-bound), "the table is still out of reach")
		time.Sleep(5 * time.Second)
		e.Expect(calls.Load()).To(gomega.BeEquivalentTo(1))
		source.cut.Store(false)
		time.Sleep(time.Second)
		e.Expect(g.followers[0].OutageDuration()).To(gomega.BeZero())
	})
}

// Guards against a follower that starts while it can't reach the table, and has
// nothing until it can.
func TestFollowerThatStartsCutOffLoadsThroughAnother(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		source := &cutSource{fakeTable: newFakeTable()}
		source.put("a", "1")
		source.cut.Store(true)
		g, _ := startCut(t, source)
		gomega.NewWithT(t).Expect(awaitRow(t, g, "1")).To(gomega.BeNumerically("<=", time.Second))
	})
}

// Guards against rows that lapsed while nobody reached the table, and are removed as
// soon as another one reaches it again.
func TestLapsedRowIsKeptIfAnotherReachesTheTableFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := gomega.NewWithT(t)
		source := &cutSource{fakeTable: newFakeTable()}
		source.put("a", "0")
		source.put("b", "0")
		g, _ := startCut(t, source)
		time.Sleep(time.Second)
		source.cut.Store(true)
		time.Sleep(5 * time.Second)
		source.remove("b")
		source.put("a", "1")
		tellNewest(g, source.fakeTable)
		awaitRow(t, g, "1")
		e.Expect(g.copyOf(0)).To(gomega.HaveKey("b"))
		time.Sleep(3 * time.Second)
		e.Expect(g.copyOf(0)).NotTo(gomega.HaveKey("b"))
	})
}

// Guards against a read whose response is overtaken by a newer one through another
// process, and then brings an older copy back as a current one.
func TestLateReadDoesNotBringAnOlderCopyBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := gomega.NewWithT(t)
		source := &cutSource{fakeTable: newFakeTable()}
		source.put("a", "0")
		var others atomic.Bool
		g := startGroupWith(t, source.fakeTable, 1, 0, func(c *feed.Config[string]) {
			c.Source, c.ReadMissed = source, true
			c.Indirect = func() (feed.Source[string], bool) { return source.fakeTable, others.Load() }
		})
		time.Sleep(time.Second)
		source.cut.Store(true)
		time.Sleep(2 * time.Second)
		source.put("a", "1")
		tellNewest(g, source.fakeTable)
		before := source.requestCount()
		source.setLag(500 * time.Millisecond)
		source.cut.Store(false)
		for source.requestCount() == before {
			time.Sleep(10 * time.Millisecond)
		}
		source.put("a", "2")
		source.setLag(0)
		others.Store(true)
		e.Expect(awaitRow(t, g, "2")).To(gomega.BeNumerically("<", 200*time.Millisecond))
		for range 50 {
			time.Sleep(10 * time.Millisecond)
			e.Expect(g.copyOf(0)).To(gomega.HaveKeyWithValue("a", "2"))
		}
	})
}
