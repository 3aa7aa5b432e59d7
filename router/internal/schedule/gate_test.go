package schedule_test

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"

	"snipetally.example/coordination/seeds"
	"snipetally.example/router/internal/backend"
	"snipetally.example/router/internal/class"
	"snipetally.example/router/internal/contract"
	"snipetally.example/router/internal/fleet"
	"snipetally.example/router/internal/preset"
	"snipetally.example/router/internal/schedule"
)

func init() {
	seeds.Fix()
}

// testPlan returns a plan with classes of all kinds and servers of one model
// with the given number of slots each.
func testPlan(servers, slots int) fleet.Plan {
	queueTimeout := time.Minute
	maxQueued := 5000
	p := fleet.Plan{
		Classes: []class.Class{
			{Name: "protected", Tier: 0, Protected: true, FirstTokenTarget: time.Second, QueueTimeout: queueTimeout, Weight: 1, MaxQueued: maxQueued},
			{Name: "front", Tier: 1, FirstTokenTarget: 30 * time.Second, QueueTimeout: queueTimeout, Weight: 1, MaxQueued: maxQueued},
			{Name: "chat", Tier: 2, FirstTokenTarget: 30 * time.Second, QueueTimeout: queueTimeout, Weight: 1, MaxQueued: maxQueued},
			{Name: "tags", Tier: 5, FirstTokenTarget: 30 * time.Second, QueueTimeout: queueTimeout, Weight: 1, Floor: 0.05, MaxQueued: maxQueued},
		},
		Presets: []preset.Preset{{Name: "day"}, {Name: "night", Overrides: map[string]preset.Override{
			"tags":      {MaxQueued: new(int)},
			"protected": {MaxQueued: new(int)},
		}}},
		Teams:        []contract.Team{{Name: "one", Weight: 1}, {Name: "two", Weight: 1}},
		ActivePreset: "day",
	}
	for i := range servers {
		p.Servers = append(p.Servers, backend.Server{
			Name: fmt.Sprintf("server%d", i), Kind: backend.KindEngine, Models: []string{"model"}, Slots: slots,
		})
	}
	return p
}

// request returns a request of a class.
func request(s *fleet.Snapshot, className string) schedule.Request {
	return schedule.Request{Class: s.Classes[className], Team: s.Teams["one"], Model: "model", PromptTokens: 100, Size: 400}
}

// reason returns the reason of a refusal.
func reason(err error) schedule.Reason {
	var refusal *schedule.Refusal
	if !errors.As(err, &refusal) {
		panic("not a refusal")
	}
	return refusal.Reason
}

// gateTest is a test in virtual time with a gate and a snapshot.
type gateTest struct {
	*gomega.WithT
	t        *testing.T
	gate     *schedule.Gate
	snapshot *fleet.Snapshot
}

// withGate runs a test with a gate without overcommitment, before a number of
// servers with as many slots each.
func withGate(t *testing.T, servers, slots int, run func(*gateTest)) {
	synctest.Test(t, func(t *testing.T) {
		run(&gateTest{
			WithT: gomega.NewWithT(t), t: t, snapshot: fleet.New(1, testPlan(servers, slots)),
			gate: schedule.NewGateWithOptions(schedule.Options{Overcommit: -1}),
		})
	})
}

// acquire acquires a server for a request of a class, which must succeed.
func (g *gateTest) acquire(class string) *schedule.Grant {
	g.t.Helper()
	grant, err := g.gate.Acquire(g.t.Context(), g.snapshot, request(g.snapshot, class))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	return grant
}

func TestRequestWaitsForFreeSlot(t *testing.T) {
	withGate(t, 1, 1, func(g *gateTest) {
		first := g.acquire("front")
		time.AfterFunc(3*time.Second, func() { first.Close(schedule.Result{Tokens: 10}) })
		second := g.acquire("chat")
		g.Expect(second.Waited).To(gomega.Equal(3 * time.Second))
		second.Close(schedule.Result{Tokens: 10})
		second.Close(schedule.Result{Tokens: 10})
		g.Expect(g.gate.State().Servers[0].Running).To(gomega.Equal(0))
	})
}

func TestCanceledRequestLeavesQueueAtOnce(t *testing.T) {
	withGate(t, 1, 1, func(g *gateTest) {
		held := g.acquire("front")
		ctx, cancel := context.WithCancel(g.t.Context())
		time.AfterFunc(time.Second, cancel)
		start := time.Now()
		_, err := g.gate.Acquire(ctx, g.snapshot, request(g.snapshot, "front"))
		g.Expect(reason(err)).To(gomega.Equal(schedule.Canceled))
		g.Expect(time.Since(start)).To(gomega.Equal(time.Second))
		g.Expect(g.gate.State().Waiting).To(gomega.Equal(0))
		held.Close(schedule.Result{})
	})
}

func TestWaitEndsAtDeadline(t *testing.T) {
	withGate(t, 1, 1, func(g *gateTest) {
		held := g.acquire("protected")
		_, err := g.gate.Acquire(g.t.Context(), g.snapshot, request(g.snapshot, "protected"))
		g.Expect(err).To(gomega.MatchError(schedule.ErrRefused))
		g.Expect(reason(err)).To(gomega.Equal(schedule.Expired))
		held.Close(schedule.Result{})
	})
}

