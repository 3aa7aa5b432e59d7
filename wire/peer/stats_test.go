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
func (t *messageStats) add(kind string, m membership.Message) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.counts[kind]++
	t.bytes["hints"] += len(m.Extra)
	t.bytes["parts of the summary"] += 8 * len(m.Buckets)
	for _, u := range append([]membership.Member{m.From}, m.Updates...) {
		wire := &peer.MemberWire{
			Name: u.Name, Address: u.Address, Zone: u.Zone, Region: u.Region, Incarnation: u.Incarnation,
			Round: u.Round, State: uint32(u.State), Note: u.Note, Version: u.Version,
		}
		part := " of live members"
		if u.Address == "" {
			part = " of members in doubt"
		}
		t.bytes[kind+part] += proto.Size(wire) + 2
	}
}

// reset sets all counts to zero.
func (t *messageStats) reset() {
	t.mu.Lock()
	defer t.mu.Unlock()
	clear(t.bytes)
	clear(t.counts)
}

// log logs the counts divided by divisor, the number of routers times seconds.
func (t *messageStats) log(tb testing.TB, divisor float64) {
	tb.Helper()
	t.mu.Lock()
	defer t.mu.Unlock()
	var parts []string
	for _, kind := range slices.Sorted(maps.Keys(t.bytes)) {
		parts = append(parts, fmt.Sprintf("%s %.0f", kind, float64(t.bytes[kind])/divisor))
	}
	for _, kind := range slices.Sorted(maps.Keys(t.counts)) {
		parts = append(parts, fmt.Sprintf("number of %s %.2f", kind, float64(t.counts[kind])/divisor))
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
	answer, err := t.Transport.Exchange(ctx, address, m)
	if err == nil {
		t.stats.add("answers to "+kind, answer)
	}
	return answer, err
}
