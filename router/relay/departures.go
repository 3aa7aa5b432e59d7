package relay

import (
	"time"

	"snipetally.example/router/internal/sharedrate"
)

// departureMemory is how long a server is remembered to be leaving after its
// entry is gone. A write of an outdated entry that is delayed takes effect within
// seconds.
const departureMemory = time.Minute

// departures remembers the servers that announced that they leave, in their entries or in a
// response. An entry that was written before the announcement can reach the table after it, or
// after the entry has been removed, and some servers never change theirs. It says that the
// server accepts requests, but a server that leaves never accepts any again in the same
// lifetime.
//
// It is guarded by relay.installMu.
type departures struct {
	// lastSeen is when each lifetime of a leaving server was announced or last in the list.
	lastSeen map[sharedrate.Key]time.Duration
}

// newDepartures returns an empty memory.
func newDepartures() *departures {
	return &departures{lastSeen: make(map[sharedrate.Key]time.Duration)}
}

// announce records lifetimes of servers that leave.
func (d *departures) announce(now time.Duration, lifetimes map[sharedrate.Key]struct{}) {
	for key := range lifetimes {
		d.lastSeen[key] = now
	}
}

// correct marks all servers of a list as draining that announced before that they
// leave, and returns the IDs of those whose entries say otherwise.
func (d *departures) correct(now time.Duration, servers map[string]Server) (outdated map[string]struct{}) {
	outdated = make(map[string]struct{})
	for id, s := range servers {
		key := s.key()
		_, leaving := d.lastSeen[key]
		if leaving && !s.Draining {
			s.Draining = true
			servers[id] = s
			outdated[id] = struct{}{}
		}
		if s.Draining {
			d.lastSeen[key] = now
		}
	}
	for key, at := range d.lastSeen {
		if now-at > departureMemory {
			delete(d.lastSeen, key)
		}
	}
	return outdated
}
