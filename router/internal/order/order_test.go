package order_test

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/juju/errors"
	"github.com/onsi/gomega"
	"pgregory.net/rapid"

	"snipetally.example/coordination/bubble"
	"snipetally.example/coordination/lease"
	"snipetally.example/coordination/seeds"
	"snipetally.example/coordination/table"
	"snipetally.example/coordination/table/memory"
	"snipetally.example/router/internal/backend"
	"snipetally.example/router/internal/order"
)

func init() { seeds.Fix() }

// fakeEngine is an order.Engines with one engine. Orders arrive at it after a
// delay, even if the sender has given up meanwhile.
type fakeEngine struct {
	// supportsFencing makes the engine refuse orders with a fencing token below
	// the highest that it has seen.
	supportsFencing bool
	delay           func() time.Duration

	mu        sync.Mutex
	state     order.EngineState
	fences    []uint64
	loadTimes []time.Time
}

func (e *fakeEngine) Send(ctx context.Context, _ backend.Server, o order.Order) error {
	done := make(chan error, 1)
	time.AfterFunc(e.delay(), func() { done <- e.apply(o) })
	select {
	case err := <-done:
		return err
	case <-ctx.Done():
		return fmt.Errorf("%w: %w", order.ErrUncertain, ctx.Err())
	}
}

func (e *fakeEngine) apply(o order.Order) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.supportsFencing && o.Fence < e.state.Fence {
		return order.ErrFenced
	}
	e.state.Fence = max(e.state.Fence, o.Fence)
	e.fences = append(e.fences, o.Fence)
	switch o.Kind {
	case order.Role:
		e.state.Role = o.Name
	case order.Unload:
		e.state.Models = slices.DeleteFunc(slices.Clone(e.state.Models), func(m string) bool { return m == o.Name })
	case order.Load:
		e.loadTimes = append(e.loadTimes, time.Now())
		if !slices.Contains(e.state.Models, o.Name) {
			e.state.Models = append(slices.Clone(e.state.Models), o.Name)
		}
	}
	return nil
}

func (e *fakeEngine) ReadState(context.Context, backend.Server) (order.EngineState, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.state, nil
}

func TestReconcileReachesDesiredStateWithSpacedLoads(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		e := &fakeEngine{delay: func() time.Duration { return time.Millisecond }, state: order.EngineState{Models: []string{"old"}}}
		manager := lease.NewManager(memory.New(), lease.Config{Holder: "a", Duration: time.Minute})
		l, err := manager.Acquire(t.Context(), "orders")
		g.Expect(err).NotTo(gomega.HaveOccurred())
		reconciler := order.NewReconciler(e, l, order.Config{LoadsPerSecond: 0.5})
		desired := order.DesiredState{Models: []string{"a", "b", "c"}, Role: "decode"}
		g.Expect(reconciler.Reconcile(t.Context(), desired)).To(gomega.BeTrue())
		g.Expect(e.state).To(gomega.Equal(order.EngineState{Fence: 1, Models: []string{"a", "b", "c"}, Role: "decode"}))
		for i := 1; i < len(e.loadTimes); i++ {
			g.Expect(e.loadTimes[i].Sub(e.loadTimes[i-1])).To(gomega.BeNumerically(">=", 2*time.Second))
		}
		sent := len(e.fences)
		g.Expect(reconciler.Reconcile(t.Context(), desired)).To(gomega.BeTrue())
		g.Expect(e.fences).To(gomega.HaveLen(sent))
		time.Sleep(time.Minute)
		for _, supportsFencing := range []bool{false, true} {
			_, err = reconciler.Reconcile(t.Context(), order.DesiredState{Server: backend.Server{SupportsFencing: supportsFencing}, Role: "prefill"})
			g.Expect(err).To(gomega.MatchError(order.ErrNotHeld))
		}
		g.Expect(e.fences).To(gomega.HaveLen(sent))
	})
}

func TestClientMapsStatusCodesToErrors(t *testing.T) {
	g := gomega.NewWithT(t)
	code := http.StatusOK
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.WriteHeader(code)
		if r.Method == http.MethodGet {
			_, _ = w.Write([]byte(`{"fence":4,"models":["m"],"role":"decode"}`))
		}
	}))
	defer server.Close()
	client := order.NewClient()
	target := backend.Server{Address: strings.TrimPrefix(server.URL, "http://")}
	state, err := client.ReadState(t.Context(), target)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(state).To(gomega.Equal(order.EngineState{Fence: 4, Models: []string{"m"}, Role: "decode"}))
	for status, want := range map[int]error{200: nil, 409: order.ErrFenced, 400: order.ErrRefused, 502: order.ErrUncertain} {
		code = status
		err := client.Send(t.Context(), target, order.Order{Fence: 4, Name: "m"})
		g.Expect(errors.Is(err, want)).To(gomega.BeTrue(), "status %d: %v", status, err)
	}
}

