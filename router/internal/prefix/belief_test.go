package prefix_test

import (
	"testing"
	"time"

	"github.com/onsi/gomega"

	"snipetally.example/router/internal/prefix"
)

// strengths returns the believed holders of a prefix.
func strengths(b *prefix.Index, now time.Time, hash uint64) map[string]float64 {
	found := make(map[string]float64)
	b.Holders(now, hash, func(h prefix.Holder) { found[h.Server] = h.Probability })
	return found
}

func TestBeliefFades(t *testing.T) {
	g := gomega.NewWithT(t)
	b := prefix.NewIndex(10)
	now := time.Unix(1000, 0)
	b.Add(now, 1, "a", 1)
	g.Expect(strengths(b, now, 1)).To(gomega.HaveKeyWithValue("a", 1.0))
	g.Expect(strengths(b, now.Add(prefix.HalfLife), 1)).To(gomega.HaveKeyWithValue("a", 0.5))
	g.Expect(strengths(b, now.Add(10*prefix.HalfLife), 1)).To(gomega.BeEmpty())
}

func TestDroppedPrefixIsForgottenForThatServerOnly(t *testing.T) {
	g := gomega.NewWithT(t)
	b := prefix.NewIndex(10)
	now := time.Unix(1000, 0)
	b.Add(now, 1, "a", 1)
	b.Add(now, 1, "b", 1)
	b.Remove(1, "a")
	g.Expect(strengths(b, now, 1)).To(gomega.Equal(map[string]float64{"b": 1}))
}

func TestBeliefIsBounded(t *testing.T) {
	g := gomega.NewWithT(t)
	b := prefix.NewIndex(10)
	now := time.Unix(1000, 0)
	for i := range uint64(100) {
		b.Add(now, i, "a", 1)
	}
	g.Expect(b.Len()).To(gomega.Equal(10))
	g.Expect(strengths(b, now, 99)).NotTo(gomega.BeEmpty())
}
