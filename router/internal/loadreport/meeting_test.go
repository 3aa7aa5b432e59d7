package loadreport_test

import (
	"context"
	"fmt"
	"maps"
	"net/netip"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"

	"snipetally.example/router/internal/loadreport"
	"snipetally.example/router/internal/roster"
)

// rowStore keeps rows.
type rowStore struct {
	// mu guards rows.
	mu   sync.Mutex
	rows map[string][]byte
}

// Rows implements roster.Store.
func (s *rowStore) Rows(context.Context) ([][]byte, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Collect(maps.Values(s.rows)), nil
}

// Put implements roster.Store.
func (s *rowStore) Put(_ context.Context, key string, value []byte, _ string) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rows[key] = value
	return nil
}

// Guards against load reports that don't pass from a router that introduces itself to one
// that is listed, at few and many routers, none of which has a seed that runs.
func TestRoutersThatAreIntroducedByTheListHearEachOther(t *testing.T) {
	for _, routers := range []int{2, 8, 80} {
		t.Run(fmt.Sprint(routers, " routers"), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := gomega.NewWithT(t)
				network, store := newMemoryNetwork(), &rowStore{rows: make(map[string][]byte)}
				for row := range 8 {
					store.rows[fmt.Sprint(row)] = fmt.Appendf(nil, "%d %s", row, routerAddress(2000+row))
				}
				ctx, cancel := context.WithCancel(t.Context())
				defer synctest.Wait()
				defer cancel()
				var broadcasters []*loadreport.Broadcaster
				for i := range routers {
					b := network.newIdleBroadcaster(i, seeds(routerAddress(1000)))
					broadcasters = append(broadcasters, b)
					list := roster.New(roster.Config{
						Address: routerAddress(i), Store: store, Live: b.Live, Introduce: b.Introduce,
						OnReadAgain: func() {}, OnListed: func(netip.AddrPort) {}, ReportError: func(error) {},
					})
					go func() { _ = b.Run(ctx) }()
					go func() { _ = list.Run(ctx) }()
				}
				from := time.Now()
				for fewestHeard(broadcasters) < routers-1 && time.Since(from) < time.Minute {
					time.Sleep(50 * time.Millisecond)
				}
				t.Logf("all hear all after %v", time.Since(from))
				g.Expect(time.Since(from)).To(gomega.BeNumerically("<", 30*time.Second))
			})
		})
	}
}
