package relay

import "time"

// departureMemory is how long a server is remembered to be leaving after its
// entry is gone. A write of an outdated entry that is delayed takes effect within
// seconds.
const departureMemory = time.Minute

// departures remembers the servers that announced that they leave. An entry that
// was written before the announcement can reach the table after it, or after the
// entry has been removed. It says that the server accepts requests, but a server
// that leaves never accepts any again in the same lifetime.
//
// It is guarded by relay.installMu.
type departures struct {
	// lastSeen is when each leaving server was last in the list.
	lastSeen map[serverLifetime]time.Duration
}

// serverLifetime identifies one lifetime of a server, from its start to its end.
type serverLifetime struct {
	id        string
	startedAt time.Time
}

// lifetime returns the lifetime that an entry is about.
func (s Server) lifetime() serverLifetime { return serverLifetime{id: s.ID, startedAt: s.StartedAt} }

// newDepartures returns an empty memory.
func newDepartures() *departures {
	return &departures{lastSeen: make(map[serverLifetime]time.Duration)}
}

// correct marks all servers of a list as draining that announced before that they
// leave, and returns the IDs of those whose entries say otherwise.
func (d *departures) correct(now time.Duration, servers map[string]Server) (outdated []string) {
	for id, s := range servers {
		lifetime := s.lifetime()
		_, leaving := d.lastSeen[lifetime]
		if leaving && !s.Draining {
			s.Draining = true
			servers[id] = s
			outdated = append(outdated, id)
		}
		if s.Draining {
			d.lastSeen[lifetime] = now
		}
	}
	for lifetime, at := range d.lastSeen {
		if now-at > departureMemory {
			delete(d.lastSeen, lifetime)
		}
	}
	return outdated
}
