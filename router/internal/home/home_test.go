package home_test

import (
	"net/netip"
	"slices"
	"testing"

	"github.com/onsi/gomega"

	"snipetally.example/router/internal/home"
)

// routers returns n addresses.
func routers(n int) []netip.AddrPort {
	var all []netip.AddrPort
	for i := range n {
		all = append(all, netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)}), 7340))
	}
	return all
}

func TestAllRoutersChooseTheSameHomeAndShareTheKeys(t *testing.T) {
	g := gomega.NewWithT(t)
	all := routers(8)
	counts := make(map[netip.AddrPort]int)
	for key := range uint64(800) {
		chosen := home.Of(key, all[0], all[1:])
		counts[chosen]++
		for i, own := range all {
			g.Expect(home.Of(key, own, slices.Delete(slices.Clone(all), i, i+1))).To(gomega.Equal(chosen))
		}
	}
	for _, router := range all {
		g.Expect(counts[router]).To(gomega.BeNumerically("~", 100, 50))
	}
}

func TestARouterThatEndsMovesOnlyItsOwnKeys(t *testing.T) {
	g := gomega.NewWithT(t)
	all := routers(8)
	for key := range uint64(800) {
		before := home.Of(key, all[0], all[1:])
		after := home.Of(key, all[0], all[1:7])
		if before != all[7] {
			g.Expect(after).To(gomega.Equal(before))
		}
	}
}
