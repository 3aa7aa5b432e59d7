package relay_test

import (
	"net/http"
	"net/netip"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"snipetally.example/coordination/feed"
	"snipetally.example/router/relay"
)

// keyedPlan returns a version of a plan with a class that needs a key and one that doesn't.
func keyedPlan(version int64, keys ...string) relay.Plan {
	public := newClass("p", relay.Idempotent, 1)
	public.Public = true
	plan := newPlan(newClass("a", relay.Idempotent, 1), public)
	plan.Version, plan.KeysRequired = version, true
	plan.Teams = []relay.Team{{Name: "red", Keys: keys}}
	return plan
}

// startBeside starts a router that knows another one, without a plan.
func startBeside(t *testing.T, other netip.AddrPort) (*testNode, *backend) {
	t.Helper()
	n, backends := startConfiguredNode(t, func(c *relay.Config) { c.PeerSeeds = []netip.AddrPort{other} }, relay.Plan{}, respond("ok"))
	return n, backends[0]
}

// setPlan has the table hold a plan.
func (r *testNode) setPlan(plan relay.Plan) {
	r.plans.set(feed.Change[relay.Plan]{Key: "plan", Value: plan})
}

// Guards against a key that was taken away and is accepted by a router that starts once the
// store came back from an older copy, whose plan still has it (review/6). All other requests
// would run by the older plan, too.
func TestRouterThatStartsAfterARestoreDoesNotUseThePlanOfTheCopy(t *testing.T) {
	for name, listened := range map[string]time.Duration{"hears of the newer plan first": 500 * time.Millisecond, "reads the older plan first": 0} {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			var address netip.AddrPort
			other, _ := startConfiguredNode(t, func(c *relay.Config) { address = c.PeerAddress }, keyedPlan(2, "kept"), respond("ok"))
			g.Expect(other.call(t, http.MethodGet, "/a/x", "revoked").status).To(gomega.Equal(http.StatusUnauthorized))
			n, server := startBeside(t, address)
			time.Sleep(listened)
			n.setPlan(keyedPlan(1, "kept", "revoked"))
			n.waitUntil(t, n.logged("plan in force", 1))
			for end := time.Now().Add(time.Second); time.Now().Before(end); {
				g.Expect(n.call(t, http.MethodGet, "/a/x", "revoked").status).To(gomega.Equal(http.StatusServiceUnavailable))
				g.Expect(n.isReady(t)).To(gomega.BeFalse())
			}
			n.waitUntil(t, n.logged("newer plan lost by the store", 1))
			refusal := n.call(t, http.MethodGet, "/p/x", "")
			g.Expect(refusal.status).To(gomega.Equal(http.StatusServiceUnavailable))
			g.Expect(refusal.header.Get("Retry-After")).NotTo(gomega.BeEmpty())
			g.Expect(server.arrived.Load()).To(gomega.BeZero())

			n.setPlan(keyedPlan(2, "kept"))
			n.waitUntil(t, func() bool { return n.isReady(t) })
			g.Expect(n.call(t, http.MethodGet, "/a/x", "revoked").status).To(gomega.Equal(http.StatusUnauthorized))
			g.Expect(n.call(t, http.MethodGet, "/a/x", "kept").status).To(gomega.Equal(http.StatusOK))
			g.Expect(n.call(t, http.MethodGet, "/p/x", "").status).To(gomega.Equal(http.StatusOK))
		})
	}
}

// Guards against routers that stop serving while a new plan is on its way: one that has not
// got it yet is not older than the store.
func TestRouterServesWhileANewPlanIsOnItsWay(t *testing.T) {
	g := gomega.NewWithT(t)
	var address netip.AddrPort
	other, _ := startConfiguredNode(t, func(c *relay.Config) { address = c.PeerAddress }, keyedPlan(1, "kept"), respond("ok"))
	n, _ := startBeside(t, address)
	n.setPlan(keyedPlan(1, "kept"))
	n.waitUntil(t, func() bool { return n.isReady(t) })
	for version := int64(2); version <= 4; version++ {
		n.plans.setUnavailable(true)
		n.servers.setUnavailable(true)
		other.setPlan(keyedPlan(version, "kept"))
		for end := time.Now().Add(300 * time.Millisecond); time.Now().Before(end); {
			g.Expect(n.call(t, http.MethodGet, "/a/x", "kept").status).To(gomega.Equal(http.StatusOK))
		}
		n.setPlan(keyedPlan(version, "kept"))
		n.plans.setUnavailable(false)
		n.servers.setUnavailable(false)
		n.waitUntil(t, n.logged("plan in force", int(version)))
	}
	g.Expect(n.logged("newer plan lost by the store", 1)()).To(gomega.BeFalse())
}

// Guards against a router that waits without end for others that are not there.
func TestRouterThatHearsNoOtherAcceptsKeysAfterAWhile(t *testing.T) {
	g := gomega.NewWithT(t)
	n, _ := startBeside(t, netip.MustParseAddrPort(loopbackHost()+":9"))
	n.setPlan(keyedPlan(1, "kept"))
	n.waitUntil(t, n.logged("plan in force", 1))
	g.Expect(n.call(t, http.MethodGet, "/a/x", "kept").status).To(gomega.Equal(http.StatusServiceUnavailable))
	g.Expect(n.call(t, http.MethodGet, "/p/x", "").status).To(gomega.Equal(http.StatusOK), "no key can be revoked there")
	n.waitUntil(t, func() bool { return n.isReady(t) })
	g.Expect(n.call(t, http.MethodGet, "/a/x", "kept").status).To(gomega.Equal(http.StatusOK))
}
