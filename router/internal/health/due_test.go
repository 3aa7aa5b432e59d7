package health_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"

	"snipetally.example/router/internal/backend"
	"snipetally.example/router/internal/fleet"
	"snipetally.example/router/internal/health"
	"snipetally.example/router/internal/link"
)

func TestEachEngineIsProbedInTurn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		const n = 7
		prober := health.NewProber(newEngineStore(n, "10.0.0.1:80"), link.NewPool(), &fakeScheduler{})
		for range 3 {
			seen := map[string]struct{}{}
			for range n {
				for _, server := range prober.Due(1) {
					seen[server.Name] = struct{}{}
				}
				time.Sleep(time.Second)
			}
			g.Expect(seen).To(gomega.HaveLen(n))
		}
	})
}

func TestBusyEngineIsProbedFirstAndAtMostOncePerPause(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		prober := health.NewProber(newEngineStore(9, "10.0.0.1:80"), link.NewPool(), &fakeScheduler{busy: []string{"server-00005"}})
		first := prober.Due(1)
		g.Expect(first).To(gomega.HaveLen(1))
		g.Expect(first[0].Name).To(gomega.Equal("server-00005"))
		g.Expect(prober.Due(1)[0].Name).NotTo(gomega.Equal("server-00005"))
		time.Sleep(health.MinProbeInterval)
		g.Expect(prober.Due(1)[0].Name).To(gomega.Equal("server-00005"))
	})
}

func TestEngineRemovedFromPlanIsNotProbed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		store := newEngineStore(3, "10.0.0.1:80")
		prober := health.NewProber(store, link.NewPool(), &fakeScheduler{busy: []string{"server-00001"}})
		prober.Due(1)
		store.Install(fleet.New(2, fleet.Plan{Servers: []backend.Server{
			{Name: "server-00002", Address: "10.0.0.2:80", Models: []string{"model"}},
			{Name: "service", Address: "10.0.0.3:80", Kind: backend.KindService, Service: "login"},
		}}))
		time.Sleep(time.Second)
		due := prober.Due(4)
		g.Expect(due).To(gomega.HaveLen(1))
		g.Expect(due[0].Address).To(gomega.Equal("10.0.0.2:80"))
	})
}
