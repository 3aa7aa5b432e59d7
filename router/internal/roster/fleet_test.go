package roster_test

import (
	"context"
	"encoding/binary"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/juju/errors"

	"snipetally.example/router/internal/roster"
)

const errUnavailable = errors.ConstError("store unavailable")

// fakeStore keeps rows and counts calls.
type fakeStore struct {
	// mu guards the fields below.
	mu          sync.Mutex
	rows        map[string][]byte
	unavailable bool
	reads       int
	writes      int
}

// Rows implements roster.Store.
func (s *fakeStore) Rows(context.Context) ([][]byte, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reads++
	if s.unavailable {
		return nil, errUnavailable
	}
	var values [][]byte
	for _, value := range s.rows {
		values = append(values, value)
	}
	return values, nil
}

// Put implements roster.Store.
func (s *fakeStore) Put(_ context.Context, key string, value []byte, _ string) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.writes++
	if s.unavailable {
		return errUnavailable
	}
	s.rows[key] = value
	return nil
}

// set writes rows.
func (s *fakeStore) set(rows map[string]string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for key, value := range rows {
		s.rows[key] = []byte(value)
	}
}

// setUnavailable makes all calls fail, or no longer.
func (s *fakeStore) setUnavailable(unavailable bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.unavailable = unavailable
}

// calls returns the numbers of reads and writes since the last time.
func (s *fakeStore) calls() (reads, writes int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	reads, writes = s.reads, s.writes
	s.reads, s.writes = 0, 0
	return reads, writes
}

// fleet is routers in virtual time, in a synctest bubble. Those of a group hear each other.
// An introduction makes two groups one, if the routers are on the same side of a partition.
type fleet struct {
	t     *testing.T
	store *fakeStore
	done  context.Context
	stop  context.CancelFunc

	// mu guards the fields below. group is the group of each running router, by address,
	// and deaf says that no introduction arrives anywhere.
	mu     sync.Mutex
	group  map[netip.AddrPort]int
	cancel map[netip.AddrPort]context.CancelFunc
	deaf   bool
}

// newFleet returns a fleet without routers.
func newFleet(t *testing.T) *fleet {
	t.Helper()
	f := &fleet{
		t: t, store: &fakeStore{rows: make(map[string][]byte)},
		group: make(map[netip.AddrPort]int), cancel: make(map[netip.AddrPort]context.CancelFunc),
	}
	f.done, f.stop = context.WithCancel(t.Context())
	return f
}

// address returns the address of a router by its number.
func address(number int) netip.AddrPort {
	var ip [4]byte
	binary.BigEndian.PutUint32(ip[:], 0x0a000000+uint32(number)+1)
	return netip.AddrPortFrom(netip.AddrFrom4(ip), 7340)
}

// start runs a router that hears those of a group.
func (f *fleet) start(number, group int) {
	own := address(number)
	ctx, cancel := context.WithCancel(f.done)
	f.mu.Lock()
	f.group[own], f.cancel[own] = group, cancel
	f.mu.Unlock()
	r := roster.New(roster.Config{
		Address:     own,
		Store:       f.store,
		Live:        func(time.Time) []netip.AddrPort { return f.heardBy(own) },
		Introduce:   func(routers []netip.AddrPort) { f.introduce(own, routers) },
		OnReadAgain: func() {},
		OnListed:    func(netip.AddrPort) {},
		ReportError: func(error) {},
	})
	go func() { _ = r.Run(ctx) }()
}

// end ends a router.
func (f *fleet) end(number int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.cancel[address(number)]()
	delete(f.group, address(number))
}

// heardBy returns the other routers of a router's group.
func (f *fleet) heardBy(own netip.AddrPort) []netip.AddrPort {
	f.mu.Lock()
	defer f.mu.Unlock()
	var others []netip.AddrPort
	for other, group := range f.group {
		if other != own && group == f.group[own] {
			others = append(others, other)
		}
	}
	return others
}

// introduce makes the groups of routers one after a while.
func (f *fleet) introduce(own netip.AddrPort, routers []netip.AddrPort) {
	time.AfterFunc(300*time.Millisecond, func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		for _, router := range routers {
			from, known := f.group[router]
			to, running := f.group[own]
			if !known || !running || f.deaf {
				continue
			}
			for each, group := range f.group {
				if group == from {
					f.group[each] = to
				}
			}
		}
	})
}

// groups returns the number of groups.
func (f *fleet) groups() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	all := make(map[int]struct{})
	for _, group := range f.group {
		all[group] = struct{}{}
	}
	return len(all)
}

// setDeaf lets introductions arrive nowhere, or again.
func (f *fleet) setDeaf(deaf bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.deaf = deaf
}

// isListed reports whether a running router is listed.
func (f *fleet) isListed() bool {
	f.store.mu.Lock()
	defer f.store.mu.Unlock()
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, value := range f.store.rows {
		for router := range f.group {
			if strings.HasSuffix(string(value), " "+router.String()) {
				return true
			}
		}
	}
	return false
}
