package revision_test

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/juju/errors"
	"github.com/onsi/gomega"

	"snipetally.example/coordination/revision"
	"snipetally.example/coordination/seeds"
	"snipetally.example/coordination/table"
	"snipetally.example/coordination/table/memory"
)

func init() { seeds.Fix() }

// startStore runs a store until the test calls the returned function.
func startStore(t *testing.T, tab table.Table, config revision.Config) (*revision.Store, func()) {
	ctx, cancel := context.WithCancel(t.Context())
	store := revision.NewStore(tab, config)
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = store.Run(ctx)
	}()
	return store, func() {
		cancel()
		<-done
	}
}

// setCommand returns a command that sets one document.
func setCommand(author, token string, base uint64, key, value string) revision.Command {
	return revision.Command{
		Author: author, Token: token, Base: base,
		Changes: []revision.Change{{Key: key, Value: []byte(value)}},
	}
}

func TestConflictingCommandReportsAuthorOfNewerWrite(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		tab := memory.New()
		first, stopFirst := startStore(t, tab, revision.Config{})
		defer stopFirst()
		second, stopSecond := startStore(t, tab, revision.Config{})
		defer stopSecond()

		winner, err := first.Commit(t.Context(), setCommand("asha", "1", 0, "force", "peak"))
		g.Expect(err).NotTo(gomega.HaveOccurred())
		_, err = second.Commit(t.Context(), setCommand("ravi", "2", 0, "force", "night"))
		var superseded *revision.SupersededError
		g.Expect(errors.As(err, &superseded)).To(gomega.BeTrue())
		g.Expect(*superseded).To(gomega.Equal(revision.SupersededError{Document: "force", Revision: winner.Revision, Author: "asha"}))

		other, err := second.Commit(t.Context(), setCommand("ravi", "3", 0, "class/chat", "x"))
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(other.Revision).To(gomega.Equal(winner.Revision + 1))
		repeated, err := second.Commit(t.Context(), setCommand("asha", "1", 0, "force", "peak"))
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(repeated).To(gomega.Equal(revision.Outcome{Revision: winner.Revision, Repeated: true}))
		_, err = second.Commit(t.Context(), setCommand("asha", "4", 9, "force", "peak"))
		g.Expect(err).To(gomega.MatchError(revision.ErrUnknownBase))
	})
}

func TestLateDuplicateIsRejectedAfterTombstoneIsDiscarded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		config := revision.Config{CompactAfter: 1, LogRetention: time.Second, TombstoneRetention: time.Minute}
		store, stop := startStore(t, memory.New(), config)
		defer stop()
		create := setCommand("asha", "create", 0, "server/a", "x")
		_, err := store.Commit(t.Context(), create)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		remove := revision.Command{Author: "asha", Token: "remove", Base: 1, Changes: []revision.Change{{Key: "server/a", Remove: true}}}
		_, err = store.Commit(t.Context(), remove)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		time.Sleep(time.Hour)
		for base := range uint64(3) {
			_, err = store.Commit(t.Context(), setCommand("ravi", fmt.Sprint(base), base+2, "other", "y"))
			g.Expect(err).NotTo(gomega.HaveOccurred())
			time.Sleep(time.Minute)
		}
		for _, late := range []revision.Command{create, remove} {
			var superseded *revision.SupersededError
			_, err = store.Commit(t.Context(), late)
			g.Expect(errors.As(err, &superseded)).To(gomega.BeTrue())
		}
		polled, err := store.Poll(t.Context(), 0)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(polled.Reset).To(gomega.BeTrue())
	})
}

func TestConcurrentCommandsShareTransactions(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		tab := memory.New()
		store, stop := startStore(t, tab, revision.Config{})
		defer stop()
		start := time.Now()
		var group sync.WaitGroup
		var failed atomic.Int32
		for i := range 1000 {
			group.Go(func() {
				if _, err := store.Commit(t.Context(), setCommand("asha", fmt.Sprint(i), 0, fmt.Sprint("team/", i), "x")); err != nil {
					failed.Add(1)
				}
			})
		}
		group.Wait()
		g.Expect(failed.Load()).To(gomega.BeZero())
		t.Logf("calls %v, rows %d, time %v", tab.Counts().Calls, tab.Counts().Rows, time.Since(start))
		g.Expect(time.Since(start)).To(gomega.BeNumerically("<", 5*time.Second))
		g.Expect(tab.Counts().Rows).To(gomega.BeNumerically("<=", 100))
		snapshot, err := store.Load(t.Context())
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(snapshot.Documents).To(gomega.HaveLen(1000))
		g.Expect(snapshot.Revision).To(gomega.BeEquivalentTo(1000))
	})
}

