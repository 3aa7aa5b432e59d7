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

// draftOf returns work of a session.
func draftOf(session uint64) placement.Request {
	return placement.Request{
		Service: "llm", PromptTokens: draftKept + draftNew, OutputTokens: 300, Target: draftTarget, Priority: 1,
		Parts: []placement.Part{{ID: session, Tokens: draftKept}, {ID: session << 32, Tokens: draftNew}},
	}
}

// pair returns two routers before the same engines.
func pair(g gomega.Gomega, now time.Time) (*placement.Balancer, *placement.Balancer) {
	var servers []placement.Server
	for i := range 4 * engines {
		servers = append(servers, placement.Server{ID: fmt.Sprint(i), Service: "llm", Slots: slots, Engine: true})
	}
	var boards []*placement.Balancer
	for _, name := range []string{"first", "second"} {
		board := placement.NewBalancer(now, name, "zone")
		board.SetTargets("llm", []time.Duration{chatTarget, draftTarget})
		board.SetServers(now, servers)
		boards = append(boards, board)
	}
	g.Expect(boards).To(gomega.HaveLen(2))
	return boards[0], boards[1]
}

// TestSessionGoesWhereAnotherRouterSentIt has a router that sends a session past
// the engine that its hash prefers, as that one has much to read.
func TestSessionGoesWhereAnotherRouterSentIt(t *testing.T) {
	g := gomega.NewWithT(t)
	now := time.Unix(1e9, 0)
	first, second := pair(g, now)
	_, preferred, err := second.Pick(now, draftOf(7), nil)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	_, choice, err := first.Pick(now, draftOf(7), []string{preferred.Server})
	g.Expect(err).NotTo(gomega.HaveOccurred())
	second.Hear(now, "first", first.Note(now))
	now = now.Add(2 * time.Second)
	fresh, _ := pair(g, now)
	fresh.Hear(now, "first", first.Note(now))
	_, again, err := fresh.Pick(now, draftOf(7), nil)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(again.Server).To(gomega.Equal(choice.Server))
	g.Expect(again.Cached).To(gomega.BeTrue())
}

// TestLostNoteDoesNotLoseASession has a router whose first note about a session
// does not arrive.
func TestLostNoteDoesNotLoseASession(t *testing.T) {
	g := gomega.NewWithT(t)
	now := time.Unix(1e9, 0)
	first, second := pair(g, now)
	_, choice, err := first.Pick(now, draftOf(7), nil)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	first.Note(now)
	second.Hear(now, "first", first.Note(now))
	_, again, err := second.Pick(now, draftOf(7), nil)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(again.Server).To(gomega.Equal(choice.Server))
	g.Expect(again.Cached).To(gomega.BeTrue())
}

// TestRoutersAgreeOnTheBorder lets two routers see different traffic for a
// while, and a third one start late.
func TestRoutersAgreeOnTheBorder(t *testing.T) {
	g := gomega.NewWithT(t)
	r := newRush(7)
	r.traffic(60, 20, 20*time.Second)
	r.play(12 * time.Second)
	late := r.join()
	r.play(2 * time.Second)
	borders := make(map[int]bool)
	for _, board := range append(r.boards, late) {
		ticket, choice, err := board.Pick(r.now, draftOf(r.random.Uint64()), nil)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		ticket.Done(r.now, placement.Canceled)
		borders[choice.UrgentServers] = true
	}
	g.Expect(borders).To(gomega.HaveLen(1))
}

// TestBorderOfTheFirstRouterCounts lets a router hear the borders of others.
func TestBorderOfTheFirstRouterCounts(t *testing.T) {
	g := gomega.NewWithT(t)
	now := time.Unix(1e9, 0)
	_, board := pair(g, now)
	own := board.Note(now).Demands[0]
	border := func(name string, drawn, servers int) int {
		board.Hear(now, name, placement.LoadReport{Demands: []placement.ServiceDemand{
			{Service: own.Service, UrgentServers: drawn, Servers: servers},
		}})
		ticket, choice, err := board.Pick(now, draftOf(1), nil)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		ticket.Done(now, placement.Canceled)
		return choice.UrgentServers
	}
	for range 3 {
		border("first", 0, 0) // Lets the border settle.
	}
	before := border("third", 17, 4*engines)
	g.Expect(before).NotTo(gomega.Equal(17), "a router with a higher name")
	g.Expect(border("first", 19, 4*engines+1)).To(gomega.Equal(before), "another number of servers")
	g.Expect(border("first", 0, 0)).To(gomega.Equal(before), "not acquainted")
	g.Expect(border("first", 19, 4*engines)).To(gomega.Equal(19))
}

// TestUrgentWorkPassesLongPromptsInLine offers an urgent request where long
// prompts wait, which the engine reads later.
func TestUrgentWorkPassesLongPromptsInLine(t *testing.T) {
	g := gomega.NewWithT(t)
	now := time.Unix(1e9, 0)
	board := placement.NewBalancer(now, "self", "zone")
	board.SetTargets("llm", []time.Duration{draftTarget})
	board.SetServers(now, []placement.Server{{ID: "a", Service: "llm", Slots: slots, Engine: true}})
	for i := range 4 {
		_, _, err := board.Pick(now, draftOf(uint64(i+1)), nil)
		g.Expect(err).NotTo(gomega.HaveOccurred())
	}
	urgent := draftOf(9)
	urgent.Priority = 0
	ticket, _, err := board.Pick(now, urgent, nil)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	_, last, err := board.Pick(now, draftOf(10), nil)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(ticket.ExpectedLatency()).To(gomega.BeNumerically("<", last.ExpectedLatency/3))
}

// TestRushOfDraftsReadsLittleAgain asks for more than the engines can read, for
// sessions that come back. A session that leaves its engine costs the place of
// another request.
func TestRushOfDraftsReadsLittleAgain(t *testing.T) {
	g := gomega.NewWithT(t)
	r := newRush(8)
	r.traffic(40, 250, 30*time.Second)
	r.play(60 * time.Second)
	r.expectChatsOnTime(g)
	r.expectLittleReadAgain(g)
}

// TestLongPromptsVisitIdleEnginesOneByOne sends more long prompts at once than
// the engines of their group take, while those of the chats have little to do.
func TestLongPromptsVisitIdleEnginesOneByOne(t *testing.T) {
	g := gomega.NewWithT(t)
	now := time.Unix(1e9, 0)
	board, _ := pair(g, now)
	for range 100 {
		now = now.Add(10 * time.Millisecond)
		ticket, _, err := board.Pick(now, placement.Request{
			Service: "llm", PromptTokens: chatTokens, OutputTokens: 300, Target: chatTarget,
		}, nil)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		ticket.RecordFirstEvent(now)
		ticket.Done(now, placement.Served)
	}
	visits := make(map[string]int)
	for i := range 20 * engines * 4 {
		_, choice, err := board.Pick(now, draftOf(uint64(i+1)), nil)
		if err == nil && slices.Contains(firstByHash(4*engines, choice.UrgentServers), choice.Server) {
			visits[choice.Server]++
		}
	}
	g.Expect(visits).NotTo(gomega.BeEmpty())
	total := 0
	for server, n := range visits {
		g.Expect(n).To(gomega.BeNumerically("<=", 3), server)
		total += n
	}
	// A third of the time of all engines that the chats could have at most.
	const seconds = 4
	read := float64(draftKept+draftNew) / speed
	g.Expect(float64(total) * read).To(gomega.BeNumerically("<=", 2*engines*seconds/3.0))
}

// firstByHash returns the engines that the border keeps from long prompts: the
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
