package relay_test

import (
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"github.com/onsi/gomega/types"

	"snipetally.example/router/relay"
)

// meetingTime is the longest time that routers may take to find each other, on a slow
// machine.
const meetingTime = 30 * time.Second

// liveRouters matches metrics that say how many other routers are heard.
func liveRouters(n int) types.GomegaMatcher {
	return gomega.MatchRegexp(`gauge routers\.live\s+value:\s+%d\s`, n)
}

// Guards against routers that start while the seeds in their settings are out of date and
// stay alone for good: the seeds were read at the start only, and the settings may change
// without a signal.
func TestChangedSeedsAreUsedWithoutARestart(t *testing.T) {
	g := gomega.NewWithT(t)
	plan := newPlan(newClass("a", relay.Idempotent, 1))
	var first netip.AddrPort
	one, _ := startConfiguredNode(t, func(c *relay.Config) { first = c.PeerAddress }, plan, respond("ok"))
	var corrected atomic.Bool
	outdated := []netip.AddrPort{netip.MustParseAddrPort("127.0.0.1:9")}
	other, _ := startConfiguredNode(t, func(c *relay.Config) {
		c.PeerSeeds = outdated
		bounds := c.Bounds
		c.Reload = func() (relay.Settings, error) {
			if corrected.Load() {
				return relay.Settings{Bounds: bounds, PeerSeeds: []netip.AddrPort{first}}, nil
			}
			return relay.Settings{Bounds: bounds, PeerSeeds: outdated}, nil
		}
	}, plan, respond("ok"))
	g.Expect(other.metrics(t)).To(liveRouters(0))
	corrected.Store(true)
	g.Eventually(func() string { return other.metrics(t) }, meetingTime).Should(liveRouters(1))
	g.Eventually(func() string { return one.metrics(t) }, meetingTime).Should(liveRouters(1))
	g.Expect(other.logged("seeds changed", 1)()).To(gomega.BeTrue())
}
