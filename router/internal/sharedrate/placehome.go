package sharedrate

import (
	"maps"
	"net/netip"
	"slices"
	"time"
)

// room returns the room of a server, and creates it if needed. The caller holds e.mu.
func (e *Exchange) room(now time.Duration, key Key) *room {
	r, ok := e.rooms[key]
	if !ok {
		r = newRoom(now, e.config.Address)
		e.rooms[key] = r
	}
	return r
}

// placeShare returns the fraction of a server's places that this router, its home, may give: that
// of the routers that it hears of those that may be alive. The caller holds e.mu.
func (e *Exchange) placeShare() float64 {
	return float64(len(e.view.members())+1) / float64(e.view.most)
}

// handlePlaceAsk decides on a question for a place, as the home of the server, and returns the answer. The caller
// holds e.mu.
func (e *Exchange) handlePlaceAsk(now time.Duration, router netip.AddrPort, asked placeAsk) []parcel {
	if !e.Synced() || !e.view.settled(now, asked.Key, e.takeoverTime) {
		return e.answerPlace(now, router, placeAnswer{Number: asked.Number, State: placeDenied, Wait: notHomeWait})
	}
	_, known := e.rooms[asked.Key]
	r := e.room(now, asked.Key)
	r.places, r.tolerated = asked.Slots, asked.Tolerated
	if !known && asked.Opened {
		r.open = float64(r.places)
	}
	out := e.grantQueued(now, r)
	granted, queued, wait := r.ask(now, holder{router: router, number: asked.Number}, asked.Level, asked.Patience, e.placeShare())
	answer := placeAnswer{Number: asked.Number, State: placeDenied, Wait: wait}
	switch {
	case granted:
		answer.State = placeGranted
	case queued:
		answer.State = placeQueued
	}
	if !granted {
		out = append(out, e.checkDoubtful(now, r)...)
	}
	return append(out, e.answerPlace(now, router, answer)...)
}

// checkDoubtful tells routers once more of places that their requests may have left: a router gives back
// what it does not use and confirms what it does, and a request that waits has its place. The caller holds e.mu.
func (e *Exchange) checkDoubtful(now time.Duration, r *room) []parcel {
	var out []parcel
	for _, h := range r.doubtful(now) {
		if h.router != e.config.Address {
			out = append(out, parcel{to: h.router, placeMessage: placeMessage{Answers: []placeAnswer{{Number: h.number, State: placeGranted}}}})
			continue
		}
		if l, ok := e.leases[h.number]; ok {
			r.hold(now, h, l.length(now))
		}
	}
	return out
}

// answerPlace passes an answer to the router that asked. The caller holds e.mu.
func (e *Exchange) answerPlace(now time.Duration, router netip.AddrPort, answer placeAnswer) []parcel {
	if router == e.config.Address {
		return e.handlePlaceAnswer(now, answer)
	}
	return []parcel{{to: router, placeMessage: placeMessage{Answers: []placeAnswer{answer}}}}
}

// handlePlaceAnswer passes an answer to the request that waits for it. The caller holds e.mu.
func (e *Exchange) handlePlaceAnswer(now time.Duration, answer placeAnswer) []parcel {
	if answer.State == placeGranted {
		return e.takeGrant(now, answer.Number)
	}
	if q, ok := e.placeQuestions[answer.Number]; ok {
		if answer.State == placeDenied {
			delete(e.placeQuestions, answer.Number)
		}
		select {
		case q.answered <- answer:
		default: // Copies of an answer.
		}
	}
	return nil
}

// grantQueued gives free places to the requests that wait for them. The caller holds e.mu.
func (e *Exchange) grantQueued(now time.Duration, r *room) []parcel {
	var out []parcel
	for _, h := range r.grantQueued(now, e.placeShare()) {
		answer := placeAnswer{Number: h.number, State: placeGranted}
		if h.router == e.config.Address && e.placeQuestions[h.number] == nil {
			r.release(now, h, Unused) // It no longer waits.
			continue
		}
		out = append(out, e.answerPlace(now, h.router, answer)...)
	}
	return out
}

// handleRelease records that a router released a place. The caller holds e.mu.
func (e *Exchange) handleRelease(now time.Duration, router netip.AddrPort, released placeRelease) []parcel {
	if e.view.home(released.Key) != e.config.Address {
		return nil
	}
	r := e.room(now, released.Key)
	r.release(now, holder{router: router, number: released.Number}, released.Ending)
	return e.grantQueued(now, r)
}

// handleHolds records which places a router has. The caller holds e.mu.
func (e *Exchange) handleHolds(now time.Duration, router netip.AddrPort, holds []placeHold) {
	for _, h := range holds {
		if e.view.home(h.Key) == e.config.Address {
			e.room(now, h.Key).hold(now, holder{router: router, number: h.Number}, h.Length)
		}
	}
}