// TestTombstoneFloorAppliesOnlyOnceStored fails the compaction of one store
// after it has chosen tombstones to discard. The store must not apply the new
// floor, which other stores do not see, and must still accept what they accept.
func TestTombstoneFloorAppliesOnlyOnceStored(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		tab := memory.New()
		first, stopFirst := startStore(t, tab, revision.Config{CompactAfter: 3, TombstoneRetention: time.Second})
		defer stopFirst()
		second, stopSecond := startStore(t, tab, revision.Config{})
		defer stopSecond()
		commands := []revision.Command{
			setCommand("asha", "1", 0, "server/a", "x"),
			{Author: "asha", Token: "2", Base: 1, Changes: []revision.Change{{Key: "server/a", Remove: true}}},
			setCommand("asha", "3", 2, "server/b", "x"),
		}
		for _, command := range commands {
			_, err := first.Commit(t.Context(), command)
			g.Expect(err).NotTo(gomega.HaveOccurred())
			time.Sleep(time.Minute)
			commits := 0
			tab.SetFaults(func(kind table.Kind) memory.Fault {
				if kind == table.KindCommit {
					commits++
				}
				if commits > 1 {
					return memory.Fault{Mode: memory.Unavailable}
				}
				return memory.Fault{}
			})
		}
		tab.SetFaults(nil)
		create := setCommand("ravi", "4", 1, "server/c", "x")
		outcome, err := second.Commit(t.Context(), create)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(first.Commit(t.Context(), create)).To(gomega.Equal(revision.Outcome{Revision: outcome.Revision, Repeated: true}))
	})
}

func TestCommitWithLostResponseIsUncertainUntilReadBack(t *testing.T) {
	cases := map[string]struct {
		first memory.Fault
		reads memory.Mode
	}{
		"response lost and table unreadable": {memory.Fault{Mode: memory.LostResponse}, memory.Unavailable},
		"applied late and not read back yet": {memory.Fault{Delay: 30 * time.Second}, memory.Healthy},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := gomega.NewWithT(t)
				tab := memory.New()
				store, stop := startStore(t, timeoutTable{tab}, revision.Config{})
				defer stop()
				sent := false
				tab.SetFaults(func(kind table.Kind) memory.Fault {
					if kind == table.KindCommit && !sent {
						sent = true
						return c.first
					}
					if kind == table.KindCommit {
						return memory.Fault{Mode: memory.Unavailable}
					}
					if sent {
						return memory.Fault{Mode: c.reads}
					}
					return memory.Fault{}
				})
				command := setCommand("asha", "1", 0, "force", "peak")
				_, err := store.Commit(t.Context(), command)
				g.Expect(err).To(gomega.MatchError(table.ErrUncertain))
				g.Expect(errors.Is(err, table.ErrUnavailable)).To(gomega.BeFalse())
				time.Sleep(time.Minute)
				tab.SetFaults(nil)
				outcome, err := store.Commit(t.Context(), command)
				g.Expect(err).NotTo(gomega.HaveOccurred())
				g.Expect(outcome).To(gomega.Equal(revision.Outcome{Revision: 1, Repeated: true}))
			})
		})
	}
}

func TestRowsStayWithinPlatformLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		tab := memory.New()
		store, stop := startStore(t, tab, revision.Config{CompactAfter: 10})
		defer stop()
		var group sync.WaitGroup
		var failed atomic.Int32
		value := string(make([]byte, 100<<10))
		for i := range 40 {
			group.Go(func() {
				if _, err := store.Commit(t.Context(), setCommand("asha", fmt.Sprint(i), 0, fmt.Sprint("team/", i), value)); err != nil {
					failed.Add(1)
				}
			})
		}
		group.Wait()
		time.Sleep(time.Minute)
		g.Expect(failed.Load()).To(gomega.BeZero())
		rows, err := tab.List(t.Context(), table.Range{})
		g.Expect(err).NotTo(gomega.HaveOccurred())
		for _, row := range rows {
			g.Expect(len(row.Value)).To(gomega.BeNumerically("<=", 256<<10), row.Key)
		}
		g.Expect(rows).To(gomega.ContainElement(gomega.HaveField("Key", gomega.HavePrefix("revision/snapshot/"))))
		_, err = store.Commit(t.Context(), setCommand("asha", "large", 0, "team/large", value+value))
		g.Expect(err).To(gomega.MatchError(revision.ErrInvalid))
	})
}
