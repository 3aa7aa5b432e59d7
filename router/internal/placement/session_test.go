package placement_test

import (
	"cmp"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/onsi/gomega"

	"snipetally.example/router/internal/placement"
)

// draftRequest returns a draft of a session.
func draftRequest(session uint64) placement.Request {
	return placement.Request{
		Service: "llm", PromptTokens: draftSharedTokens + draftNewTokens, OutputTokens: 300, Class: "draft", Target: draftTarget, Priority: 1,
		Parts: []placement.Part{{ID: session, Tokens: draftSharedTokens}, {ID: session << 32, Tokens: draftNewTokens}},
	}
}

// chatRequest returns a chat without a session.
func chatRequest() placement.Request {
	return placement.Request{
		Service: "llm", PromptTokens: chatTokens, OutputTokens: 300, Class: "chat", Target: chatTarget, Gap: chatTarget,
	}
}

// newRouterPair returns the balancers of two routers in front of the same
// engines.
func newRouterPair(g gomega.Gomega, now time.Time) (*placement.Balancer, *placement.Balancer) {
	var servers []placement.Server
	for i := range 4 * engines {
		servers = append(servers, placement.Server{ID: fmt.Sprint(i), Service: "llm", Slots: slots, Engine: true})
	}
	var balancers []*placement.Balancer
	for _, name := range []string{"first", "second"} {
		balancer := placement.NewBalancer(now, name, "zone")
		balancer.SetServers(now, servers)
		balancers = append(balancers, balancer)
	}
	g.Expect(balancers).To(gomega.HaveLen(2))
	return balancers[0], balancers[1]
}

// TestSessionFollowsThePlacementOfAnotherRouter has a router that places a
// session on another engine than the one that its hash prefers.
func TestSessionFollowsThePlacementOfAnotherRouter(t *testing.T) {
	g := gomega.NewWithT(t)
	now := time.Unix(1e9, 0)
	first, second := newRouterPair(g, now)
	_, preferred, err := second.Pick(now, draftRequest(7), nil)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	_, choice, err := first.Pick(now, draftRequest(7), []string{preferred.Server})
	g.Expect(err).NotTo(gomega.HaveOccurred())
	second.ApplyReport(now, "first", first.LoadReport(now))
	now = now.Add(2 * time.Second)
	fresh, _ := newRouterPair(g, now)
	fresh.ApplyReport(now, "first", first.LoadReport(now))
	_, again, err := fresh.Pick(now, draftRequest(7), nil)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(again.Server).To(gomega.Equal(choice.Server))
	g.Expect(again.Cached).To(gomega.BeTrue())
}

// TestSessionPlacementSurvivesOneLostReport has a router whose first report
// about a session is lost.
func TestSessionPlacementSurvivesOneLostReport(t *testing.T) {
	g := gomega.NewWithT(t)
	now := time.Unix(1e9, 0)
	first, second := newRouterPair(g, now)
	_, choice, err := first.Pick(now, draftRequest(7), nil)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	first.LoadReport(now)
	second.ApplyReport(now, "first", first.LoadReport(now))
	_, again, err := second.Pick(now, draftRequest(7), nil)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(again.Server).To(gomega.Equal(choice.Server))
	g.Expect(again.Cached).To(gomega.BeTrue())
}

// TestRoutersAgreeOnThePartition lets the routers see different traffic for a
// while, and one more router start late.
func TestRoutersAgreeOnThePartition(t *testing.T) {
	g := gomega.NewWithT(t)
	s := newSimulation(7, 60, 20)
	s.traffic(20 * time.Second)
	s.run(12 * time.Second)
	late := s.addRouter()
	s.run(2 * time.Second)
	counts := make(map[int]bool)
	for _, balancer := range append(s.balancers, late) {
		reservation, choice, err := balancer.Pick(s.now, draftRequest(s.random.Uint64()), nil)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		reservation.Done(s.now, placement.Canceled)
		counts[choice.ShortServers] = true
	}
	g.Expect(counts).To(gomega.HaveLen(1))
}

// TestPartitionOfTheLowestNamedRouterIsAdopted reports partitions of other
// routers to a balancer.
func TestPartitionOfTheLowestNamedRouterIsAdopted(t *testing.T) {
	g := gomega.NewWithT(t)
	now := time.Unix(1e9, 0)
	other, balancer := newRouterPair(g, now)
	_, _, err := other.Pick(now, draftRequest(1), nil) // A service without requests is not reported.
	g.Expect(err).NotTo(gomega.HaveOccurred())
	own := other.LoadReport(now).Demands[0]
	shortServers := func(name string, short, servers int) int {
		balancer.ApplyReport(now, name, placement.LoadReport{Demands: []placement.ServiceDemand{
			{Service: own.Service, ShortServers: short, Servers: servers, ShortLength: 5000},
		}})
		reservation, choice, err := balancer.Pick(now, draftRequest(1), nil)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		reservation.Done(now, placement.Canceled)
		return choice.ShortServers
	}
	for range 60 {
		_, _, err := balancer.Pick(now, chatRequest(), nil)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		shortServers("first", 0, 0) // Lets the groups and the partition settle.
	}
	before := shortServers("third", 17, 4*engines)
	g.Expect(before).NotTo(gomega.Equal(17), "a router with a higher name")
	g.Expect(shortServers("first", 19, 4*engines+1)).To(gomega.Equal(before), "another number of servers")
	g.Expect(shortServers("first", 0, 0)).To(gomega.Equal(before), "no partition announced")
	g.Expect(shortServers("first", 19, 4*engines)).To(gomega.Equal(19))
}

