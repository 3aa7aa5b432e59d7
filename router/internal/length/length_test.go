package length_test

import (
	"fmt"
	"testing"

	"github.com/onsi/gomega"

	"snipetally.example/router/internal/length"
)

func TestLengthsAreLearnedAndForgotten(t *testing.T) {
	g := gomega.NewWithT(t)
	book := length.NewEstimator(100)
	key := length.Key{Class: "chat", Team: "a", Model: "m"}
	g.Expect(book.Mean(key, 0)).To(gomega.BeNumerically("==", length.PriorMean))
	for range 2000 {
		book.Observe(key, 100)
	}
	g.Expect(book.Mean(key, 0)).To(gomega.BeNumerically("~", 100, 25))
	g.Expect(book.Quantile(key, 0.9)).To(gomega.BeNumerically(">=", 100))
	for range 2000 {
		book.Observe(key, 1000)
	}
	g.Expect(book.Mean(key, 0)).To(gomega.BeNumerically("~", 1000, 250))
}

func TestUnknownTeamIsJudgedByItsClass(t *testing.T) {
	g := gomega.NewWithT(t)
	book := length.NewEstimator(100)
	for range 100 {
		book.Observe(length.Key{Class: "tags", Team: "a", Model: "m"}, 10)
	}
	g.Expect(book.Mean(length.Key{Class: "tags", Team: "new", Model: "m"}, 0)).To(gomega.BeNumerically("<", 20))
}

func TestExpectationGrowsWithTheAnswer(t *testing.T) {
	g := gomega.NewWithT(t)
	book := length.NewEstimator(100)
	key := length.Key{Class: "chat"}
	for i := range 1000 {
		book.Observe(key, 50+900*(i%2))
	}
	g.Expect(book.Mean(key, 200)).To(gomega.BeNumerically(">", 700))
	g.Expect(book.Mean(key, 5000)).To(gomega.BeNumerically(">=", 5000))
}

func TestMemoryIsBounded(t *testing.T) {
	g := gomega.NewWithT(t)
	book := length.NewEstimator(50)
	for i := range 1000 {
		book.Observe(length.Key{Class: "chat", Team: fmt.Sprint(i), Model: "m"}, 10)
	}
	g.Expect(book.Len()).To(gomega.BeNumerically("<=", 50))
}