// takeoverFraction is the fraction of the time for which routers may disagree about who is alive in which
// a new home gives no places: it has to hear first which are taken.
const takeoverFraction = 1.0 / 5

// greet tells routers that were heard for the first time lately that this one has started. It does so
// twice, as a message may be lost. The caller holds e.mu.
func (e *Exchange) greet(now time.Duration) []parcel {
	if now-e.startedAt > routerMemory {
		return nil
	}
	var out []parcel
	for _, router := range slices.Concat(e.view.members(), e.view.seeds) {
		if e.greeted[router] < 2 && router != e.config.Address {
			e.greeted[router]++
			out = append(out, parcel{to: router, placeMessage: placeMessage{Started: true}})
		}
	}
	return out
}

// welcome handles that a router has started: what it held is free, as its connections are closed, and
// it does not know what requests of this router hold at the servers of which it is the home.
//
// The caller holds e.mu.
func (e *Exchange) welcome(now time.Duration, router netip.AddrPort) []parcel {
	for _, r := range e.rooms {
		r.forget(now, router)
	}
	return e.renewLeases(now, func(l *lease) bool { return l.home == router })
}

// tickPlaces renews leases and gives places that are free by now.
func (e *Exchange) tickPlaces(now time.Duration) {
	settle := e.config.SettleTime()
	e.mu.Lock()
	e.takeoverTime = time.Duration(takeoverFraction * float64(settle))
	out := e.greet(now)
	if len(e.rooms) == 0 && len(e.brittle) == 0 {
		e.mu.Unlock()
		e.sendPlaces(out)
		return
	}
	out = append(out, e.renewLeases(now, func(*lease) bool { return false })...)
	for _, r := range e.rooms {
		if len(r.queue) > 0 {
			out = append(out, e.grantQueued(now, r)...)
		}
	}
	e.mu.Unlock()
	e.sendPlaces(out)
}

// prunePlaces drops what is no longer used. The caller holds e.mu.
func (e *Exchange) prunePlaces(now time.Duration) {
	e.brittle.dropExpired(now)
	e.brittleServers.Store(e.brittle.count())
	maps.DeleteFunc(e.rooms, func(_ Key, r *room) bool {
		r.expire(now)
		return r.idle(now)
	})
}

// receivePlaces handles a message about places.
func (e *Exchange) receivePlaces(now time.Duration, sender netip.AddrPort, m placeMessage) {
	e.hearBrittleness(m.Brittle, sender)
	var out []parcel
	e.mu.Lock()
	if m.Started {
		out = e.welcome(now, sender)
	}
	e.handleHolds(now, sender, m.Holds)
	for _, released := range m.Releases {
		out = append(out, e.handleRelease(now, sender, released)...)
	}
	if m.Ask.Number != 0 {
		out = append(out, e.handlePlaceAsk(now, sender, m.Ask)...)
	}
	for _, answer := range m.Answers {
		delete(e.silentUntil, sender)
		if answer.State == placeGranted && e.placeQuestions[answer.Number] == nil {
			out = append(out, parcel{to: sender, placeMessage: e.confirm(now, answer.Number)})
			continue
		}
		out = append(out, e.handlePlaceAnswer(now, answer)...)
	}
	for _, number := range m.Returns {
		out = append(out, e.handleReturn(now, holder{router: sender, number: number})...)
	}
	e.mu.Unlock()
	e.sendPlaces(out)
}

// confirm returns whether a request of this router has a place of which its home says so. The caller
// holds e.mu.
func (e *Exchange) confirm(now time.Duration, number uint32) placeMessage {
	l, ok := e.leases[number]
	if !ok {
		return placeMessage{Returns: []uint32{number}}
	}
	l.toldAt = now
	return placeMessage{Holds: []placeHold{{Key: l.key, Number: number, Length: l.length(now)}}}
}

// handleReturn frees a place that was given to a request that no longer waited for it. The caller
// holds e.mu.
func (e *Exchange) handleReturn(now time.Duration, h holder) []parcel {
	for _, r := range e.rooms {
		if _, held := r.held[h]; held {
			r.release(now, h, Unused)
			return e.grantQueued(now, r)
		}
	}
	return nil
}

// sendPlaces sends messages about places. The caller must not hold e.mu.
func (e *Exchange) sendPlaces(out []parcel) {
	for _, p := range out {
		e.sendPlaceMessage(p.placeMessage, []netip.AddrPort{p.to})
	}
}

// sendPlaceMessage sends a message about places to routers.
func (e *Exchange) sendPlaceMessage(m placeMessage, routers []netip.AddrPort) {
	if !e.socket.IsOpen() || len(routers) == 0 {
		return
	}
	data, err := encodePlaces(e.config.Clock(), m)
	if err != nil {
		e.config.ReportError(err)
		return
	}
	e.socket.Send(data, routers)
}
