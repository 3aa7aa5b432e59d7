package record_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/juju/errors"
	"github.com/onsi/gomega"

	"snipetally.example/coordination/record"
	"snipetally.example/coordination/table"
)

// objectStore is an object store in memory.
type objectStore map[string][]byte

func (o objectStore) Put(_ context.Context, name string, data []byte) error {
	o[name] = data
	return nil
}

func (o objectStore) Get(_ context.Context, name string) ([]byte, error) {
	if data, ok := o[name]; ok {
		return data, nil
	}
	return nil, errors.NotFound
}

// withoutPeers runs a test with two routers that write their records themselves
// and can't ask each other.
func withoutPeers(t *testing.T, test func(g *gomega.WithT, c *cluster, store objectStore)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		store := make(objectStore)
		c := newCluster(t.Context(), 2, nil, func(config *record.Config) {
			config.Homes, config.Peers, config.Store = nil, nil, store
		})
		defer c.stop()
		test(gomega.NewWithT(t), c, store)
	})
}

func begin(g *gomega.WithT, c *cluster, router int, key string) record.Decision {
	d, err := c.router(router).recorder.Begin(c.ctx, record.Call{Team: "team", Key: key})
	g.Expect(err).NotTo(gomega.HaveOccurred())
	return d
}

func TestAttemptIsDispatchedOnce(t *testing.T) {
	withoutPeers(t, func(g *gomega.WithT, c *cluster, _ objectStore) {
		a := begin(g, c, 0, "k").Attempt
		g.Expect(a.Lost(c.ctx)).To(gomega.MatchError(record.ErrInvalidState))
		g.Expect(a.Dispatch(c.ctx)).To(gomega.Succeed())
		g.Expect(a.Dispatch(c.ctx)).To(gomega.MatchError(record.ErrInvalidState))
		g.Expect(a.Finish(c.ctx, &record.Response{Status: 200})).To(gomega.Succeed())
		g.Expect(a.NotRun(c.ctx)).To(gomega.MatchError(record.ErrInvalidState))
	})
}

func TestLateDispatchIsRefusedAndSettledAsNotRun(t *testing.T) {
	withoutPeers(t, func(g *gomega.WithT, c *cluster, _ objectStore) {
		a := begin(g, c, 0, "k").Attempt
		time.Sleep(11 * time.Second)
		g.Expect(a.Dispatch(c.ctx)).To(gomega.MatchError(record.ErrDispatchTooLate))
		time.Sleep(time.Second)
		g.Expect(begin(g, c, 1, "k").Kind).To(gomega.Equal(record.Run))
	})
}

func TestCallWithoutKeyHasNoRecord(t *testing.T) {
	withoutPeers(t, func(g *gomega.WithT, c *cluster, _ objectStore) {
		d := begin(g, c, 0, "")
		g.Expect(d.Attempt.Protected()).To(gomega.BeFalse())
		g.Expect(d.Attempt.Dispatch(c.ctx)).To(gomega.Succeed())
		g.Expect(d.Attempt.Finish(c.ctx, &record.Response{})).To(gomega.Succeed())
		g.Expect(c.router(0).recorder.Drain(c.ctx)).To(gomega.Succeed())
		rows, _ := c.store.List(c.ctx, table.Range{})
		g.Expect(rows).To(gomega.BeEmpty())
	})
}

func TestLargeResponseIsReplayedFromObjectStore(t *testing.T) {
	withoutPeers(t, func(g *gomega.WithT, c *cluster, store objectStore) {
		a := begin(g, c, 0, "k").Attempt
		body := make([]byte, 100<<10)
		g.Expect(a.Dispatch(c.ctx)).To(gomega.Succeed())
		g.Expect(a.Finish(c.ctx, &record.Response{Status: 200, Body: body})).To(gomega.Succeed())
		g.Expect(c.router(0).recorder.Drain(c.ctx)).To(gomega.Succeed())
		g.Expect(begin(g, c, 1, "k").Response.Body).To(gomega.Equal(body))
		rows, _ := c.store.List(c.ctx, table.Range{Prefix: "once/p/"})
		g.Expect(len(rows[0].Value)).To(gomega.BeNumerically("<", 1<<10))
		clear(store)
		d := begin(g, c, 1, "k")
		g.Expect(d.Kind).To(gomega.Equal(record.Unknown))
		g.Expect(d.Ran).To(gomega.BeTrue())
	})
}

