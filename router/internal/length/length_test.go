package length_test

import (
	"fmt"
	"testing"

	"github.com/onsi/gomega"

	"snipetally.example/router/internal/length"
)

func TestEstimateFollowsRecentLengths(t *testing.T) {
	g := gomega.NewWithT(t)
	estimator := length.NewEstimator(100)
	key := length.Key{Class: "chat", Team: "a", Model: "m"}
	g.Expect(estimator.Mean(key, 0)).To(gomega.BeNumerically("==", length.PriorMean))
	for range 2000 {
		estimator.Observe(key, 100)
	}
	g.Expect(estimator.Mean(key, 0)).To(gomega.BeNumerically("~", 100, 25))
	g.Expect(estimator.Quantile(key, 0.9)).To(gomega.BeNumerically(">=", 100))
	for range 2000 {
		estimator.Observe(key, 1000)
	}
	g.Expect(estimator.Mean(key, 0)).To(gomega.BeNumerically("~", 1000, 250))
}

func TestUnknownTeamFallsBackToItsClass(t *testing.T) {
	g := gomega.NewWithT(t)
	estimator := length.NewEstimator(100)
	for range 100 {
		estimator.Observe(length.Key{Class: "tags", Team: "a", Model: "m"}, 10)
	}
	g.Expect(estimator.Mean(length.Key{Class: "tags", Team: "new", Model: "m"}, 0)).To(gomega.BeNumerically("<", 20))
}

func TestExpectedLengthGrowsWithGeneratedTokens(t *testing.T) {
	g := gomega.NewWithT(t)
	estimator := length.NewEstimator(100)
	key := length.Key{Class: "chat"}
	for i := range 1000 {
		estimator.Observe(key, 50+900*(i%2))
	}
	g.Expect(estimator.Mean(key, 200)).To(gomega.BeNumerically(">", 700))
	g.Expect(estimator.Mean(key, 5000)).To(gomega.BeNumerically(">=", 5000))
}

func TestNumberOfHistogramsIsBounded(t *testing.T) {
	g := gomega.NewWithT(t)
	estimator := length.NewEstimator(50)
	for i := range 1000 {
		estimator.Observe(length.Key{Class: "chat", Team: fmt.Sprint(i), Model: "m"}, 10)
	}
	g.Expect(estimator.Len()).To(gomega.BeNumerically("<=", 50))
}
