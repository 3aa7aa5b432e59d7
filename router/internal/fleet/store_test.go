package fleet_test

import (
	"testing"

	"github.com/onsi/gomega"
	"pgregory.net/rapid"

	"snipetally.example/coordination/seeds"
	"snipetally.example/router/internal/fleet"
)

func init() {
	seeds.Fix()
}

func TestStoreRevisionNeverDecreases(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		g := gomega.NewWithT(rt)
		store := fleet.NewStore()
		newest := uint64(0)
		revisions := rapid.SliceOf(rapid.Uint64Range(1, 20)).Draw(rt, "revisions")
		for _, revision := range revisions {
			installed := store.Install(fleet.New(revision, fleet.Plan{}))
			g.Expect(installed).To(gomega.Equal(revision > newest))
			newest = max(newest, revision)
			g.Expect(store.Revision()).To(gomega.Equal(newest))
		}
	})
}

func TestSnapshotOutlivesReplacementUntilReleased(t *testing.T) {
	g := gomega.NewWithT(t)
	store := fleet.NewStore()
	first := fleet.New(1, fleet.Plan{})
	store.Install(first)
	held := store.Acquire()
	g.Expect(held).To(gomega.BeIdenticalTo(first))
	store.Install(fleet.New(2, fleet.Plan{}))
	g.Expect(first.References()).To(gomega.Equal(int64(1)))
	held.Release()
	g.Expect(first.References()).To(gomega.Equal(int64(0)))
}
