package memory_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"

	"snipetally.example/coordination/table"
	"snipetally.example/coordination/table/memory"
)

func TestCommitTakesEffectAccordingToFaultMode(t *testing.T) {
	cases := map[string]struct {
		fault  memory.Fault
		err    error
		effect bool
	}{
		"unavailable":   {memory.Fault{Mode: memory.Unavailable}, table.ErrUnavailable, false},
		"hanging":       {memory.Fault{Mode: memory.Hanging}, table.ErrUncertain, false},
		"lost request":  {memory.Fault{Mode: memory.LostRequest}, table.ErrUncertain, false},
		"lost response": {memory.Fault{Mode: memory.LostResponse}, table.ErrUncertain, true},
		"late":          {memory.Fault{Delay: 5 * time.Second}, table.ErrUncertain, true},
		"slow":          {memory.Fault{Delay: time.Millisecond}, nil, true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := gomega.NewWithT(t)
				tab := memory.New()
				tab.SetFaults(func(table.Kind) memory.Fault { return c.fault })
				ctx, cancel := context.WithTimeout(t.Context(), time.Second)
				defer cancel()
				err := tab.Commit(ctx, table.Transaction{Writes: []table.Write{{Key: "a"}}})
				if c.err == nil {
					g.Expect(err).NotTo(gomega.HaveOccurred())
				} else {
					g.Expect(err).To(gomega.MatchError(c.err))
				}
				time.Sleep(10 * time.Second)
				tab.SetFaults(nil)
				rows, err := tab.Read(t.Context(), "a")
				g.Expect(err).NotTo(gomega.HaveOccurred())
				g.Expect(rows[0].Version > 0).To(gomega.Equal(c.effect))
				g.Expect(tab.Counts().Calls[table.KindCommit]).To(gomega.Equal(1))
			})
		})
	}
}
