package relay

import (
	"maps"
	"time"

	"snipetally.example/router/internal/sharedrate"
)

const (
	// departureMemory is how long a server is remembered to be leaving after its
	// entry is gone. A write of an outdated entry that is delayed takes effect within
	// seconds.
	departureMemory = time.Minute

	// returnHeartbeats is the time in heartbeats after which an entry that came back with an
	// older copy of the table is believed: that of a server that has ended lapses before.
	// defaultReturnDoubt is used if the heartbeat is not known.
	returnHeartbeats   = 4
	defaultReturnDoubt = 5 * time.Second
)

// departures remembers the servers that left or announced it, in their entries or in a
// response. An entry that was written before the announcement can reach the table after it, or
// after the entry has been removed, and some servers never change theirs. It says that the
// server accepts requests, but a server that leaves never accepts any again in the same
// lifetime. An entry that was removed may come back with an older copy of the table; its server
// has left without announcing it, or its entry has lapsed and it lives.
//
// It is guarded by relay.installMu.
type departures struct {
	// returnDoubt is how long entries that came back with an older copy are doubted.
	returnDoubt time.Duration

	// lastSeen is when each lifetime of a leaving server was announced or last in the list.
	lastSeen map[sharedrate.Key]time.Duration

	// gone is when each lifetime left the list that is not in it again, or only in doubt.
	gone map[sharedrate.Key]time.Duration

	// doubts holds the lifetimes whose entries came back with an older copy of the table, and
	// era is the era of the last list.
	doubts map[sharedrate.Key]doubt
	era    int64
}

// doubt is until when an entry is not believed, unless its server writes another one first.
type doubt struct {
	until    time.Duration
	sequence int64
}

// newDepartures returns an empty memory. The heartbeat of servers is zero if it is not known.
func newDepartures(heartbeat time.Duration) *departures {
	d := &departures{
		returnDoubt: returnHeartbeats * heartbeat,
		lastSeen:    make(map[sharedrate.Key]time.Duration),
		gone:        make(map[sharedrate.Key]time.Duration),
		doubts:      make(map[sharedrate.Key]doubt),
	}
	if heartbeat <= 0 {
		d.returnDoubt = defaultReturnDoubt
	}
	return d
}

// announce records lifetimes of servers that leave.
func (d *departures) announce(now time.Duration, lifetimes map[sharedrate.Key]struct{}) {
	for key := range lifetimes {
		d.lastSeen[key] = now
	}
}

// correct marks all servers of a list as draining that announced before that they
// leave, or that are in doubt, and returns the IDs of those whose entries say otherwise. If a
// later lifetime of a server in doubt was listed before, it keeps that one. listed holds the servers of the
// list before, and era is the era of this one.
func (d *departures) correct(now time.Duration, servers map[string]Server, era int64, listed map[string]*backendServer) (outdated map[string]struct{}) {
	d.recordGone(now, servers, listed)
	if era != d.era {
		d.beginDoubts(now, servers, listed)
		d.era = era
	}
	outdated = make(map[string]struct{})
	for id, s := range servers {
		key := s.key()
		if d.inDoubt(now, key, s.Sequence) {
			if b, ok := listed[id]; ok && b.StartedAt.After(s.StartedAt) {
				servers[id] = b.Server
			} else {
				s.Draining = true
				servers[id] = s
			}
			outdated[id] = struct{}{}
			continue
		}
		delete(d.gone, key)
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
	d.forget(now)
	return outdated
}

// recordGone records the lifetimes that are no longer in the list.
func (d *departures) recordGone(now time.Duration, servers map[string]Server, listed map[string]*backendServer) {
	for id, b := range listed {
		if s, ok := servers[id]; !ok || s.key() != b.usage.key {
			d.gone[b.usage.key] = now
		}
	}
}

// beginDoubts records the entries of the first list of an era that were gone in the era before,
// or replaced by one of a later lifetime.
func (d *departures) beginDoubts(now time.Duration, servers map[string]Server, listed map[string]*backendServer) {
	for id, s := range servers {
		_, gone := d.gone[s.key()]
		b, ok := listed[id]
		if gone || ok && b.StartedAt.After(s.StartedAt) {
			d.doubts[s.key()] = doubt{until: now + d.returnDoubt, sequence: s.Sequence}
		}
	}
}

// inDoubt reports whether the entry of a lifetime with a sequence number is in doubt, and ends a
// doubt that is over.
func (d *departures) inDoubt(now time.Duration, key sharedrate.Key, sequence int64) bool {
	entry, ok := d.doubts[key]
	if ok && (now >= entry.until || sequence > entry.sequence) {
		delete(d.doubts, key)
		return false
	}
	return ok
}

// forget drops what happened too long ago to matter.
func (d *departures) forget(now time.Duration) {
	for _, times := range []map[sharedrate.Key]time.Duration{d.lastSeen, d.gone} {
		maps.DeleteFunc(times, func(_ sharedrate.Key, at time.Duration) bool { return now-at > departureMemory })
	}
	maps.DeleteFunc(d.doubts, func(_ sharedrate.Key, entry doubt) bool { return now >= entry.until })
}

// nextEnd returns the time in which the first doubt ends, or false if there is none.
func (d *departures) nextEnd(now time.Duration) (time.Duration, bool) {
	var next time.Duration
	found := false
	for _, entry := range d.doubts {
		if left := max(entry.until-now, 0); !found || left < next {
			next, found = left, true
		}
	}
	return next, found
}
