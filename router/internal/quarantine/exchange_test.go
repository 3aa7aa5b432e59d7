package quarantine_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/juju/errors"
	"github.com/onsi/gomega"

	"snipetally.example/router/internal/datagram"
	"snipetally.example/router/internal/quarantine"
)

const (
	// shareTime is the longest time that a verdict may take to be known at all routers,
	// on a slow machine.
	shareTime = 20 * time.Second

	// basePort is the port of the exchanges. Each has an address of its own.
	basePort = 7355
)

// fakeStore keeps rows, and fails while it is unavailable.
type fakeStore struct {
	// mu guards the fields below.
	mu          sync.Mutex
	rows        map[string][]byte
	unavailable bool
	era         int64
}

// Era implements quarantine.Store.
func (s *fakeStore) Era() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.era
}

// restore brings the store back from a copy that has no rows.
func (s *fakeStore) restore() {
	s.mu.Lock()
	defer s.mu.Unlock()
	clear(s.rows)
	s.era++
}

const errUnavailable = errors.ConstError("store unavailable")

// Rows implements quarantine.Store.
func (s *fakeStore) Rows(context.Context) ([][]byte, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.unavailable {
		return nil, errUnavailable
	}
	var values [][]byte
	for _, value := range s.rows {
		values = append(values, value)
	}
	return values, nil
}

// Put implements quarantine.Store.
func (s *fakeStore) Put(_ context.Context, key string, value []byte, remove string) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.unavailable {
		return errUnavailable
	}
	delete(s.rows, remove)
	s.rows[key] = value
	return nil
}

// Remove implements quarantine.Store.
func (s *fakeStore) Remove(_ context.Context, key string) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.rows, key)
	return nil
}

// count returns the number of rows.
func (s *fakeStore) count() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.rows)
}

// exchangeFleet is routers with exchanges.
type exchangeFleet struct {
	t         *testing.T
	store     *fakeStore
	addresses []netip.AddrPort

	// apart says that routers don't hear each other.
	apart bool
}

// newExchangeFleet returns a fleet of which no exchange runs yet.
func newExchangeFleet(t *testing.T, n int) *exchangeFleet {
	t.Helper()
	f := &exchangeFleet{t: t, store: &fakeStore{rows: make(map[string][]byte)}}
	second := 1 + rand.IntN(254)
	third := rand.IntN(200)
	for i := range n {
		address := fmt.Sprintf("127.%d.%d.%d:%d", second, third+i/250, 1+i%250, basePort)
		f.addresses = append(f.addresses, netip.MustParseAddrPort(address))
	}
	return f
}

// start runs the exchange of a router and returns it with a function that ends it.
func (f *exchangeFleet) start(i int) (exchange *quarantine.Exchange, stop func()) {
	f.t.Helper()
	exchange = quarantine.NewExchange(quarantine.Config{
		Address: f.addresses[i], Name: f.addresses[i].String(), Store: f.store,
		Members: func(time.Time) []netip.AddrPort {
			var others []netip.AddrPort
			for j, address := range f.addresses {
				if j != i && !f.apart {
					others = append(others, address)
				}
			}
			return others
		},
		OnVerdict:   func(quarantine.Verdict) {},
		OnCrash:     func(quarantine.Crash) {},
		ReportError: func(error) {},
	})
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		_ = exchange.Run(ctx)
	}()
	stop = sync.OnceFunc(func() {
		cancel()
		<-ended
	})
	f.t.Cleanup(stop)
	return exchange, stop
}

// refuses returns a condition that holds while a router refuses requests with the bad
// part.
func refuses(e *quarantine.Exchange) func() bool {
	return func() bool {
		return e.Check(quarantine.Run{Scope: scope, Parts: []uint64{popular, bad}}, false).Refused
	}
}

