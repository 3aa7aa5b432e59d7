package feed_test

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"

	"snipetally.example/coordination/feed"
)

const (
	// maxUnproved, watchWait and watchPause are settings of the followers below.
	maxUnproved = 700 * time.Millisecond
	watchWait   = 8 * time.Second
	watchPause  = 800 * time.Millisecond

	// bound is the time in which a change must be known.
	bound = 2 * time.Second

	// noticeTime is the longest time in which a table that is back is noticed:
	// the time between two calls, or before the first one.
	noticeTime = maxUnproved + 50*time.Millisecond
)

// group is a number of followers of a table that exchange proofs.
type group struct {
	table     *fakeTable
	followers []*feed.Follower[string]
	events    []feed.Event
	calls     int

	// mu guards copies, events and calls.
	mu     sync.Mutex
	copies []map[string]string
}

// startGroup starts n followers that exchange proofs every interval, and at once
// after each call but watches, or not at all if the interval is zero.
func startGroup(t *testing.T, table *fakeTable, n int, interval time.Duration) *group {
	return startGroupWith(t, table, n, interval, func(*feed.Config[string]) {})
}

// startGroupWith is startGroup with configurations that a function changes.
func startGroupWith(
	t *testing.T, table *fakeTable, n int, interval time.Duration, configure func(*feed.Config[string]),
) *group {
	g := &group{table: table, copies: make([]map[string]string, n)}
	for i := range n {
		config := feed.Config[string]{
			Source: table, Clock: table.clock, WatchWait: watchWait, WatchPause: watchPause, MaxUnproved: maxUnproved,
			LapseGrace: 2 * time.Second, LapseTime: 2100 * time.Millisecond, RemovalGrace: removalGrace,
			ReadMissed: table.link != nil, // Tables behind a link have rows that are replaced.
			Apply: func(rows map[string]string, _ int64) {
				g.mu.Lock()
				defer g.mu.Unlock()
				g.copies[i] = rows
			},
			OnEvent: func(e feed.Event) {
				g.mu.Lock()
				defer g.mu.Unlock()
				g.events = append(g.events, e)
			},
			OnCall: func(feed.CallReport) {
				g.mu.Lock()
				defer g.mu.Unlock()
				g.calls++
			},
			OnResponse: func(call feed.Call, _ feed.Proof) {
				if interval > 0 && call != feed.WatchCall {
					g.tellOthers(i)
				}
			},
		}
		configure(&config)
		g.followers = append(g.followers, feed.NewFollower(config))
	}
	for _, f := range g.followers {
		go func() { _ = f.Run(t.Context()) }()
	}
	if interval > 0 {
		go g.exchange(t.Context(), interval)
	}
	synctest.Wait()
	return g
}

// exchange tells each follower the proofs of all others.
func (g *group) exchange(ctx context.Context, interval time.Duration) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-time.After(interval):
		}
		for i := range g.followers {
			g.tellOthers(i)
		}
	}
}

// tellOthers tells all other followers the proof of one.
func (g *group) tellOthers(from int) {
	proof := g.followers[from].Proof()
	for i, to := range g.followers {
		if i != from {
			to.Learn(proof)
		}
	}
}

// copyOf returns the copy of a follower.
func (g *group) copyOf(i int) map[string]string {
	synctest.Wait()
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.copies[i]
}

// callCount returns the number of calls so far.
func (g *group) callCount() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.calls
}

// Guards against a copy that stays outdated while a watch on a silent connection
// is open: calls in progress during one second get no response, and the change
// of the incident, a row written or removed in it, must be known in time.
func TestChangeIsKnownInTimeWhenTheWatchIsSilent(t *testing.T) {
	for name, change := range map[string]func(*fakeTable){
		"written": func(f *fakeTable) { f.put("a", "2") },
		"removed": func(f *fakeTable) { f.remove("a") },
	} {
		t.Run(name, func(t *testing.T) {
			for open := time.Duration(0); open < watchWait; open += 400 * time.Millisecond {
				synctest.Test(t, func(t *testing.T) {
					table := newFakeTable()
					table.put("a", "1")
					g := startGroup(t, table, 1, 0)
					time.Sleep(open)
					end := table.silence()
					time.Sleep(200 * time.Millisecond)
					change(table)
					time.Sleep(800 * time.Millisecond)
					end()
					time.Sleep(bound - 800*time.Millisecond)
					gomega.NewWithT(t).Expect(g.copyOf(0)["a"]).NotTo(gomega.Equal("1"), "silence after %v", open)
				})
			}
		})
	}
}

// Guards against rows that are kept after a silent call as if they had lapsed in
// an outage: the table was away for less time than a row needs to lapse.
func TestRowRemovedDuringAShortSilenceIsNotKept(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := newFakeTable()
		table.put("a", "1")
		g := startGroup(t, table, 1, 0)
		time.Sleep(3 * time.Second)
		end := table.silence()
		table.remove("a")
		time.Sleep(900 * time.Millisecond)
		end()
		time.Sleep(noticeTime)
		gomega.NewWithT(t).Expect(g.copyOf(0)).To(gomega.BeEmpty())
	})
}