// TestEngineAppliesOrdersInFenceOrder runs two holders that pause, release and
// lose leases while calls to the table fail. Orders arrive up to 1.9 s late,
// within the lease's margin of 2 s.
func TestEngineAppliesOrdersInFenceOrder(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		pauses := rapid.SliceOfN(rapid.SampledFrom([]int{0, 200, 5000, 8900, 9500, 30000}), 2, 10).Draw(rt, "pauses")
		delays := rapid.SliceOfN(rapid.SampledFrom([]int{1, 1, 700, 1900}), 2, 10).Draw(rt, "delays")
		supportsFencing := rapid.Bool().Draw(rt, "fenced")
		modes := rapid.SliceOfN(rapid.IntRange(0, 4), 0, 40).Draw(rt, "modes")
		bubble.Run(t, rt, func(t *testing.T) (failure string) {
			var mu sync.Mutex
			turn := 0
			draw := func(list []int) time.Duration {
				mu.Lock()
				defer mu.Unlock()
				turn++
				return time.Duration(list[turn%len(list)]) * time.Millisecond
			}
			e := &fakeEngine{supportsFencing: supportsFencing, delay: func() time.Duration { return draw(delays) }}
			tab := memory.New()
			var calls atomic.Int64
			tab.SetFaults(func(table.Kind) memory.Fault {
				if n := int(calls.Add(1)) - 1; n < len(modes) {
					return memory.Fault{Mode: memory.Mode(modes[n])}
				}
				return memory.Fault{}
			})
			ctx, cancel := context.WithTimeout(t.Context(), 3*time.Minute)
			defer cancel()
			var group sync.WaitGroup
			for h := range 2 {
				group.Go(func() {
					manager := lease.NewManager(tab, lease.Config{Holder: fmt.Sprint(h), PollInterval: 100 * time.Millisecond})
					for ctx.Err() == nil {
						l, err := manager.Acquire(ctx, "orders")
						if err != nil {
							return
						}
						reconciler := order.NewReconciler(e, l, order.Config{LoadsPerSecond: 5})
						for n := range 4 {
							time.Sleep(draw(pauses))
							_, _ = reconciler.Reconcile(ctx, order.DesiredState{
								Server: backend.Server{SupportsFencing: supportsFencing}, Role: fmt.Sprint(h, n), Models: []string{fmt.Sprint(h, n)},
							})
							_ = l.Renew(ctx)
						}
						_ = l.Release(ctx)
						time.Sleep(time.Second)
					}
				})
			}
			group.Wait()
			time.Sleep(time.Minute)
			if !slices.IsSorted(e.fences) {
				failure = fmt.Sprintf("fencing tokens at the engine decreased: %v", e.fences)
			}
			// Progress is required only if no pause takes up most of a lease.
			if supportsFencing && slices.Max(pauses) <= 5000 && len(e.fences) == 0 {
				failure = "no order was sent in three minutes"
			}
			return failure
		})
	})
}

// alwaysHeldLease is the lease of a holder whose VM was suspended and whose
// clocks do not show it.
type alwaysHeldLease struct{ *lease.Lease }

func (alwaysHeldLease) HeldFor(time.Duration) bool { return true }

func TestSuspendedHolderIsStoppedByLeaseConfirmation(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		e := &fakeEngine{delay: func() time.Duration { return time.Millisecond }}
		tab := memory.New()
		old, err := lease.NewManager(tab, lease.Config{Holder: "a"}).Acquire(t.Context(), "orders")
		g.Expect(err).NotTo(gomega.HaveOccurred())
		_, err = lease.NewManager(tab, lease.Config{Holder: "b"}).Acquire(t.Context(), "orders")
		g.Expect(err).NotTo(gomega.HaveOccurred())
		_, err = order.NewReconciler(e, alwaysHeldLease{old}, order.Config{}).Reconcile(t.Context(), order.DesiredState{Role: "decode"})
		g.Expect(err).To(gomega.MatchError(order.ErrNotHeld))
		g.Expect(e.fences).To(gomega.BeEmpty())
	})
}
