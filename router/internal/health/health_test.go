package health_test

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"

	"snipetally.example/router/internal/backend"
	"snipetally.example/router/internal/fleet"
	"snipetally.example/router/internal/health"
	"snipetally.example/router/internal/link"
	"snipetally.example/router/internal/schedule"
	"snipetally.example/standin/network"
)

// fakeScheduler counts the reports and events that it receives.
type fakeScheduler struct {
	mu      sync.Mutex
	busy    []string
	reports map[string]int
	events  int
	running int
}

func (s *fakeScheduler) Report(server string, load schedule.Load) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reports[server]++
	s.running = load.Running
}

func (s *fakeScheduler) CacheEvent(string, uint64, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.events++
}

func (s *fakeScheduler) BusyServers() []string { return s.busy }

// fakeLinks connects all addresses to one server.
type fakeLinks struct {
	dial func(ctx context.Context, network, address string) (net.Conn, error)

	mu    sync.Mutex
	links map[string]*link.Link
}

func (l *fakeLinks) Get(address string) *link.Link {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.links[address] == nil {
		l.links[address] = link.New(link.Config{Address: address, Dial: l.dial})
	}
	return l.links[address]
}

// runProber runs a prober with n engines for a time and returns what the
// scheduler received.
func runProber(t *testing.T, n int, duration time.Duration, busy ...string) *fakeScheduler {
	pipe := network.NewPipeListener()
	mux := http.NewServeMux()
	mux.HandleFunc("/load", func(w http.ResponseWriter, _ *http.Request) {
		_, _ = fmt.Fprintf(w, `{"at":%d,"waiting":1,"running":7,"slots":8,"cache":0.5,"pace":12.5}`, time.Now().UnixMilli())
	})
	mux.HandleFunc("/events", func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Query().Get("after") == "0" {
			_, _ = fmt.Fprint(w, `{"events":[{"number":1,"prefix":"00ff","kept":true},{"number":3,"prefix":"zz","kept":true}],"last":3}`)
			return
		}
		_, _ = fmt.Fprint(w, `{"events":[],"last":3}`)
	})
	server := &http.Server{Handler: mux}
	go func() { _ = server.Serve(pipe) }()
	defer func() { _ = server.Close() }()
	plan := fleet.Plan{}
	for i := range n {
		plan.Servers = append(plan.Servers, backend.Server{
			Name: fmt.Sprint(i), Address: fmt.Sprintf("10.0.0.1:%d", i+1), Models: []string{"m"}, Slots: 1,
		})
	}
	store := fleet.NewStore()
	store.Install(fleet.New(1, plan))
	scheduler := &fakeScheduler{busy: busy, reports: make(map[string]int)}
	l := &fakeLinks{dial: pipe.DialContext, links: make(map[string]*link.Link)}
	ctx, cancel := context.WithTimeout(t.Context(), duration)
	defer cancel()
	_ = health.NewProber(store, l, scheduler).Run(ctx)
	for _, each := range l.links {
		each.Close()
	}
	return scheduler
}

func TestBusyEnginesAreProbedFirstWithinBudget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		const duration = time.Minute
		got := runProber(t, 100, duration, "17", "42")
		total := 0
		for _, n := range got.reports {
			total += n
		}
		g.Expect(total).To(gomega.BeNumerically("<=", health.ProbesPerSecond*duration.Seconds()+health.ProbesPerSecond))
		g.Expect(total).To(gomega.BeNumerically(">", health.ProbesPerSecond*duration.Seconds()/2))
		for _, name := range []string{"17", "42"} {
			g.Expect(got.reports[name]).To(gomega.BeNumerically(">", 40))
		}
		g.Expect(len(got.reports)).To(gomega.BeNumerically(">", 90))
		g.Expect(got.running).To(gomega.Equal(7))
	})
}

func TestCacheEventsAreReportedOnceAndInvalidOnesSkipped(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		got := runProber(t, 1, time.Minute)
		g.Expect(got.reports["0"]).To(gomega.BeNumerically(">", 10))
		g.Expect(got.events).To(gomega.Equal(1))
	})
}
