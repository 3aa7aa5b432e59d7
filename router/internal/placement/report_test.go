package placement_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"snipetally.example/router/internal/placement"
)

// Guards against load reports that grow with entries of services that nobody sends requests to, until no router
// hears another one (review/14), also after these entries are gone.
func TestServicesWithoutRequestsAreNotReported(t *testing.T) {
	g := gomega.NewWithT(t)
	now := time.Now()
	balancer := placement.NewBalancer(now, "router", "zone")
	servers := []placement.Server{{ID: "engine", Service: "llm", Zone: "zone", Slots: 4, Engine: true}}
	for i := range 1000 {
		servers = append(servers, placement.Server{ID: fmt.Sprint("foreign-", i), Service: fmt.Sprint("service-", i), Zone: "zone", Slots: 1})
	}
	balancer.SetServers(now, servers)
	g.Expect(balancer.LoadReport(now).Demands).To(gomega.BeEmpty())
	reservation, _, err := balancer.Pick(now, placement.Request{Service: "llm", PromptTokens: 100, OutputTokens: 10, Class: "a"}, nil)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(balancer.LoadReport(now).Demands).To(gomega.HaveLen(1))
	balancer.SetServers(now, servers[:1])
	g.Expect(balancer.LoadReport(now).Demands).To(gomega.HaveLen(1))
	balancer.SetServers(now, nil)
	g.Expect(balancer.LoadReport(now).Demands).To(gomega.HaveLen(1), "estimates of a service outlast its servers")
	reservation.Done(now, placement.Served)
}

// Guards against an engine that all routers avoid, as one caller allows or expects a response of far more tokens than the
// engine has memory for.
func TestRequestTakesNoMoreMemoryThanItsEngineHas(t *testing.T) {
	g := gomega.NewWithT(t)
	const memory, claimed = 1000, 100_000_000
	now := time.Now()
	balancer := placement.NewBalancer(now, "router", "zone")
	balancer.SetServers(now, []placement.Server{{ID: "engine", Service: "llm", Zone: "zone", Slots: 4, Engine: true, CacheTokens: memory}})
	request := placement.Request{Service: "llm", PromptTokens: 100, OutputTokens: claimed, Class: "a", Target: time.Second}
	reservation, _, err := balancer.Pick(now, request, nil)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	report := balancer.LoadReport(now)
	g.Expect(report.Loads[0].ReservedTokens).To(gomega.Equal(memory))
	g.Expect(report.Demands[0].TokenRate).To(gomega.BeNumerically("<=", memory))
	reservation.Done(now, placement.Served)
	g.Expect(balancer.LoadReport(now).Loads).To(gomega.BeEmpty())
}
