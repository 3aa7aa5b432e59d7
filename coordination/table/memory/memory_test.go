package memory_test

import (
	"testing"

	"github.com/onsi/gomega"

	"snipetally.example/coordination/table"
	"snipetally.example/coordination/table/memory"
)

func TestCommitIsAtomic(t *testing.T) {
	g := gomega.NewWithT(t)
	ctx := t.Context()
	tab := memory.New()
	g.Expect(tab.Commit(ctx, table.Transaction{
		Checks: []table.Check{{Key: "a"}},
		Writes: []table.Write{{Key: "a", Value: []byte("1")}},
	})).To(gomega.Succeed())

	err := tab.Commit(ctx, table.Transaction{
		Checks: []table.Check{{Key: "a"}},
		Writes: []table.Write{{Key: "b", Value: []byte("2")}},
	})
	g.Expect(err).To(gomega.MatchError(table.ErrConflict))

	rows, err := tab.Read(ctx, "a", "b")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(rows[0].Value).To(gomega.Equal([]byte("1")))
	g.Expect(rows[1].Version).To(gomega.BeZero())
}
