package placement_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"snipetally.example/router/internal/placement"
)

func TestPlainServersThatFailGetLittle(t *testing.T) {
	g := gomega.NewWithT(t)
	board := placement.NewBalancer(time.Unix(1e9, 0), "self", "zone")
	now := time.Unix(1e9, 0)
	var servers []placement.Server
	for i := range 4 {
		servers = append(servers, placement.Server{ID: fmt.Sprint(i), Service: "portal", Slots: 6})
	}
	board.SetServers(now, servers)
	count := make(map[string]int)
	for range 200 {
		now = now.Add(50 * time.Millisecond)
		ticket, choice, err := board.Pick(now, placement.Request{Service: "portal"}, nil)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		count[choice.Server]++
		end := placement.Served
		if choice.Server == "2" {
			end = placement.Failed
		}
		now = now.Add(10 * time.Millisecond)
		ticket.RecordFirstEvent(now)
		ticket.Done(now, end)
	}
	g.Expect(count["2"]).To(gomega.BeNumerically("<", 200/8), "half of an equal share")
}

func TestUnreachableServerIsLeftAloneForAWhile(t *testing.T) {
	g := gomega.NewWithT(t)
	board := placement.NewBalancer(time.Unix(1e9, 0), "self", "zone")
	now := time.Unix(1e9, 0)
	board.SetServers(now, []placement.Server{{ID: "a", Service: "s", Slots: 1}, {ID: "b", Service: "s", Slots: 1}})
	ticket, first, _ := board.Pick(now, placement.Request{Service: "s"}, nil)
	ticket.Done(now, placement.Unreachable)
	for range 10 {
		_, choice, err := board.Pick(now, placement.Request{Service: "s"}, nil)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(choice.Server).NotTo(gomega.Equal(first.Server))
	}
	_, _, err := board.Pick(now, placement.Request{Service: "s"}, []string{"a", "b"})
	g.Expect(err).To(gomega.MatchError(placement.ErrNoServer))
}

// TestLongPromptsAreNotRefusedMoreOften offers a short and a long prompt to an
// engine with the same queue.
func TestLongPromptsAreNotRefusedMoreOften(t *testing.T) {
	g := gomega.NewWithT(t)
	for _, queued := range []int{10, 100, 400} {
		refused := make(map[int]bool)
		for _, prompt := range []int{1000, 60000} {
			board := placement.NewBalancer(time.Unix(1e9, 0), "self", "zone")
			now := time.Unix(1e9, 0)
			board.SetTargets("llm", []time.Duration{draftTarget})
			board.SetServers(now, []placement.Server{{ID: "a", Service: "llm", Slots: slots, Engine: true}})
			for range queued {
				_, _, _ = board.Pick(now, placement.Request{Service: "llm", PromptTokens: 500, Target: draftTarget}, nil)
			}
			_, _, err := board.Pick(now, placement.Request{Service: "llm", PromptTokens: prompt, Target: draftTarget}, nil)
			refused[prompt] = err != nil
		}
		g.Expect(refused[60000]).To(gomega.Equal(refused[1000]), "%d queued", queued)
	}
}

// TestEngineWithoutMemoryIsAvoided has an engine whose slots are free and whose
// memory is taken by long prompts.
func TestEngineWithoutMemoryIsAvoided(t *testing.T) {
	g := gomega.NewWithT(t)
	board := placement.NewBalancer(time.Unix(1e9, 0), "self", "zone")
	now := time.Unix(1e9, 0)
	board.SetTargets("llm", []time.Duration{draftTarget})
	full := placement.Server{ID: "full", Service: "llm", Slots: slots, Engine: true, CacheTokens: 200_000}
	board.SetServers(now, []placement.Server{full})
	for range 4 {
		ticket, _, err := board.Pick(now, placement.Request{Service: "llm", PromptTokens: 50_000, Target: draftTarget}, nil)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		ticket.RecordFirstEvent(now.Add(time.Second))
	}
	board.SetServers(now, []placement.Server{full, {ID: "free", Service: "llm", Slots: slots, Engine: true, CacheTokens: 200_000}})
	for range 2 {
		_, choice, err := board.Pick(now, placement.Request{Service: "llm", PromptTokens: 30_000, Target: draftTarget}, nil)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(choice.Server).To(gomega.Equal("free"))
	}
}

// TestSilentRouterIsForgotten has another router that told of much work and
// then of nothing more.
func TestSilentRouterIsForgotten(t *testing.T) {
	g := gomega.NewWithT(t)
	other, board := placement.NewBalancer(time.Unix(1e9, 0), "self", "zone"), placement.NewBalancer(time.Unix(1e9, 0), "other", "zone")
	now := time.Unix(1e9, 0)
	servers := []placement.Server{{ID: "a", Service: "llm", Slots: slots, Engine: true}}
	other.SetServers(now, servers)
	board.SetServers(now, servers)
	for range 5 {
		_, _, err := other.Pick(now, placement.Request{Service: "llm", PromptTokens: 1000, Target: draftTarget}, nil)
		g.Expect(err).NotTo(gomega.HaveOccurred())
	}
	board.Hear(now, "other", other.Note(now))
	g.Expect(board.ServerStates(now)[0].Others).To(gomega.Equal(5))
	g.Expect(board.ServerStates(now.Add(5 * time.Second))[0].Others).To(gomega.BeZero())
}

// TestPromptsWithoutSharedPartsUseAllEngines has requests that share nothing,
// so that no engine is better than another.
func TestPromptsWithoutSharedPartsUseAllEngines(t *testing.T) {
	g := gomega.NewWithT(t)
	board := placement.NewBalancer(time.Unix(1e9, 0), "self", "zone")
	now := time.Unix(1e9, 0)
	board.SetTargets("llm", []time.Duration{draftTarget})
	var servers []placement.Server
	for i := range engines {
		servers = append(servers, placement.Server{ID: fmt.Sprint(i), Service: "llm", Slots: slots, Engine: true})
	}
	board.SetServers(now, servers)
	used := make(map[string]bool)
	for i := range 20 * engines {
		work := placement.Request{Service: "llm", PromptTokens: 1000, Target: draftTarget}
		if i%2 == 0 {
			work.Parts = []placement.Part{{ID: uint64(i), Tokens: 1000}}
		}
		ticket, choice, err := board.Pick(now, work, nil)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		used[choice.Server] = true
		ticket.RecordFirstEvent(now)
		ticket.Done(now, placement.Served)
	}
	g.Expect(used).To(gomega.HaveLen(engines))
}
