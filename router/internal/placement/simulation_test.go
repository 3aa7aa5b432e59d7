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

// The traffic of these tests: short chats with a strict target, and long drafts
// with recurring sessions.
const (
	engines           = 12
	routers           = 6
	slots             = 32
	prefillSpeed      = 80000 // prompt tokens a second
	chatTokens        = 600
	draftNewTokens    = 6000
	draftSharedTokens = 5000
	sessions          = 120
	cacheTokens       = 750_000
	decodeTime        = time.Second
	reportInterval    = 100 * time.Millisecond

	chatTarget  = 250 * time.Millisecond
	draftTarget = 1500 * time.Millisecond

	// minOnTimeShare is the share of requests that users want within the
	// target.
	minOnTimeShare = 0.95
)

// event is an event of the simulation.
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

// simulation simulates routers in front of engines, in virtual time.
type simulation struct {
	now     time.Time
	pending events
	random  *rand.Rand
	servers []placement.Server

	// exchanging are the balancers that exchange reports; balancers are those
	// that get requests.
	exchanging []*placement.Balancer
	balancers  []*placement.Balancer
	engines    map[string]*engine

	chats, chatsOnTime           int
	drafts, draftsOnTime         int
	uncachedDrafts, placedDrafts int
}

func newSimulation(seed uint64) *simulation {
	s := &simulation{
		now:     time.Unix(1e9, 0),
		random:  rand.New(rand.NewPCG(seed, seed)),
		engines: make(map[string]*engine),
	}
	for i := range engines {
		id := fmt.Sprintf("engine-%d", i)
		s.servers = append(s.servers, placement.Server{ID: id, Service: "llm", Slots: slots, Engine: true, CacheTokens: cacheTokens})
		s.engines[id] = newEngine(s)
	}
	for range routers {
		s.balancers = append(s.balancers, s.addRouter())
	}
	s.schedule(0, s.exchangeReports)
	return s
}

// addRouter returns the balancer of a router that starts now. It gets the
// others' reports from the next exchange on.
func (s *simulation) addRouter() *placement.Balancer {
	balancer := placement.NewBalancer(s.now, fmt.Sprint(len(s.exchanging)), "zone")
	balancer.SetTargets("llm", []time.Duration{chatTarget, draftTarget})
	balancer.SetServers(s.now, s.servers)
	s.exchanging = append(s.exchanging, balancer)
	return balancer
}

func (s *simulation) schedule(d time.Duration, do func()) {
	heap.Push(&s.pending, event{at: s.now.Add(d), do: do})
}

// exchangeReports delivers each router's report to all others, periodically.
func (s *simulation) exchangeReports() {
	for i, from := range s.exchanging {
		report := from.LoadReport(s.now)
		for j, to := range s.exchanging {
			if i != j {
				to.ApplyReport(s.now, fmt.Sprint(i), report)
			}
		}
	}
	s.schedule(reportInterval, s.exchangeReports)
}

// generate calls send at random times with the given mean rate, until a time.
func (s *simulation) generate(perSecond float64, until time.Time, send func()) {
	if s.now.After(until) {
		return
	}
	send()
	s.schedule(time.Duration(s.random.ExpFloat64()/perSecond*float64(time.Second)), func() {
		s.generate(perSecond, until, send)
	})
}

func (s *simulation) chat() {
	s.chats++
	s.send(placement.Request{
		Service: "llm", PromptTokens: chatTokens, OutputTokens: 300, Target: chatTarget,
		Parts: []placement.Part{{ID: 1, Tokens: 100}, {ID: s.random.Uint64(), Tokens: 500}},
	}, func(first time.Duration) {
		if first <= chatTarget {
			s.chatsOnTime++
		}
	})
}

func (s *simulation) draft() {
	s.drafts++
	session := 1000 + s.random.Uint64N(sessions)
	s.send(placement.Request{
		Service: "llm", PromptTokens: draftSharedTokens + draftNewTokens, OutputTokens: 300, Target: draftTarget,
		Priority: 1,
		Parts:    []placement.Part{{ID: session, Tokens: draftSharedTokens}, {ID: s.random.Uint64(), Tokens: draftNewTokens}},
	}, func(first time.Duration) {
		if first <= draftTarget {
			s.draftsOnTime++
		}
	})
}

// send lets a random router place the request and submits it to the chosen
// engine. onFirst is called with the time to the first event.
func (s *simulation) send(req placement.Request, onFirst func(time.Duration)) {
	reservation, choice, err := s.balancers[s.random.IntN(routers)].Pick(s.now, req, nil)
	if err != nil {
		return
	}
	e := s.engines[choice.Server]
	sent := s.now
	submitted := &engineRequest{priority: req.Priority, decodeTime: decodeTime}
	for _, each := range req.Parts {
		submitted.parts = append(submitted.parts, part{id: each.ID, tokens: each.Tokens})
	}
	if req.Target == draftTarget {
		s.placedDrafts++
		if _, cached := e.cache[req.Parts[0].ID]; !cached {
			s.uncachedDrafts++
		}
	}
	submitted.onFirst = func() {
		reservation.RecordFirstEvent(s.now)
		onFirst(s.now.Sub(sent))
	}
	submitted.onEnd = func() { reservation.Done(s.now, placement.Served) }
	e.submit(submitted)
}