// Guards against a single follower that misses a change which all others have.
func TestFollowerLearnsFromOthersThatItsWatchIsSilent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		table := newFakeTable()
		table.put("a", "1")
		all := startGroup(t, table, 4, 100*time.Millisecond)
		time.Sleep(3 * time.Second)
		end := table.silence()
		time.Sleep(10 * time.Millisecond)
		end()
		table.put("a", "2")
		time.Sleep(maxUnproved + 300*time.Millisecond)
		for i := range 4 {
			g.Expect(all.copyOf(i)).To(gomega.HaveKeyWithValue("a", "2"))
		}
	})
}

// Guards against outages that are reported because a watch was silent, although
// other calls were answered all the while.
func TestSilentWatchIsNoOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		table := newFakeTable()
		table.put("a", "1")
		all := startGroup(t, table, 1, 0)
		time.Sleep(3 * time.Second)
		for range 2 { // A watch is open at one of the two moments at least.
			table.silence()()
			time.Sleep(watchPause + 100*time.Millisecond)
		}
		time.Sleep(2 * watchWait)
		table.put("a", "2")
		time.Sleep(watchPause)
		g.Expect(all.copyOf(0)).To(gomega.HaveKeyWithValue("a", "2"), "the watch was replaced")
		for _, e := range all.events {
			g.Expect(e.Lost).To(gomega.BeFalse())
		}
		g.Expect(all.events).To(gomega.ContainElement(gomega.HaveField("Silent", true)))
	})
}

// Guards against reads of a large table that are repeated while they make
// progress, and then load the table several times over.
func TestSlowReadIsNotRepeated(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		table := newFakeTable()
		table.put("a", "1")
		table.setLag(550 * time.Millisecond)
		all := startGroup(t, table, 1, 0)
		time.Sleep(600 * time.Millisecond)
		g.Expect(all.copyOf(0)).To(gomega.HaveKeyWithValue("a", "1"))
		g.Expect(table.requestCount()).To(gomega.Equal(1))
	})
}

// Guards against checks that multiply with the number of followers: those that
// exchange proofs make few, and none when the watches of many prove enough.
func TestFollowersThatExchangeProofsShareTheChecks(t *testing.T) {
	for _, n := range []int{1, 8, 80, 400} {
		synctest.Test(t, func(t *testing.T) {
			table := newFakeTable()
			table.put("a", "1")
			// Reports of many routers are rare.
			g := startGroup(t, table, n, max(100*time.Millisecond, time.Duration(n)*10*time.Millisecond))
			time.Sleep(10 * time.Second)
			before := g.callCount()
			time.Sleep(time.Minute)
			calls := float64(g.callCount()-before) / time.Minute.Seconds()
			watches := float64(n) / (watchWait + watchPause).Seconds()
			t.Logf("%d followers: %.1f calls a second, of which about %.1f watches", n, calls, watches)
			gomega.NewWithT(t).Expect(calls).To(gomega.BeNumerically("<", 1.1*watches+2/maxUnproved.Seconds()))
		})
	}
}

// Guards against proofs that don't hold for a copy: of changes that it lacks, or
// from before the clock of the table's store was reset.
func TestProofsThatDoNotHoldAreIgnored(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		table := newFakeTable()
		table.put("a", "1")
		follower := startGroup(t, table, 1, 0).followers[0]
		before, _ := follower.AsOf()
		own := follower.Proof()
		time.Sleep(100 * time.Millisecond)
		follower.Learn(feed.Proof{Changed: own.Changed, Covered: own.Covered + 1, Clock: own.Clock + 50*time.Millisecond})
		follower.Learn(feed.Proof{Changed: own.Changed, Covered: own.Covered, Clock: own.Clock + time.Hour})
		follower.Learn(feed.Proof{})
		after, _ := follower.AsOf()
		g.Expect(after).To(gomega.Equal(before))
		follower.Learn(feed.Proof{Changed: own.Changed, Covered: own.Covered, Clock: own.Clock + 50*time.Millisecond})
		after, _ = follower.AsOf()
		g.Expect(after).To(gomega.Equal(before + 50*time.Millisecond))
	})
}

// Guards against a false report of a missed change that causes calls without end.
func TestChangeThatTheTableLacksIsCheckedOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := newFakeTable()
		table.put("a", "1")
		g := startGroup(t, table, 1, 0)
		time.Sleep(time.Second)
		before := g.callCount()
		for range 50 {
			g.followers[0].Learn(feed.Proof{Changed: 99, Covered: 99, Clock: time.Second})
			time.Sleep(100 * time.Millisecond)
		}
		checks := 2 * 5 * time.Second / maxUnproved
		gomega.NewWithT(t).Expect(g.callCount() - before).To(gomega.BeNumerically("<=", int(checks)+3))
	})
}
