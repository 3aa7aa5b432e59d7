package prefix_test

import (
	"testing"
	"time"

	"github.com/onsi/gomega"

	"snipetally.example/router/internal/prefix"
)

// probabilities returns the holders of a prefix and their probabilities.
func probabilities(index *prefix.Index, now time.Time, hash uint64) map[string]float64 {
	found := make(map[string]float64)
	index.Holders(now, hash, func(h prefix.Holder) { found[h.Server] = h.Probability })
	return found
}

func TestProbabilityHalvesEveryHalfLife(t *testing.T) {
	g := gomega.NewWithT(t)
	index := prefix.NewIndex(10)
	now := time.Unix(1000, 0)
	index.Add(now, 1, "a", 1)
	g.Expect(probabilities(index, now, 1)).To(gomega.HaveKeyWithValue("a", 1.0))
	g.Expect(probabilities(index, now.Add(prefix.HalfLife), 1)).To(gomega.HaveKeyWithValue("a", 0.5))
	g.Expect(probabilities(index, now.Add(10*prefix.HalfLife), 1)).To(gomega.BeEmpty())
}

func TestRemoveForgetsThePrefixForThatServerOnly(t *testing.T) {
	g := gomega.NewWithT(t)
	index := prefix.NewIndex(10)
	now := time.Unix(1000, 0)
	index.Add(now, 1, "a", 1)
	index.Add(now, 1, "b", 1)
	index.Remove(1, "a")
	g.Expect(probabilities(index, now, 1)).To(gomega.Equal(map[string]float64{"b": 1}))
}

func TestNumberOfPrefixesIsBounded(t *testing.T) {
	g := gomega.NewWithT(t)
	index := prefix.NewIndex(10)
	now := time.Unix(1000, 0)
	for i := range uint64(100) {
		index.Add(now, i, "a", 1)
	}
	g.Expect(index.Len()).To(gomega.Equal(10))
	g.Expect(probabilities(index, now, 99)).NotTo(gomega.BeEmpty())
}
