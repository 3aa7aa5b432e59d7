package placement_test

import (
	"testing"
	"time"

	"github.com/onsi/gomega"

	"snipetally.example/router/internal/placement"
)

// Guards against requests at a server whose limit is used up while others have room, and
// against a service without room that is taken for one without servers.
func TestWithheldServersGetNoRequests(t *testing.T) {
	g := gomega.NewWithT(t)
	now := time.Unix(1e9, 0)
	balancer := placement.NewBalancer(now, "self", "zone")
	balancer.SetServers(now, []placement.Server{{ID: "a", Service: "s"}, {ID: "b", Service: "s"}})
	balancer.Withhold("a", now.Add(time.Second), 0.2)
	important := placement.Request{Service: "s", Level: 0.1}
	other := placement.Request{Service: "s", Level: 0.2}
	for range 20 {
		_, choice, err := balancer.Pick(now, other, nil)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(choice.Server).To(gomega.Equal("b"))
	}
	_, choice, err := balancer.Pick(now, important, []string{"b"})
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(choice.Server).To(gomega.Equal("a"), "an earlier level may still ask")

	balancer.Withhold("b", now.Add(3*time.Second), 0)
	_, choice, err = balancer.Pick(now, other, nil)
	g.Expect(err).To(gomega.MatchError(placement.ErrLimited))
	g.Expect(choice.LimitWait).To(gomega.Equal(time.Second))
	_, _, err = balancer.Pick(now, other, []string{"a", "b"})
	g.Expect(err).To(gomega.MatchError(placement.ErrNoServer))
	_, choice, err = balancer.Pick(now.Add(time.Second), other, nil)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(choice.Server).To(gomega.Equal("a"))
}

// Guards against a session that is expected to be cached at a server which never got its
// request, for lack of a permit.
func TestAWithdrawnReservationLeavesNoTraceOfTheSession(t *testing.T) {
	g := gomega.NewWithT(t)
	now := time.Unix(1e9, 0)
	balancer := placement.NewBalancer(now, "self", "zone")
	balancer.SetServers(now, []placement.Server{
		{ID: "a", Service: "s", Slots: 8, Engine: true}, {ID: "b", Service: "s", Slots: 8, Engine: true},
	})
	request := placement.Request{
		Service: "s", PromptTokens: 900, Target: time.Second, Parts: []placement.Part{{ID: 1, Tokens: 800}, {ID: 2, Tokens: 100}},
	}
	reservation, choice, err := balancer.Pick(now, request, nil)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	reservation.Withdraw(now)
	g.Expect(balancer.LoadReport(now).Uses).To(gomega.BeEmpty())
	g.Expect(balancer.LoadReport(now).Loads).To(gomega.BeEmpty())
	_, again, err := balancer.Pick(now, request, nil)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(again.Server).To(gomega.Equal(choice.Server))
	g.Expect(again.Cached).To(gomega.BeFalse())
}