func TestSimultaneousGrantAndCancelEndOnce(t *testing.T) {
	withGate(t, 1, 1, func(g *gateTest) {
		for range 50 {
			held := g.acquire("front")
			ctx, cancel := context.WithTimeout(g.t.Context(), time.Second)
			time.AfterFunc(time.Second, func() { held.Close(schedule.Result{}) })
			grant, err := g.gate.Acquire(ctx, g.snapshot, request(g.snapshot, "front"))
			g.Expect((grant == nil) != (err == nil)).To(gomega.BeTrue())
			if grant != nil {
				grant.Close(schedule.Result{})
			}
			cancel()
			synctest.Wait()
			g.Expect(g.gate.State().Servers[0].Running).To(gomega.Equal(0))
		}
	})
}

func TestNewSnapshotKeepsWaitingRequests(t *testing.T) {
	withGate(t, 1, 1, func(g *gateTest) {
		held := g.acquire("front")
		var group sync.WaitGroup
		var mu sync.Mutex
		served := make(map[string]int)
		for i := range 8 {
			name := []string{"protected", "tags"}[i%2]
			group.Go(func() {
				r := request(g.snapshot, name)
				r.MaxTokens = 1
				grant, err := g.gate.Acquire(g.t.Context(), g.snapshot, r)
				if err != nil {
					return
				}
				mu.Lock()
				served[grant.Server.Name]++
				mu.Unlock()
				time.Sleep(10 * time.Millisecond)
				grant.Close(schedule.Result{Tokens: 1})
			})
		}
		synctest.Wait()
		g.Expect(g.gate.State().Waiting).To(gomega.Equal(8))
		plan := testPlan(2, 1)
		plan.ActivePreset = "night"
		plan.Servers[0].State = backend.StateDraining
		g.gate.Apply(fleet.New(2, plan))
		group.Wait()
		g.Expect(served).To(gomega.Equal(map[string]int{"server1": 8}))
		held.Close(schedule.Result{})
		g.Expect(g.gate.State().Counts.Completed).To(gomega.Equal(uint64(9)))
	})
}

func TestFailedServerIsSkipped(t *testing.T) {
	withGate(t, 2, 4, func(g *gateTest) {
		first := g.acquire("front")
		first.Close(schedule.Result{Failed: true})
		for range 4 {
			next := g.acquire("front")
			g.Expect(next.Server.Name).NotTo(gomega.Equal(first.Server.Name))
		}
	})
}

func TestWaitingRequestRetriesFailedServer(t *testing.T) {
	withGate(t, 1, 4, func(g *gateTest) {
		first := g.acquire("front")
		first.Close(schedule.Result{Failed: true})
		next := g.acquire("front")
		g.Expect(next.Waited).To(gomega.BeNumerically("<=", 2*time.Second))
	})
}

func TestProtectedRequestUsesOnlyServerDespiteFailures(t *testing.T) {
	withGate(t, 1, 4, func(g *gateTest) {
		for range 3 {
			next := g.acquire("protected")
			g.Expect(next.Waited).To(gomega.BeZero())
			next.Close(schedule.Result{Failed: true})
		}
		held := g.acquire("front")
		g.Expect(held.Waited).To(gomega.BeNumerically(">", 0))
	})
}

func TestProtectedRequestAvoidsFailedServerIfAnotherExists(t *testing.T) {
	withGate(t, 2, 1, func(g *gateTest) {
		first := g.acquire("protected")
		first.Close(schedule.Result{Failed: true})
		second := g.acquire("protected")
		g.Expect(second.Server.Name).NotTo(gomega.Equal(first.Server.Name))
		time.AfterFunc(100*time.Millisecond, func() { second.Close(schedule.Result{Tokens: 10}) })
		third := g.acquire("protected")
		g.Expect(third.Server.Name).To(gomega.Equal(second.Server.Name))
	})
}

// BenchmarkGate measures the whole path of a request through the gate, with as
// many goroutines as there are processors.
func BenchmarkGate(b *testing.B) {
	s := fleet.New(1, testPlan(1000, 16))
	gate := schedule.NewGate()
	gate.Apply(s)
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			grant, err := gate.Acquire(b.Context(), s, request(s, "chat"))
			if err != nil {
				continue
			}
			grant.FirstToken(0)
			grant.Token(10)
			grant.Close(schedule.Result{Tokens: 10})
		}
	})
}

// BenchmarkToken measures the cost of reporting a token to the gate from many
// concurrent streams.
func BenchmarkToken(b *testing.B) {
	const slots = 200
	gate := schedule.NewGate()
	s := fleet.New(1, testPlan(1, slots))
	gate.Apply(s)
	b.RunParallel(func(pb *testing.PB) {
		grant, err := gate.Acquire(b.Context(), s, request(s, "chat"))
		if err != nil {
			b.Error(err)
			return
		}
		grant.FirstToken(0)
		for pb.Next() {
			grant.Token(1)
		}
		grant.Close(schedule.Result{Tokens: 1})
	})
}
