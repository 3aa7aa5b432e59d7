package peer_test

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"strings"
	"sync"
	"testing"

	"google.golang.org/protobuf/proto"

	"snipetally.example/coordination/membership"
	"snipetally.example/wire/peer"
)

// messageStats counts membership messages and their bytes by kind, without HTTP
// headers.
type messageStats struct {
	mu     sync.Mutex
	bytes  map[string]int
	counts map[string]int
}

// add counts a message and the bytes of its parts.
func (s *messageStats) add(kind string, m membership.Message) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts[kind]++
	s.bytes["hints"] += len(m.Extra)
	s.bytes["summary buckets"] += 8 * len(m.Buckets)
	for _, u := range append([]membership.Member{m.From}, m.Updates...) {
		wire := &peer.MemberWire{
			Name: u.Name, Address: u.Address, Zone: u.Zone, Region: u.Region, Incarnation: u.Incarnation,
			Round: u.Round, State: uint32(u.State), Note: u.Note, Version: u.Version,
		}
		part := " with details"
		if u.Address == "" {
			part = " without details"
		}
		s.bytes[kind+part] += proto.Size(wire) + 2
	}
}

// reset sets all counts to zero.
func (s *messageStats) reset() {
	s.mu.Lock()
	defer s.mu.Unlock()
	clear(s.bytes)
	clear(s.counts)
}

// log logs the counts divided by divisor, the number of routers times seconds.
func (s *messageStats) log(tb testing.TB, divisor float64) {
	tb.Helper()
	s.mu.Lock()
	defer s.mu.Unlock()
	var parts []string
	for _, kind := range slices.Sorted(maps.Keys(s.bytes)) {
		parts = append(parts, fmt.Sprintf("%s %.0f", kind, float64(s.bytes[kind])/divisor))
	}
	for _, kind := range slices.Sorted(maps.Keys(s.counts)) {
		parts = append(parts, fmt.Sprintf("number of %s %.2f", kind, float64(s.counts[kind])/divisor))
	}
	tb.Logf("bytes per second and router: %s", strings.Join(parts, "; "))
}

// countingTransport is a membership.Transport that counts messages.
type countingTransport struct {
	membership.Transport
	stats *messageStats
}

// Exchange implements membership.Transport.
func (t countingTransport) Exchange(ctx context.Context, address string, m membership.Message) (membership.Message, error) {
	kind := "probes"
	switch {
	case m.Full:
		kind = "joins"
	case len(m.Buckets) > 0:
		kind = "synchronizations"
	}
	t.stats.add(kind, m)
	reply, err := t.Transport.Exchange(ctx, address, m)
	if err == nil {
		t.stats.add("replies to "+kind, reply)
	}
	return reply, err
}