// run runs the simulation for the given time.
func (s *simulation) run(d time.Duration) {
	until := s.now.Add(d)
	for len(s.pending) > 0 && s.pending[0].at.Before(until) {
		e := heap.Pop(&s.pending).(event)
		s.now = e.at
		e.do()
	}
	s.now = until
}

// traffic generates chats and drafts at the given rates for a time.
func (s *simulation) traffic(chats, drafts float64, d time.Duration) {
	until := s.now.Add(d)
	s.generate(chats, until, s.chat)
	s.generate(drafts, until, s.draft)
}

// expectChatsOnTime checks that enough chats started within their target.
func (s *simulation) expectChatsOnTime(g gomega.Gomega) {
	g.Expect(share(s.chatsOnTime, s.chats)).To(gomega.BeNumerically(">=", minOnTimeShare), "chats")
}

// expectFewUncachedDrafts checks that sessions stayed on their engines: each
// session is processed once, and of the other drafts at most one in ten has to
// be processed again.
func (s *simulation) expectFewUncachedDrafts(g gomega.Gomega) {
	g.Expect(s.uncachedDrafts).To(gomega.BeNumerically("<=", sessions+(s.placedDrafts-sessions)/10), "of %d", s.placedDrafts)
}

func share(part, whole int) float64 { return float64(part) / float64(max(whole, 1)) }

func TestLongDraftsDoNotDelayShortChats(t *testing.T) {
	g := gomega.NewWithT(t)
	s := newSimulation(1)
	s.traffic(40, 40, 30*time.Second)
	s.run(40 * time.Second)
	s.expectChatsOnTime(g)
	g.Expect(share(s.draftsOnTime, s.drafts)).To(gomega.BeNumerically(">=", minOnTimeShare), "drafts")
}

func TestBurstOfDraftsDoesNotDelayShortChats(t *testing.T) {
	g := gomega.NewWithT(t)
	s := newSimulation(2)
	s.traffic(40, 35, 30*time.Second)
	s.run(8 * time.Second)
	s.generate(35, s.now.Add(5*time.Second), s.draft)
	s.run(32 * time.Second)
	s.expectChatsOnTime(g)
	g.Expect(share(s.draftsOnTime, s.drafts)).To(gomega.BeNumerically(">=", minOnTimeShare), "drafts")
}

func TestSessionsReturnToTheEngineThatCachesThem(t *testing.T) {
	g := gomega.NewWithT(t)
	s := newSimulation(3)
	s.traffic(20, 30, 40*time.Second)
	s.run(60 * time.Second)
	s.expectFewUncachedDrafts(g)
}

func TestSlowEngineDoesNotDelayShortChats(t *testing.T) {
	g := gomega.NewWithT(t)
	s := newSimulation(4)
	s.engines["engine-5"].slowdown = 8
	s.traffic(40, 25, 30*time.Second)
	s.run(40 * time.Second)
	s.expectChatsOnTime(g)
}

// TestOverloadStillServesManyDraftsOnTime generates a third more than the
// engines can process. Requests that can't be on time are refused at once, so
// that the others are on time and short chats are not affected.
func TestOverloadStillServesManyDraftsOnTime(t *testing.T) {
	g := gomega.NewWithT(t)
	s := newSimulation(5)
	s.traffic(40, 200, 30*time.Second)
	s.run(60 * time.Second)
	s.expectChatsOnTime(g)
	// The engines of the patient group could process about three quarters of
	// the drafts.
	g.Expect(share(s.draftsOnTime, s.drafts)).To(gomega.BeNumerically(">=", 0.5), "drafts")
}

// TestTriedServerDoesNotMoveThePartition checks that the partition between the
// groups stays the same when a request has to skip a server.
func TestTriedServerDoesNotMoveThePartition(t *testing.T) {
	g := gomega.NewWithT(t)
	s := newSimulation(6)
	s.traffic(40, 40, 10*time.Second)
	s.run(10 * time.Second)
	urgentServers := func(tried []string) int {
		reservation, choice, err := s.balancers[0].Pick(s.now, placement.Request{
			Service: "llm", PromptTokens: 600, Target: chatTarget,
			Parts: []placement.Part{{ID: 1, Tokens: 100}, {ID: 2, Tokens: 500}},
		}, tried)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		reservation.Done(s.now, placement.Canceled)
		return choice.UrgentServers
	}
	before := urgentServers(nil)
	for i := range engines {
		g.Expect(urgentServers([]string{fmt.Sprintf("engine-%d", i)})).To(gomega.Equal(before))
	}
}
