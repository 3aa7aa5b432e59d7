package placement_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"snipetally.example/router/internal/placement"
)

// The traffic of these tests: short chats that are due soon, and long drafts
// whose sessions come back.
const (
	engines    = 12
	routers    = 6
	slots      = 32
	speed      = 80000 // prompt tokens a second
	chatTokens = 600
	draftNew   = 6000
	draftKept  = 5000
	sessions   = 120
	memory     = 750_000 // tokens
	answer     = time.Second
	notes      = 100 * time.Millisecond

	chatTarget  = 250 * time.Millisecond
	draftTarget = 1500 * time.Millisecond

	// onTime is the share of requests that the users want within the target.
	onTime = 0.95
)

// event is something that happens in the simulation.
type event struct {
	at time.Time
	do func()
}

// events is a heap of events by time.
type events []event

func (e events) Len() int           { return len(e) }
func (e events) Less(i, j int) bool { return e[i].at.Before(e[j].at) }
func (e events) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)        { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	old := *e
	last := old[len(old)-1]
	*e = old[:len(old)-1]
	return last
}

// rush is a simulation of routers before engines, in virtual time.
type rush struct {
	now     time.Time
	pending events
	random  *rand.Rand
	servers []placement.Server

	// heard are the boards that hear each other, boards those that get
	// requests.
	heard   []*placement.Balancer
	boards  []*placement.Balancer
	engines map[string]*engine

	chats, chatsOnTime   int
	drafts, draftsOnTime int
	again, shared        int
}

func newRush(seed uint64) *rush {
	r := &rush{
		now:     time.Unix(1e9, 0),
		random:  rand.New(rand.NewPCG(seed, seed)),
		engines: make(map[string]*engine),
	}
	for i := range engines {
		id := fmt.Sprintf("engine-%d", i)
		r.servers = append(r.servers, placement.Server{ID: id, Service: "llm", Slots: slots, Engine: true, CacheTokens: memory})
		r.engines[id] = newEngine(r)
	}
	for range routers {
		r.boards = append(r.boards, r.join())
	}
	r.after(0, r.exchange)
	return r
}

// join returns the board of a router that starts now. It hears the others from
// the next exchange on.
func (r *rush) join() *placement.Balancer {
	board := placement.NewBalancer(r.now, fmt.Sprint(len(r.heard)), "zone")
	board.SetTargets("llm", []time.Duration{chatTarget, draftTarget})
	board.SetServers(r.now, r.servers)
	r.heard = append(r.heard, board)
	return board
}

func (r *rush) after(d time.Duration, do func()) {
	heap.Push(&r.pending, event{at: r.now.Add(d), do: do})
}

// exchange lets each router hear the others.
func (r *rush) exchange() {
	for i, from := range r.heard {
		note := from.Note(r.now)
		for j, to := range r.heard {
			if i != j {
				to.Hear(r.now, fmt.Sprint(i), note)
			}
		}
	}
	r.after(notes, r.exchange)
}

// arrive makes requests of one kind come at a rate, until a time.
func (r *rush) arrive(perSecond float64, until time.Time, send func()) {
	if r.now.After(until) {
		return
	}
	send()
	r.after(time.Duration(r.random.ExpFloat64()/perSecond*float64(time.Second)), func() {
		r.arrive(perSecond, until, send)
	})
}

func (r *rush) chat() {
	r.chats++
	r.send(placement.Request{
		Service: "llm", PromptTokens: chatTokens, OutputTokens: 300, Target: chatTarget,
		Parts: []placement.Part{{ID: 1, Tokens: 100}, {ID: r.random.Uint64(), Tokens: 500}},
	}, func(first time.Duration) {
		if first <= chatTarget {
			r.chatsOnTime++
		}
	})
}

func (r *rush) draft() {
	r.drafts++
	session := 1000 + r.random.Uint64N(sessions)
	r.send(placement.Request{
		Service: "llm", PromptTokens: draftKept + draftNew, OutputTokens: 300, Target: draftTarget,
		Priority: 1,
		Parts:    []placement.Part{{ID: session, Tokens: draftKept}, {ID: r.random.Uint64(), Tokens: draftNew}},
	}, func(first time.Duration) {
		if first <= draftTarget {
			r.draftsOnTime++
		}
	})
}

// send places the work by a random router and plays its run.
func (r *rush) send(work placement.Request, first func(time.Duration)) {
	ticket, choice, err := r.boards[r.random.IntN(routers)].Pick(r.now, work, nil)
	if err != nil {
		return
	}
	e := r.engines[choice.Server]
	sent := r.now
	p := &prompt{rank: work.Priority, answer: answer}
	for _, each := range work.Parts {
		p.parts = append(p.parts, part{id: each.ID, tokens: each.Tokens})
	}
	if work.Target == draftTarget {
		r.shared++
		if _, kept := e.kept[work.Parts[0].ID]; !kept {
			r.again++
		}
	}
	p.first = func() {
		ticket.RecordFirstEvent(r.now)
		first(r.now.Sub(sent))
	}
	p.ended = func() { ticket.Done(r.now, placement.Served) }
	e.submit(p)
}

