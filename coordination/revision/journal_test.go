package revision_test

import (
	"context"
	"fmt"
	"sync"
	"testing"

	"github.com/onsi/gomega"
	"pgregory.net/rapid"

	"snipetally.example/coordination/revision"
	"snipetally.example/coordination/table"
	"snipetally.example/coordination/table/memory"
)

// makeEntries returns n entries that follow the revision after.
func makeEntries(after uint64, n int) []revision.Entry {
	list := make([]revision.Entry, 0, n)
	for i := range n {
		r := after + uint64(i) + 1
		list = append(list, revision.Entry{
			Revision: r, Author: "asha", Token: fmt.Sprint(r),
			Changes: []revision.Change{{Key: fmt.Sprintf("team/%d", r%3000), Value: make([]byte, 300)}},
		})
	}
	return list
}

// TestJournalCatchesUpAndNeverRegresses lets one journal follow another through
// the updates of Since and through late, repeated and missing entries.
func TestJournalCatchesUpAndNeverRegresses(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		g := gomega.NewWithT(rt)
		source := revision.NewJournal(rapid.IntRange(0, 5000).Draw(rt, "limit"))
		follower := revision.NewJournal(1000)
		log := makeEntries(0, 60)
		for range rapid.IntRange(1, 30).Draw(rt, "rounds") {
			before := follower.Current().Revision
			changed := follower.Changed()
			from := rapid.IntRange(0, 55).Draw(rt, "from")
			to := rapid.IntRange(from, 60).Draw(rt, "to")
			_ = source.Apply(log[from:to]...)
			if rapid.Bool().Draw(rt, "push") {
				_ = follower.Apply(log[from:to]...)
			}
			if rapid.Bool().Draw(rt, "catch up") {
				update := source.Since(follower.Current().Revision)
				if update.Snapshot != nil {
					follower.Reset(update.Snapshot)
				}
				g.Expect(follower.Apply(update.Entries...)).To(gomega.Succeed())
				g.Expect(follower.Current().Revision).To(gomega.BeNumerically(">=", source.Current().Revision))
			}
			after := follower.Current()
			g.Expect(after.Revision).To(gomega.BeNumerically(">=", before))
			select {
			case <-changed:
				g.Expect(after.Revision).To(gomega.BeNumerically(">", before))
			default:
				g.Expect(after.Revision).To(gomega.Equal(before))
			}
			g.Expect(after.Documents).To(gomega.HaveLen(int(after.Revision)))
		}
	})
}

func BenchmarkApply(b *testing.B) {
	for _, documents := range []int{3000, 20000} {
		snapshot := &revision.Snapshot{Documents: make(map[string]revision.Document, documents)}
		for i := range documents {
			key := fmt.Sprintf("team/%d", i)
			snapshot.Documents[key] = revision.Document{Key: key, Value: make([]byte, 300)}
		}
		for _, batch := range []int{1, 1000} {
			b.Run(fmt.Sprintf("documents=%d/entries=%d", documents, batch), func(b *testing.B) {
				b.ReportAllocs()
				list := makeEntries(0, batch)
				for b.Loop() {
					if _, err := snapshot.ApplyAll(list); err != nil {
						b.Fatal(err)
					}
				}
			})
		}
	}
}

// BenchmarkLoad loads 20,000 documents after a compaction.
func BenchmarkLoad(b *testing.B) {
	const documents = 20000
	tab := memory.New()
	store := revision.NewStore(tab, revision.Config{RowsPerSecond: 1e6, CompactAfter: documents, MaxBatch: 1000})
	ctx, cancel := context.WithCancel(b.Context())
	var group sync.WaitGroup
	group.Go(func() { _ = store.Run(ctx) })
	var commands sync.WaitGroup
	for i := range documents {
		commands.Go(func() {
			command := revision.Command{
				Author: "asha", Token: fmt.Sprint(i),
				Changes: []revision.Change{{Key: fmt.Sprintf("team/%d", i), Value: make([]byte, 300)}},
			}
			if _, err := store.Commit(ctx, command); err != nil {
				b.Error(err)
			}
		})
	}
	commands.Wait()
	// The store processes the next command only after the compaction has ended.
	last := revision.Command{Author: "asha", Token: "last", Changes: []revision.Change{{Key: "last"}}}
	if _, err := store.Commit(ctx, last); err != nil {
		b.Fatal(err)
	}
	cancel()
	group.Wait()
	parts, err := tab.List(b.Context(), table.Range{Prefix: "revision/snapshot/"})
	if err != nil {
		b.Fatal(err)
	}
	bytes := 0
	for _, part := range parts {
		bytes += len(part.Value)
	}
	b.ReportAllocs()
	for b.Loop() {
		if _, err := store.Load(b.Context()); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(float64(len(parts)), "rows")
	b.ReportMetric(float64(bytes), "stored-bytes")
}
