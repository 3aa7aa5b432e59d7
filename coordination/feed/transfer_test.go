package feed_test

import (
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"

	"snipetally.example/coordination/feed"
)

// The sizes of rows, in bytes, and the times that they take on a fakeLink: a
// fifth of a second and a second.
const (
	mediumRow = linkRate / 5
	largeRow  = linkRate
)

// row returns a value of a size that begins with a name.
func row(name string, size int) string { return name + strings.Repeat(".", size-len(name)) }

// startNarrow starts a follower behind a link of limited rate, with a small row,
// for a table whose rows are replaced as a whole.
func startNarrow(t *testing.T) (*group, *fakeTable) {
	table := newFakeTable()
	table.put("a", "0")
	table.link = newFakeLink()
	g := startGroup(t, table, 1, 0)
	time.Sleep(5 * time.Second)
	return g, table
}

// awaitRow waits until the follower has a row that begins with a name, and
// returns how long that took.
func awaitRow(t *testing.T, g *group, name string) time.Duration {
	t.Helper()
	start := time.Now()
	for !strings.HasPrefix(g.copyOf(0)["a"], name) {
		if time.Since(start) > time.Minute {
			t.Fatalf("no row %q after %v", name, time.Since(start))
		}
		time.Sleep(10 * time.Millisecond)
	}
	return time.Since(start)
}

// tellNewest tells the follower what another one, which has all changes, can prove.
func tellNewest(g *group, table *fakeTable) {
	newest := int64(len(table.history))
	g.followers[0].Learn(feed.Proof{Changed: newest, Covered: newest, Clock: table.clock() + table.skew})
}

// Guards against a row that takes longer to transfer than the response to a call
// may take to begin: it never arrived, and was asked for again and again.
func TestLargeRowArrivesOverANarrowLink(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g, table := startNarrow(t)
		before := table.link.carried()
		table.put("a", row("1", largeRow))
		took := awaitRow(t, g, "1")
		gomega.NewWithT(t).Expect(took).To(gomega.BeNumerically("<=", bound))
		gomega.NewWithT(t).Expect(table.link.carried() - before).To(gomega.BeNumerically("<", 2*largeRow))
	})
}

// Guards against a large row that is transferred again beside a transfer of it that
// makes progress, as others report it or as nothing proves the copy meanwhile.
func TestLargeRowIsTransferredOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g, table := startNarrow(t)
		before := table.link.carried()
		table.put("a", row("1", 3*largeRow))
		for range 29 {
			time.Sleep(100 * time.Millisecond)
			tellNewest(g, table)
		}
		awaitRow(t, g, "1")
		// A check that is sent before the first part arrives takes a part of its own.
		gomega.NewWithT(t).Expect(table.link.carried() - before).To(gomega.BeNumerically("<=", 3*largeRow+linkChunk))
	})
}

// Guards against a catch-up after an outage that takes a time for each version
// missed, of which only the newest is used.
func TestOnlyTheNewestOfMissedVersionsIsTransferred(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g, table := startNarrow(t)
		table.setDown(true)
		for _, name := range []string{"1", "2", "3", "4", "5"} {
			time.Sleep(time.Second)
			table.put("a", row(name, mediumRow))
			tellNewest(g, table)
		}
		before := table.link.carried()
		table.setDown(false)
		took := awaitRow(t, g, "5")
		gomega.NewWithT(t).Expect(took).To(gomega.BeNumerically("<=", time.Second))
		gomega.NewWithT(t).Expect(table.link.carried() - before).To(gomega.BeNumerically("<=", mediumRow+linkChunk))
	})
}

// Guards against versions that come faster than the link carries them, so that the
// copy falls behind for as long as they come.
func TestCopyKeepsUpWithVersionsFasterThanTheLink(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g, table := startNarrow(t)
		names, written := "0", []time.Time{time.Now()}
		oldest := time.Duration(0)
		for i := range 60 {
			name := string(rune('A' + i))
			table.put("a", row(name, largeRow/2))
			names, written = names+name, append(written, time.Now())
			time.Sleep(100 * time.Millisecond)
			tellNewest(g, table)
			time.Sleep(100 * time.Millisecond)
			if next := strings.Index(names, g.copyOf(0)["a"][:1]) + 1; next < len(written) {
				oldest = max(oldest, time.Since(written[next]))
			}
		}
		gomega.NewWithT(t).Expect(oldest).To(gomega.BeNumerically("<=", bound))
	})
}

// Guards against a transfer whose connection falls silent and is waited for.
func TestTransferThatStopsIsReplaced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g, table := startNarrow(t)
		table.put("a", row("1", largeRow))
		time.Sleep(500 * time.Millisecond)
		end := table.silence()
		time.Sleep(100 * time.Millisecond)
		end()
		took := awaitRow(t, g, "1")
		gomega.NewWithT(t).Expect(took).To(gomega.BeNumerically("<=", 2500*time.Millisecond))
	})
}

// Guards against a store that answers every call, but none before the router gives
// it up.
func TestSlowStoreIsHeard(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const lag = 2300 * time.Millisecond
		table := newFakeTable()
		table.put("a", "0")
		g := startGroup(t, table, 1, 0)
		time.Sleep(5 * time.Second)
		table.setLag(lag)
		time.Sleep(10 * time.Second)
		table.put("a", "1")
		took := awaitRow(t, g, "1")
		gomega.NewWithT(t).Expect(took).To(gomega.BeNumerically("<=", 2*lag+time.Second))
		oldest := time.Duration(0)
		for range 200 {
			time.Sleep(100 * time.Millisecond)
			asOf, _ := g.followers[0].AsOf()
			oldest = max(oldest, table.clock()-asOf)
		}
		gomega.NewWithT(t).Expect(oldest).To(gomega.BeNumerically("<=", 2*lag+time.Second))
	})
}