// play runs the simulation for a time.
func (r *rush) play(d time.Duration) {
	until := r.now.Add(d)
	for len(r.pending) > 0 && r.pending[0].at.Before(until) {
		e := heap.Pop(&r.pending).(event)
		r.now = e.at
		e.do()
	}
	r.now = until
}

// traffic makes chats and drafts come at rates for a time.
func (r *rush) traffic(chats, drafts float64, d time.Duration) {
	end := r.now.Add(d)
	r.arrive(chats, end, r.chat)
	r.arrive(drafts, end, r.draft)
}

// expectChatsOnTime checks that chats began as soon as the users want.
func (r *rush) expectChatsOnTime(g gomega.Gomega) {
	g.Expect(share(r.chatsOnTime, r.chats)).To(gomega.BeNumerically(">=", onTime), "chats")
}

// expectLittleReadAgain checks that engines kept the sessions: each has to be
// read once, and of the rest at most one in ten again.
func (r *rush) expectLittleReadAgain(g gomega.Gomega) {
	g.Expect(r.again).To(gomega.BeNumerically("<=", sessions+(r.shared-sessions)/10), "of %d", r.shared)
}

func share(part, whole int) float64 { return float64(part) / float64(max(whole, 1)) }

func TestLongDraftsDoNotDelayShortChats(t *testing.T) {
	g := gomega.NewWithT(t)
	r := newRush(1)
	r.traffic(40, 40, 30*time.Second)
	r.play(40 * time.Second)
	r.expectChatsOnTime(g)
	g.Expect(share(r.draftsOnTime, r.drafts)).To(gomega.BeNumerically(">=", onTime), "drafts")
}

func TestBurstOfDraftsDoesNotDelayShortChats(t *testing.T) {
	g := gomega.NewWithT(t)
	r := newRush(2)
	r.traffic(40, 35, 30*time.Second)
	r.play(8 * time.Second)
	r.arrive(35, r.now.Add(5*time.Second), r.draft)
	r.play(32 * time.Second)
	r.expectChatsOnTime(g)
	g.Expect(share(r.draftsOnTime, r.drafts)).To(gomega.BeNumerically(">=", onTime), "drafts")
}

func TestSessionsReturnToTheEngineThatKeepsThem(t *testing.T) {
	g := gomega.NewWithT(t)
	r := newRush(3)
	r.traffic(20, 30, 40*time.Second)
	r.play(60 * time.Second)
	r.expectLittleReadAgain(g)
}

func TestSlowEngineGetsLessWork(t *testing.T) {
	g := gomega.NewWithT(t)
	r := newRush(4)
	r.engines["engine-5"].slow = 8
	r.traffic(40, 25, 30*time.Second)
	r.play(40 * time.Second)
	r.expectChatsOnTime(g)
}

// TestRushBeyondCapacityServesManyOnTime asks for a third more than the engines
// can read. What can't be in time is refused at once, so that the rest is on
// time and short chats are not touched.
func TestRushBeyondCapacityServesManyOnTime(t *testing.T) {
	g := gomega.NewWithT(t)
	r := newRush(5)
	r.traffic(40, 200, 30*time.Second)
	r.play(60 * time.Second)
	r.expectChatsOnTime(g)
	// The engines of the drafts could read about three quarters of them.
	g.Expect(share(r.draftsOnTime, r.drafts)).To(gomega.BeNumerically(">=", 0.5), "drafts")
}

// TestTriedServerDoesNotMoveTheBorder sends a session to its home before and
// after another request had to pass over a server.
func TestTriedServerDoesNotMoveTheBorder(t *testing.T) {
	g := gomega.NewWithT(t)
	r := newRush(6)
	r.traffic(40, 40, 10*time.Second)
	r.play(10 * time.Second)
	border := func(tried []string) int {
		ticket, choice, err := r.boards[0].Pick(r.now, placement.Request{
			Service: "llm", PromptTokens: 600, Target: chatTarget,
			Parts: []placement.Part{{ID: 1, Tokens: 100}, {ID: 2, Tokens: 500}},
		}, tried)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		ticket.Done(r.now, placement.Canceled)
		return choice.UrgentServers
	}
	before := border(nil)
	for i := range engines {
		g.Expect(border([]string{fmt.Sprintf("engine-%d", i)})).To(gomega.Equal(before))
	}
}