// crashAt reports crashes by the bad part at a router each until one of them refuses it.
func crashAt(routers ...*quarantine.Exchange) {
	for i := 0; i < 200 && !refuses(routers[0])(); i++ {
		routers[i%len(routers)].ReportCrash(quarantine.Crash{Engine: uint64(i), Runs: []quarantine.Run{
			{Scope: scope, Session: uint64(100 + i), Parts: []uint64{popular, bad}},
		}})
		for _, r := range routers {
			r.ReportStart(quarantine.Run{Scope: scope, Parts: []uint64{popular, other}})
		}
		time.Sleep(50 * time.Millisecond)
	}
}

// Guards against routers that see a part of the crashes each, and then don't know
// together what each of them would know with all.
func TestRoutersShareTheEvidenceOfCrashes(t *testing.T) {
	t.Parallel()
	g := gomega.NewWithT(t)
	f := newExchangeFleet(t, 3)
	var routers []*quarantine.Exchange
	for i := range f.addresses {
		e, _ := f.start(i)
		routers = append(routers, e)
	}
	g.Eventually(func() bool { return routers[0].Synced() && routers[1].Synced() && routers[2].Synced() }, shareTime).Should(gomega.BeTrue())
	crashAt(routers...)
	for _, r := range routers {
		g.Eventually(refuses(r), shareTime).Should(gomega.BeTrue())
		g.Expect(r.Check(quarantine.Run{Scope: scope, Parts: []uint64{popular, other}}, false).Refused).To(gomega.BeFalse())
	}
	g.Eventually(f.store.count, shareTime).Should(gomega.Equal(1))
	g.Expect(routers[1].Lift(quarantine.Key{Part: bad})).To(gomega.HaveLen(1))
	for _, r := range routers {
		g.Eventually(refuses(r), shareTime).Should(gomega.BeFalse())
	}
}

// Guards against routers that forget verdicts when all of them start again.
func TestVerdictsOutlastAllRouters(t *testing.T) {
	t.Parallel()
	g := gomega.NewWithT(t)
	f := newExchangeFleet(t, 2)
	first, stop := f.start(0)
	crashAt(first)
	g.Eventually(f.store.count, shareTime).Should(gomega.Equal(1))
	stop()
	second, _ := f.start(1)
	g.Eventually(second.Synced, shareTime).Should(gomega.BeTrue())
	g.Expect(refuses(second)()).To(gomega.BeTrue())
}

// Guards against a router that learns verdicts, and their end, from the store at its start
// only, while it doesn't hear those that save them.
func TestVerdictsInTheStoreAreReadAgain(t *testing.T) {
	t.Parallel()
	g := gomega.NewWithT(t)
	f := newExchangeFleet(t, 2)
	f.apart = true
	first, _ := f.start(0)
	second, _ := f.start(1)
	g.Eventually(func() bool { return first.Synced() && second.Synced() }, shareTime).Should(gomega.BeTrue())
	crashAt(first)
	g.Eventually(f.store.count, shareTime).Should(gomega.Equal(1))
	g.Expect(refuses(second)()).To(gomega.BeFalse())
	second.ReadAgain()
	g.Eventually(refuses(second), shareTime).Should(gomega.BeTrue())

	g.Expect(first.Lift(quarantine.Key{Part: bad})).To(gomega.HaveLen(1))
	g.Eventually(func() bool {
		second.ReadAgain()
		return refuses(second)()
	}, shareTime).Should(gomega.BeFalse())
}

// Guards against verdicts that are lost with a store that comes back from an older copy, when
// all routers start again later.
func TestVerdictsOutlastAStoreThatComesBackFromAnOlderCopy(t *testing.T) {
	t.Parallel()
	g := gomega.NewWithT(t)
	f := newExchangeFleet(t, 2)
	first, stopFirst := f.start(0)
	second, stopSecond := f.start(1)
	g.Eventually(func() bool { return first.Synced() && second.Synced() }, shareTime).Should(gomega.BeTrue())
	crashAt(first, second)
	g.Eventually(f.store.count, shareTime).Should(gomega.Equal(1))
	f.store.restore()
	g.Eventually(f.store.count, shareTime).Should(gomega.Equal(1))
	stopFirst()
	stopSecond()
	third, _ := f.start(0)
	g.Eventually(third.Synced, shareTime).Should(gomega.BeTrue())
	g.Expect(refuses(third)()).To(gomega.BeTrue())
}

