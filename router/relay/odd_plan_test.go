package relay_test

import (
	"math"
	"net/http"
	"testing"

	"github.com/onsi/gomega"

	"snipetally.example/coordination/feed"
	"snipetally.example/router/relay"
)

// Guards against a router that ends, or serves nobody, by odd values in a plan: the
// classes that are sound in it are served, and so is the next plan.
func TestOddValuesInAPlanHurtNoOtherClass(t *testing.T) {
	sound := newClass("a", relay.Idempotent, 1)
	odd := map[string]func(plan *relay.Plan, class *relay.Class){
		"negative times":    func(_ *relay.Plan, c *relay.Class) { c.Timeout, c.TargetLatency, c.TargetGap = -1, -1, -1 },
		"endless times":     func(_ *relay.Plan, c *relay.Class) { c.Timeout, c.TargetLatency = math.MaxInt64, math.MaxInt64 },
		"no service":        func(_ *relay.Plan, c *relay.Class) { c.Splits = nil },
		"negative weights":  func(_ *relay.Plan, c *relay.Class) { c.Splits[0].Weight = math.MinInt },
		"too large weights": func(_ *relay.Plan, c *relay.Class) { c.Splits = []relay.Split{{"s", math.MaxInt}, {"s", math.MaxInt}} },
		"negative attempts": func(_ *relay.Plan, c *relay.Class) { c.MaxAttempts = -5 },
		"extreme tiers":     func(_ *relay.Plan, c *relay.Class) { c.Tier = math.MinInt },
		"empty prefix":      func(_ *relay.Plan, c *relay.Class) { c.Prefix, c.Host = "", "" },
		"negative limits":   func(p *relay.Plan, _ *relay.Class) { p.Limits = relay.Limits{MaxHeaderBytes: -1, MaxBodyBytes: -1} },
		"negative engine": func(p *relay.Plan, _ *relay.Class) {
			p.Services[0] = relay.Service{Name: "s", Slots: -4, CacheTokens: -1, TokensPerEvent: -7, SupportsMigration: true}
		},
		"same names": func(p *relay.Plan, c *relay.Class) {
			p.Classes, p.Services = append(p.Classes, *c), append(p.Services, p.Services...)
		},
		"team without a name": func(p *relay.Plan, _ *relay.Class) {
			p.Teams = []relay.Team{{Keys: []string{""}, Tier: math.MaxInt, OverridesTier: true}}
		},
	}
	for name, change := range odd {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			g := gomega.NewWithT(t)
			r, _ := startNode(t, newPlan(sound), respond("ok"))
			plan := newPlan(sound, newClass("b", relay.Idempotent, 1))
			plan.Version = 2
			change(&plan, &plan.Classes[1])
			r.plans.set(feed.Change[relay.Plan]{Key: "plan", Value: plan})
			r.waitUntil(t, func() bool { return r.stateDump(t)["Version"].(float64) == 2 })
			g.Expect(r.call(t, http.MethodGet, "/a/x", "").body).To(gomega.Equal("ok"))
			g.Expect(r.call(t, http.MethodGet, "/b/x", "").err).NotTo(gomega.HaveOccurred(), "the request is answered")
			next := newPlan(sound, newClass("c", relay.Idempotent, 1))
			next.Version = 3
			r.plans.set(feed.Change[relay.Plan]{Key: "plan", Value: next})
			r.waitUntil(t, func() bool { return r.call(t, http.MethodGet, "/c/x", "").body == "ok" })
		})
	}
}
