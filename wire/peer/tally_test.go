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

// tally counts the messages of the membership and their bytes by kind, HTTP
// headers aside.
type tally struct {
	mu     sync.Mutex
	bytes  map[string]int
	counts map[string]int
}

// add counts parts of one message.
func (t *tally) add(kind string, m membership.Message) {
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

// reset forgets what was counted.
func (t *tally) reset() {
	t.mu.Lock()
	defer t.mu.Unlock()
	clear(t.bytes)
	clear(t.counts)
}

// print prints what was counted, divided by nodes and seconds.
func (t *tally) print(tb testing.TB, per float64) {
	tb.Helper()
	t.mu.Lock()
	defer t.mu.Unlock()
	var parts []string
	for _, kind := range slices.Sorted(maps.Keys(t.bytes)) {
		parts = append(parts, fmt.Sprintf("%s %.0f", kind, float64(t.bytes[kind])/per))
	}
	for _, kind := range slices.Sorted(maps.Keys(t.counts)) {
		parts = append(parts, fmt.Sprintf("number of %s %.2f", kind, float64(t.counts[kind])/per))
	}
	tb.Logf("bytes a second and node: %s", strings.Join(parts, "; "))
}

// tallied is a transport that counts.
type tallied struct {
	membership.Transport
	tally *tally
}

// Exchange implements membership.Transport.
func (t tallied) Exchange(ctx context.Context, address string, m membership.Message) (membership.Message, error) {
	kind := "probes"
	switch {
	case m.Full:
		kind = "joins"
	case len(m.Buckets) > 0:
		kind = "synchronizations"
	}
	t.tally.add(kind, m)
	answer, err := t.Transport.Exchange(ctx, address, m)
	if err == nil {
		t.tally.add("answers to "+kind, answer)
	}
	return answer, err
}
