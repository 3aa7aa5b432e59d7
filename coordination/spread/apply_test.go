package spread_test

import (
	"context"
	"fmt"
	"testing"

	"github.com/juju/errors"
	"github.com/onsi/gomega"
	"pgregory.net/rapid"

	"snipetally.example/coordination/revision"
	"snipetally.example/coordination/spread"
)

// installer records the installed revisions and fails if fail is set.
type installer struct {
	revisions []uint64
	fail      bool
}

var errInstall = errors.New("installation failed")

func (i *installer) Install(_ context.Context, s *revision.Snapshot) error {
	if i.fail {
		return errInstall
	}
	i.revisions = append(i.revisions, s.Revision)
	return nil
}

func entries(from, to uint64) []revision.Entry {
	var list []revision.Entry
	for r := from; r <= to; r++ {
		change := revision.Change{Key: fmt.Sprint(r % 5), Value: fmt.Append(nil, r)}
		list = append(list, revision.Entry{Revision: r, Changes: []revision.Change{change}})
	}
	return list
}

func snapshot(r uint64) *revision.Snapshot {
	s := &revision.Snapshot{}
	for _, e := range entries(1, r) {
		s, _ = s.Apply(e)
	}
	return s
}

func TestSettingsNeverGoBackOrSkipRevisions(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		g := gomega.NewWithT(rt)
		inst := &installer{}
		replicator := spread.New(spread.Config{Installer: inst, EntryLogBytes: rapid.IntRange(1, 4000).Draw(rt, "entry log bytes")})
		for range rapid.IntRange(1, 12).Draw(rt, "deltas") {
			from := rapid.Uint64Range(1, 30).Draw(rt, "from")
			to := rapid.Uint64Range(from, 32).Draw(rt, "to")
			delta := spread.Delta{Entries: entries(from, to)}
			if rapid.Bool().Draw(rt, "with snapshot") {
				delta.Snapshot = snapshot(from - 1)
			}
			inst.fail = rapid.IntRange(0, 4).Draw(rt, "fail") == 0
			before := replicator.Snapshot().Revision
			err := replicator.Apply(context.Background(), delta)
			follows := delta.Snapshot != nil || from <= before+1
			switch {
			case !follows && to > before:
				g.Expect(err).To(gomega.MatchError(revision.ErrGap))
				g.Expect(replicator.Snapshot().Revision).To(gomega.Equal(before))
			case inst.fail && to > before:
				g.Expect(err).To(gomega.MatchError(errInstall))
				g.Expect(replicator.Snapshot().Revision).To(gomega.Equal(before))
			default:
				g.Expect(replicator.Snapshot()).To(gomega.Equal(snapshot(max(before, to))))
			}
			for i := 1; i < len(inst.revisions); i++ {
				g.Expect(inst.revisions[i]).To(gomega.BeNumerically(">", inst.revisions[i-1]))
			}
		}
		puller := spread.New(spread.Config{Installer: &installer{}})
		for puller.Snapshot().Revision < replicator.Snapshot().Revision {
			delta, err := replicator.HandlePull(context.Background(), puller.Snapshot().Revision)
			g.Expect(err).NotTo(gomega.HaveOccurred())
			g.Expect(puller.Apply(context.Background(), delta)).To(gomega.Succeed())
		}
		g.Expect(puller.Snapshot()).To(gomega.Equal(replicator.Snapshot()))
	})
}
