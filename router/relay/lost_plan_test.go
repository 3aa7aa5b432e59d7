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
	n, backends := startConfiguredNode(t, func(c *relay.Config) {
		c.PeerSeeds, c.Eras = []netip.AddrPort{other}, &feed.Eras{}
		c.Bounds.MaxPlanDelay = 100 * time.Millisecond // Plans are read again within a tenth of it.
		c.Plans.(*fakeTable[relay.Plan]).eras, c.Servers.(*fakeTable[relay.Server]).eras = c.Eras, c.Eras
	}, relay.Plan{}, respond("ok"))
	return n, backends[0]
}

// restorePlan has the store come back from an older copy with a plan.
func (r *testNode) restorePlan(plan relay.Plan) {
	r.plans.restore(feed.Change[relay.Plan]{Key: "plan", Value: plan})
	r.servers.restore(r.servers.rows...)
}

// setPlan has the table hold a plan.
func (r *testNode) setPlan(plan relay.Plan) {
	r.plans.set(feed.Change[relay.Plan]{Key: "plan", Value: plan})
}

// awaitPlan waits until a version is in force.
func (r *testNode) awaitPlan(t *testing.T, version int64) {
	t.Helper()
	r.waitUntil(t, func() bool { return r.stateDump(t)["Version"] == float64(version) })
}

// awaitLogged sends requests with a key that no plan has until a message was logged.
func (r *testNode) awaitLogged(t *testing.T, message string) {
	t.Helper()
	logged := r.logged(message, 1)
	r.waitUntil(t, func() bool { return r.call(t, http.MethodGet, "/a/x", "unknown").status != 0 && logged() })
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
			n.restorePlan(keyedPlan(1, "kept", "revoked"))
			n.awaitLogged(t, "plan in force")
			for end := time.Now().Add(time.Second); time.Now().Before(end); {
				g.Expect(n.call(t, http.MethodGet, "/a/x", "revoked").status).To(gomega.Equal(http.StatusServiceUnavailable))
				g.Expect(n.isReady(t)).To(gomega.BeFalse())
			}
			n.awaitLogged(t, "newer plan lost by the store")
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
		n.awaitPlan(t, version)
		n.servers.setUnavailable(false) // Its revisions prove something of the plan, as in one store.
	}
	g.Expect(n.logged("newer plan lost by the store", 1)()).To(gomega.BeFalse())
}

// Guards against a router that waits without end for others that are not there.
func TestRouterThatHearsNoOtherAcceptsKeysAfterAWhile(t *testing.T) {
	g := gomega.NewWithT(t)
	n, _ := startBeside(t, netip.MustParseAddrPort(loopbackHost()+":9"))
	n.restorePlan(keyedPlan(1, "kept"))
	n.awaitLogged(t, "plan in force")
	g.Expect(n.call(t, http.MethodGet, "/a/x", "kept").status).To(gomega.Equal(http.StatusServiceUnavailable))
	g.Expect(n.call(t, http.MethodGet, "/p/x", "").status).To(gomega.Equal(http.StatusOK), "no key can be revoked there")
	n.waitUntil(t, func() bool { return n.isReady(t) })
	g.Expect(n.call(t, http.MethodGet, "/a/x", "kept").status).To(gomega.Equal(http.StatusOK))
}

// Guards against routers that all start at once and refuse keys though the store has never come
// back from an older copy.
func TestRouterAcceptsKeysAtOnceIfTheStoreWasNeverRestored(t *testing.T) {
	g := gomega.NewWithT(t)
	n, _ := startBeside(t, netip.MustParseAddrPort(loopbackHost()+":9"))
	n.waitUntil(t, func() bool { return n.call(t, http.MethodGet, "/a/x", "kept").status != 0 })
	n.setPlan(keyedPlan(1, "kept"))
	n.awaitLogged(t, "plan in force")
	start := time.Now()
	n.waitUntil(t, func() bool { return n.call(t, http.MethodGet, "/a/x", "kept").status == http.StatusOK })
	g.Expect(time.Since(start)).To(gomega.BeNumerically("<", time.Second))
}