// TestUrgentRequestOvertakesQueuedLongPrompts sends an urgent request to an
// engine with queued long prompts, which the engine processes later.
func TestUrgentRequestOvertakesQueuedLongPrompts(t *testing.T) {
	g := gomega.NewWithT(t)
	now := time.Unix(1e9, 0)
	balancer := placement.NewBalancer(now, "self", "zone")
	balancer.SetServers(now, []placement.Server{{ID: "a", Service: "llm", Slots: slots, Engine: true}})
	for i := range 4 {
		_, _, err := balancer.Pick(now, draftRequest(uint64(i+1)), nil)
		g.Expect(err).NotTo(gomega.HaveOccurred())
	}
	urgent := draftRequest(9)
	urgent.Priority = 0
	reservation, _, err := balancer.Pick(now, urgent, nil)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	_, last, err := balancer.Pick(now, draftRequest(10), nil)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(reservation.ExpectedLatency()).To(gomega.BeNumerically("<", last.ExpectedLatency/3))
}

// TestLongPromptsSpreadOverIdleEnginesOfTheShortGroup sends more long prompts at once
// than the long group's engines can take, while the short group's have
// little to do.
func TestLongPromptsSpreadOverIdleEnginesOfTheShortGroup(t *testing.T) {
	g := gomega.NewWithT(t)
	now := time.Unix(1e9, 0)
	balancer, _ := newRouterPair(g, now)
	for range 100 {
		now = now.Add(10 * time.Millisecond)
		reservation, _, err := balancer.Pick(now, chatRequest(), nil)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		reservation.RecordFirstEvent(now)
		reservation.Done(now, placement.Served)
	}
	spilled := make(map[string]int)
	for i := range 20 * engines * 4 {
		_, choice, err := balancer.Pick(now, draftRequest(uint64(i+1)), nil)
		if err == nil && slices.Contains(firstByHash(4*engines, choice.ShortServers), choice.Server) {
			spilled[choice.Server]++
		}
	}
	g.Expect(spilled).NotTo(gomega.BeEmpty())
	total := 0
	for server, n := range spilled {
		g.Expect(n).To(gomega.BeNumerically("<=", 3), server)
		total += n
	}
	// The bound is a third of the time of the largest short group that the
	// chats could get, which is half of the engines.
	const seconds = 4
	prefillTime := float64(draftSharedTokens+draftNewTokens) / prefillSpeed
	g.Expect(float64(total) * prefillTime).To(gomega.BeNumerically("<=", 2*engines*seconds/3.0))
}

// firstByHash returns the engines that are reserved for short prompts: the
// first ones in the order of their hashes.
func firstByHash(all, n int) []string {
	ids := make([]string, all)
	for i := range ids {
		ids[i] = fmt.Sprint(i)
	}
	slices.SortFunc(ids, func(a, b string) int {
		return cmp.Compare(xxhash.Sum64String(a), xxhash.Sum64String(b))
	})
	return ids[:n]
}

// TestRouterThatKnowsOneClassDoesNotDecideForAll has a router with the lowest
// name that gets requests of one class only. The others know from their requests
// that the classes have to be split.
func TestRouterThatKnowsOneClassDoesNotDecideForAll(t *testing.T) {
	g := gomega.NewWithT(t)
	now := time.Unix(1e9, 0)
	first, second := newRouterPair(g, now)
	send := func(balancer *placement.Balancer, request placement.Request) int {
		reservation, choice, err := balancer.Pick(now, request, nil)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		reservation.Done(now, placement.Canceled)
		return choice.ShortServers
	}
	for i := range 100 {
		now = now.Add(50 * time.Millisecond)
		send(first, chatRequest())
		send(second, chatRequest())
		send(second, draftRequest(uint64(i+1)))
	}
	split := send(second, draftRequest(1))
	g.Expect(split).To(gomega.BeNumerically("<", 4*engines), "the second router splits the classes")
	second.ApplyReport(now, "first", first.LoadReport(now))
	g.Expect(send(second, draftRequest(1))).To(gomega.BeNumerically("<", 4*engines))
}
