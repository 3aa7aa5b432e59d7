package sharedrate

import (
	"maps"
	"net/netip"
	"slices"
	"time"
)

// maxAnnounced is the number of brittle servers that a router knows from which on it announces no
// further ones: each router learns of a server from its first response, and these suffice to
// know of a service that its servers may be brittle.
const maxAnnounced = 8

// maxToldAtOnce is the number of other routers up to which all are told at once of a brittle server. Where
// there are more, maxAnnouncedTo of them are told soon, at random. The others learn of it from servers.
const (
	maxToldAtOnce  = 16
	maxAnnouncedTo = 8
)

// Brittleness is what was last said of how many requests a server can reject.
type Brittleness struct {
	// Brittle says that the server falls over if it rejects more than Tolerated requests in a
	// second for lack of room.
	Brittle   bool
	Tolerated int

	// At is the time on the router's clock from which on this holds. Of two statements the
	// one with the later time is the newer one.
	At time.Duration
}

// keyedBrittleness is a statement on a server.
type keyedBrittleness struct {
	Key Key
	Brittleness
}

// brittleness holds the newest statement on each server. It belongs to the exchange's mutex.
type brittleness map[Key]Brittleness

// apply takes over a statement if it is newer than the known one, and reports whether the server
// began or ended to be brittle.
func (b brittleness) apply(key Key, next Brittleness) (changed bool) {
	known, ok := b[key]
	if !ok && (!next.Brittle || len(b) >= maxStatements) || ok && next.At <= known.At {
		return false
	}
	b[key] = next
	return known.Brittle != next.Brittle
}

// count returns the number of brittle servers.
func (b brittleness) count() int64 {
	n := int64(0)
	for _, each := range b {
		if each.Brittle {
			n++
		}
	}
	return n
}

// ObserveBrittleness records what a response says, apart from the time of the statement, which is
// set here as in Observe.
func (e *Exchange) ObserveBrittleness(key Key, said Brittleness, sentAt time.Duration) {
	if !said.Brittle && e.brittleServers.Load() == 0 {
		return
	}
	now := e.config.Clock()
	said.At = sentAt
	if said.Brittle {
		said.At = now
	}
	e.mu.Lock()
	if !e.brittle.apply(key, said) {
		e.mu.Unlock()
		return
	}
	e.brittleServers.Store(e.brittle.count())
	others := e.announceBrittleness(key)
	out := e.renewLeases(now, func(l *lease) bool { return l.key == key })
	e.mu.Unlock()
	e.sendPlaceMessage(placeMessage{Brittle: []keyedBrittleness{{Key: key, Brittleness: said}}}, others)
	e.sendPlaces(out)
}

// announceBrittleness returns the routers to tell of a change at once, as the next rejection may be
// one too many. Where there are many routers, some are told soon instead, unless another one does it.
// The caller holds e.mu.
func (e *Exchange) announceBrittleness(key Key) []netip.AddrPort {
	switch {
	case e.brittleServers.Load() > maxAnnounced:
		return nil
	case len(e.view.members()) <= maxToldAtOnce:
		return slices.Clone(e.view.members())
	}
	e.pendingBrittle[key] = struct{}{}
	e.scheduleAnnouncement()
	return nil
}

// BrittleServers returns the number of servers that are known to be brittle.
func (e *Exchange) BrittleServers() int64 { return e.brittleServers.Load() }

// Brittleness returns the statement on a server, and false if there is none.
func (e *Exchange) Brittleness(key Key) (Brittleness, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	b, ok := e.brittle[key]
	return b, ok
}

// hearBrittleness takes over statements of another router.
func (e *Exchange) hearBrittleness(heard []keyedBrittleness, teller netip.AddrPort) {
	if len(heard) == 0 {
		return
	}
	var changes []keyedBrittleness
	e.mu.Lock()
	for _, s := range heard {
		if e.brittle.apply(s.Key, s.Brittleness) {
			changes = append(changes, s)
		}
		if e.brittle[s.Key].Brittle == s.Brittle {
			delete(e.pendingBrittle, s.Key)
		}
	}
	e.brittleServers.Store(e.brittle.count())
	if e.brittleServers.Load() > maxAnnounced {
		clear(e.pendingBrittle)
	}
	e.mu.Unlock()
	for _, s := range changes {
		e.config.OnBrittleness(s.Key, s.Brittleness, teller)
	}
}

// takePendingBrittleness returns the changes to announce. The caller holds e.mu.
func (e *Exchange) takePendingBrittleness() []keyedBrittleness {
	var changes []keyedBrittleness
	for key := range e.pendingBrittle {
		changes = append(changes, keyedBrittleness{Key: key, Brittleness: e.brittle[key]})
	}
	clear(e.pendingBrittle)
	return changes
}

// brittleStatements returns the statements on brittle servers. The caller holds e.mu.
func (e *Exchange) brittleStatements() []keyedBrittleness {
	var all []keyedBrittleness
	for key, b := range e.brittle {
		if b.Brittle {
			all = append(all, keyedBrittleness{Key: key, Brittleness: b})
		}
	}
	return all
}

// dropExpired drops the statements that nobody repeats.
func (b brittleness) dropExpired(now time.Duration) {
	maps.DeleteFunc(b, func(_ Key, each Brittleness) bool { return now-each.At > statementTTL })
}
