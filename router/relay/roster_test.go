package relay_test

import (
	"context"
	"maps"
	"net/netip"
	"slices"
	"sync"
	"testing"

	"github.com/onsi/gomega"

	"snipetally.example/router/relay"
)

// fakeRowStore keeps the rows of one table.
type fakeRowStore struct {
	// mu guards rows.
	mu   sync.Mutex
	rows map[string][]byte
}

// Rows implements relay.RowStore.
func (s *fakeRowStore) Rows(context.Context) ([][]byte, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Collect(maps.Values(s.rows)), nil
}

// Put implements relay.RowStore.
func (s *fakeRowStore) Put(_ context.Context, key string, value []byte, remove string) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.rows, remove)
	s.rows[key] = value
	return nil
}

// Remove implements relay.RowStore.
func (s *fakeRowStore) Remove(_ context.Context, key string) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.rows, key)
	return nil
}

// Era implements relay.RowStore.
func (s *fakeRowStore) Era() int64 { return 0 }

// Guards against routers that stay alone for good because their settings never name a seed
// that runs, as the VMs of the first day have all been replaced.
func TestRoutersWithoutASeedThatRunsMeetInTheStore(t *testing.T) {
	g := gomega.NewWithT(t)
	plan := newPlan(newClass("a", relay.Idempotent, 1))
	store := &fakeRowStore{rows: map[string][]byte{"0": []byte("0 127.0.0.1:10"), "5": []byte("5 127.0.0.1:11")}}
	var nodes []*testNode
	for range 3 {
		node, _ := startConfiguredNode(t, func(c *relay.Config) {
			c.PeerSeeds = []netip.AddrPort{netip.MustParseAddrPort("127.0.0.1:9")}
			c.Routers = store
		}, plan, respond("ok"))
		nodes = append(nodes, node)
	}
	for _, node := range nodes {
		g.Eventually(func() string { return node.metrics(t) }, meetingTime).Should(liveRouters(2))
	}
}