// Guards against a router that starts while the store is unavailable, and doesn't learn
// the verdicts of the others.
func TestRouterLearnsVerdictsFromOthersWhileTheStoreIsAway(t *testing.T) {
	t.Parallel()
	g := gomega.NewWithT(t)
	f := newExchangeFleet(t, 2)
	first, _ := f.start(0)
	g.Eventually(first.Synced, shareTime).Should(gomega.BeTrue())
	f.store.mu.Lock()
	f.store.unavailable = true
	f.store.mu.Unlock()
	crashAt(first)
	second, _ := f.start(1)
	g.Eventually(second.Synced, shareTime).Should(gomega.BeTrue())
	g.Expect(refuses(second)()).To(gomega.BeTrue())
	g.Expect(f.store.count()).To(gomega.Equal(0))
}

// listenAt returns a function that returns the sizes of the datagrams that have arrived
// at an address.
func listenAt(t *testing.T, address netip.AddrPort) func() []int {
	t.Helper()
	var listen net.ListenConfig
	conn, err := listen.ListenPacket(t.Context(), "udp4", address.String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	var mu sync.Mutex
	var sizes []int
	go func() {
		buffer := make([]byte, 64<<10)
		for {
			n, _, err := conn.ReadFrom(buffer)
			if err != nil {
				return
			}
			mu.Lock()
			sizes = append(sizes, n)
			mu.Unlock()
		}
	}()
	return func() []int {
		mu.Lock()
		defer mu.Unlock()
		return slices.Clone(sizes)
	}
}

// Guards against reports of crashes that don't fit into a datagram: long ones are not
// read.
func TestReportsOfCrashesFitIntoDatagrams(t *testing.T) {
	t.Parallel()
	g := gomega.NewWithT(t)
	f := newExchangeFleet(t, 2)
	sizes := listenAt(t, f.addresses[1])
	e, _ := f.start(0)
	g.Eventually(e.Synced, shareTime).Should(gomega.BeTrue())
	long := quarantine.Run{Scope: quarantine.Scope{Service: "assistant-models", Model: strings.Repeat("m", 64)}, Session: 1 << 60, Request: copyOf("long").Request}
	for i := range uint64(quarantine.MaxParts) {
		long.Parts = append(long.Parts, 1<<60+i)
	}
	usual := quarantine.Run{
		Scope: quarantine.Scope{Service: "assistant-models", Model: "m"}, Session: 1 << 60, Parts: long.Parts[:3], Request: copyOf("usual").Request,
	}
	plain := quarantine.Run{Scope: quarantine.Scope{Service: "login-portal"}, Request: copyOf("plain").Request}
	cases := map[string]struct {
		crash     quarantine.Crash
		datagrams int
	}{
		"one run":            {quarantine.Crash{Engine: 1 << 60, Runs: []quarantine.Run{usual}}, 1},
		"one plain run":      {quarantine.Crash{Engine: 1<<60 + 3, Runs: []quarantine.Run{plain}}, 1},
		"no run":             {quarantine.Crash{Engine: 1<<60 + 1}, 1},
		"60 runs, each long": {quarantine.Crash{Engine: 1<<60 + 2, Runs: slices.Repeat([]quarantine.Run{long}, 60)}, 4},
	}
	for name, c := range cases {
		before := len(sizes())
		e.ReportCrash(c.crash)
		g.Eventually(func() int { return len(sizes()) - before }, shareTime).Should(gomega.BeNumerically(">=", 2*c.datagrams), "sent twice")
		got := sizes()[before:]
		g.Expect(slices.Max(got)).To(gomega.BeNumerically("<=", datagram.MaxSize))
		t.Logf("%s: datagrams of %v bytes", name, got)
	}
}
