package feed_test

import (
	"context"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"

	"snipetally.example/coordination/feed"
)

// linkedSource is a table behind a link of its own, which can be cut.
type linkedSource struct {
	cutSource
	link *fakeLink
}

func (s *linkedSource) Read(ctx context.Context, received feed.Received) (feed.Response[string], error) {
	response, err := s.cutSource.Read(ctx, received)
	return s.carry(ctx, response, err, received)
}

func (s *linkedSource) Watch(
	ctx context.Context, after int64, wait time.Duration, received feed.Received,
) (feed.Response[string], error) {
	response, err := s.cutSource.Watch(ctx, after, wait, received)
	return s.carry(ctx, response, err, received)
}

// carry carries a response over the link.
func (s *linkedSource) carry(
	ctx context.Context, response feed.Response[string], err error, received feed.Received,
) (feed.Response[string], error) {
	if err != nil {
		return response, err
	}
	size := 0
	for _, change := range response.Changes {
		size += len(change.Value)
	}
	return response, s.link.transfer(ctx, size, received, func() bool { return false })
}

// Guards against versions that cost more on the links, or take longer, with the number
// of followers. An outage of five versions is followed by one that all get.
func TestVersionsCostOneTransferEachOnEveryLink(t *testing.T) {
	for _, n := range []int{8, 80, 400} {
		synctest.Test(t, func(t *testing.T) {
			e := gomega.NewWithT(t)
			table := newFakeTable()
			table.put("a", "0")
			sources := make([]*linkedSource, n)
			interval := max(100*time.Millisecond, time.Duration(n)*10*time.Millisecond)
			next := 0
			g := startGroupWith(t, table, n, interval, func(c *feed.Config[string]) {
				sources[next] = &linkedSource{cutSource: cutSource{fakeTable: table}, link: newFakeLink()}
				c.Source, c.ReadMissed = sources[next], true
				next++
			})
			time.Sleep(10 * time.Second)
			first := mostCarried(sources)
			table.put("a", row("1", mediumRow))
			time.Sleep(bound)
			// A check that is sent before the first part arrives takes a part of its own.
			e.Expect(mostCarried(sources) - first).To(gomega.BeNumerically("<=", mediumRow+linkChunk))

			for _, s := range sources {
				s.cut.Store(true)
			}
			for _, name := range []string{"2", "3", "4", "5", "6"} {
				time.Sleep(time.Second)
				table.put("a", row(name, mediumRow))
			}
			before := mostCarried(sources)
			for _, s := range sources {
				s.cut.Store(false)
			}
			back := time.Now()
			for i := range sources {
				for !strings.HasPrefix(g.copyOf(i)["a"], "6") {
					time.Sleep(10 * time.Millisecond)
				}
			}
			took, most := time.Since(back), mostCarried(sources)-before
			t.Logf("%d followers: outage of 5 versions of %d bytes: all have the newest after %v, at most %d bytes on a link",
				n, mediumRow, took.Round(time.Millisecond), most)
			e.Expect(took).To(gomega.BeNumerically("<=", bound))
		})
	}
}

// mostCarried returns the largest number of bytes that a link carried.
func mostCarried(sources []*linkedSource) int {
	most := 0
	for _, s := range sources {
		most = max(most, s.link.carried())
	}
	return most
}
