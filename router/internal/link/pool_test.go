package link_test

import (
	"testing"

	"github.com/onsi/gomega"

	"snipetally.example/router/internal/link"
)

func TestPoolKeepsOneLinkForEachAddress(t *testing.T) {
	g := gomega.NewWithT(t)
	pool := link.NewPool()
	first := pool.Get("10.0.0.1:80")
	second := pool.Get("10.0.0.2:80")
	g.Expect(pool.Get("10.0.0.1:80")).To(gomega.BeIdenticalTo(first))
	g.Expect(first.Address()).To(gomega.Equal("10.0.0.1:80"))
	pool.Retain(func(address string) bool { return address == "10.0.0.1:80" })
	g.Expect(pool.Get("10.0.0.1:80")).To(gomega.BeIdenticalTo(first))
	g.Expect(pool.Get("10.0.0.2:80")).NotTo(gomega.BeIdenticalTo(second))
	pool.Close()
	g.Expect(pool.Get("10.0.0.1:80")).NotTo(gomega.BeIdenticalTo(first))
}

// BenchmarkLink measures the memory of a link without connections.
func BenchmarkLink(b *testing.B) {
	b.ReportAllocs()
	pool := link.NewPool()
	for b.Loop() {
		pool.Get("10.0.0.1:80")
		pool.Close()
	}
}
