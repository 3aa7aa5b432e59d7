package relay_test

import (
	"net/http"
	"net/netip"
	"testing"

	"github.com/onsi/gomega"

	"snipetally.example/coordination/feed"
	"snipetally.example/router/relay"
)

// Guards against a final no from a router that knows from others that there is a
// newer plan: what its own plan lacks may be there.
func TestUnknownRouteAndKeyAreRefusedWhileANewerPlanIsKnown(t *testing.T) {
	g := gomega.NewWithT(t)
	plan := newPlan(newClass("a", relay.Idempotent, 1))
	plan.Teams = []relay.Team{{Name: "red", Keys: []string{"old"}}}
	var first netip.AddrPort
	cut, _ := startConfiguredNode(t, func(c *relay.Config) { first = c.PeerAddress }, plan, respond("ok"))
	other, _ := startConfiguredNode(t, func(c *relay.Config) { c.PeerSeeds = []netip.AddrPort{first} }, plan, respond("ok"))
	g.Expect(cut.call(t, http.MethodGet, "/b/x", "").status).To(gomega.Equal(http.StatusNotFound))
	g.Expect(cut.call(t, http.MethodGet, "/a/x", "new").status).To(gomega.Equal(http.StatusUnauthorized))

	next := newPlan(newClass("a", relay.Idempotent, 1), newClass("b", relay.Idempotent, 1))
	next.Version = 2
	next.Teams = []relay.Team{{Name: "red", Keys: []string{"old", "new"}}}
	cut.plans.setUnavailable(true)
	other.plans.set(feed.Change[relay.Plan]{Key: "plan", Value: next})
	other.waitUntil(t, func() bool { return other.call(t, http.MethodGet, "/b/x", "new").body == "ok" })
	cut.waitUntil(t, func() bool {
		return cut.call(t, http.MethodGet, "/b/x", "new").status == http.StatusServiceUnavailable
	})
	refusal := cut.call(t, http.MethodGet, "/a/x", "new")
	g.Expect(refusal.status).To(gomega.Equal(http.StatusServiceUnavailable))
	g.Expect(refusal.header.Get("Retry-After")).NotTo(gomega.BeEmpty())
	g.Expect(cut.call(t, http.MethodGet, "/a/x", "old").status).To(gomega.Equal(http.StatusOK))

	cut.plans.set(feed.Change[relay.Plan]{Key: "plan", Value: next})
	cut.plans.setUnavailable(false)
	cut.waitUntil(t, func() bool { return cut.call(t, http.MethodGet, "/b/x", "new").body == "ok" })
}