func TestDrainSettlesRemainingAttempts(t *testing.T) {
	withoutPeers(t, func(g *gomega.WithT, c *cluster, _ objectStore) {
		undispatched, dispatched := begin(g, c, 0, "waiting").Attempt, begin(g, c, 0, "running").Attempt
		g.Expect(dispatched.Dispatch(c.ctx)).To(gomega.Succeed())
		ctx, cancel := context.WithTimeout(c.ctx, time.Second)
		defer cancel()
		g.Expect(c.router(0).recorder.Drain(ctx)).To(gomega.Succeed())
		g.Expect(begin(g, c, 0, "new").Kind).To(gomega.Equal(record.Unavailable))
		g.Expect(undispatched.Dispatch(c.ctx)).To(gomega.MatchError(record.ErrInvalidState))
		g.Expect(begin(g, c, 1, "waiting").Kind).To(gomega.Equal(record.Run))
		state := c.router(0).recorder.State()
		g.Expect([]int{state.Running, state.Unsaved, state.Held}).To(gomega.Equal([]int{0, 0, 0}))
	})
}

func TestOldKeyNeverRunsAgain(t *testing.T) {
	withoutPeers(t, func(g *gomega.WithT, c *cluster, _ objectStore) {
		timed := timedKey(time.Now(), 1)
		for _, key := range []string{"plain", timed} {
			a := begin(g, c, 0, key).Attempt
			g.Expect(a.Dispatch(c.ctx)).To(gomega.Succeed())
			g.Expect(a.Finish(c.ctx, &record.Response{})).To(gomega.Succeed())
		}
		for range 30 {
			time.Sleep(time.Hour)
			for _, key := range []string{"plain", timed} {
				g.Expect(begin(g, c, 1, key).Kind).To(gomega.BeElementOf(record.Replay, record.Unknown, record.Expired))
			}
		}
		g.Expect(begin(g, c, 1, "plain").Kind).To(gomega.Equal(record.Expired))
		rows, _ := c.store.List(c.ctx, table.Range{})
		g.Expect(rows).To(gomega.HaveLen(1), "only the record of the key without a time stays")
		_, err := c.router(0).recorder.Begin(c.ctx, record.Call{Key: timedKey(time.Now().Add(time.Hour), 2)})
		g.Expect(err).To(gomega.MatchError(errors.NotValid))
	})
}

func TestPendingCallsAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		c := newCluster(t.Context(), 1, nil, func(config *record.Config) { config.MaxPending = 2 })
		defer c.stop()
		begin(g, c, 0, "a")
		begin(g, c, 0, "b")
		g.Expect(begin(g, c, 0, "c").Kind).To(gomega.Equal(record.Unavailable))
	})
}

func TestRecordWrittenAfterRefusalDoesNotBlockItsKey(t *testing.T) {
	withoutPeers(t, func(g *gomega.WithT, c *cluster, _ objectStore) {
		now := time.Now()
		c.outages = []outagePeriod{{from: now.Add(time.Millisecond), to: now.Add(time.Second)}}
		c.router(0).nextTableFault = commitDelayed
		g.Expect(begin(g, c, 0, "k").Kind).To(gomega.Equal(record.Unavailable))
		time.Sleep(3 * time.Second)
		rows, _ := c.store.List(c.ctx, table.Range{Prefix: "once/k/"})
		g.Expect(rows).To(gomega.HaveLen(1))
		g.Expect(begin(g, c, 1, "k").Kind).To(gomega.Equal(record.Run))
	})
}
