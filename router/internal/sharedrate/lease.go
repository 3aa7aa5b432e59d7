package sharedrate

import (
	"context"
	"net/netip"
	"time"
)

const (
	// leaseTime is how long a place is taken without another word of its holder, for the first
	// time. The longer a request lasts, the longer are the times, up to maxLeaseTime.
	leaseTime    = 800 * time.Millisecond
	maxLeaseTime = 4 * time.Second

	// askAgainTime is how long a request waits for the first word of a home before it asks once more, and
	// askAgainInterval the interval at which one that waits for a place does, as a message may be lost.
	askAgainTime     = answerTimeout / 2
	askAgainInterval = 60 * time.Millisecond

	// maxAnswers is the number of answers to a question that may be waiting to be read.
	maxAnswers = 4

	// notHomeWait is how long a router is not asked that is not the home of a server by its own view.
	notHomeWait = 100 * time.Millisecond
)

// Lease names the place that a request of this router takes at a server. Zero is none.
type Lease uint32

// PlaceRequest asks for a place at a server.
type PlaceRequest struct {
	// Slots is the number of requests that the server works on at a time.
	Slots int

	// Opened says that the server has had room for as many requests. Otherwise its places are
	// opened one after the other.
	Opened bool

	// Level is the precedence of the request, and Patience how long it may wait.
	Level    Level
	Patience time.Duration
}

// lease is a place that a request of this router has, or will have once it is written. A router
// counts its requests at all servers, so that their places are known when a server turns brittle.
type lease struct {
	key   Key
	since time.Duration

	// given says that the home gave the place, and written that the request was written to the
	// server. A place that was given can be used until validUntil.
	given      bool
	written    bool
	validUntil time.Duration

	// home is the router that was last told of the lease, at toldAt, or invalid.
	home   netip.AddrPort
	toldAt time.Duration
}

// length returns for how long the home is told that the place is taken.
func (l *lease) length(now time.Duration) time.Duration {
	return min(max(now-l.since, leaseTime), maxLeaseTime)
}

// placeQuestion waits for the answers of a home. granted is closed when there is a place.
type placeQuestion struct {
	key      Key
	home     netip.AddrPort
	granted  chan struct{}
	answered chan placeAnswer

	// until is when a grant comes too late.
	until time.Duration
}

// parcel is a message about places to a router.
type parcel struct {
	to netip.AddrPort
	placeMessage
}

// AcquirePlace asks the home of a brittle server for a place there. It returns at the latest after the time
// that the request may wait, and at the end of the context. The place is released with Release.
func (e *Exchange) AcquirePlace(ctx context.Context, key Key, want PlaceRequest) (Lease, Denial, bool) {
	now := e.refresh()
	e.mu.Lock()
	home := e.view.home(key)
	if home != e.config.Address && (now < e.silentUntil[home] || !e.socket.IsOpen()) {
		e.mu.Unlock()
		return 0, Denial{Wait: silenceTime, Unreachable: true, Unasked: true}, false
	}
	number := e.nextNumber()
	q := &placeQuestion{key: key, home: home, granted: make(chan struct{}), answered: make(chan placeAnswer, maxAnswers), until: now + max(want.Patience, answerTimeout)}
	e.placeQuestions[number] = q
	asked := placeAsk{
		Number: number, Key: key, Slots: want.Slots, Opened: want.Opened, Tolerated: e.brittle[key].Tolerated, Level: want.Level, Patience: want.Patience,
	}
	e.mu.Unlock()
	e.askForPlace(now, home, asked)
	denial, ok := e.awaitPlace(ctx, asked, q)
	if !ok {
		return 0, denial, false
	}
	return Lease(number), Denial{}, true
}

// askForPlace passes a question to a home.
func (e *Exchange) askForPlace(now time.Duration, home netip.AddrPort, asked placeAsk) {
	out := []parcel{{to: home, placeMessage: placeMessage{Ask: asked}}}
	if home == e.config.Address {
		e.mu.Lock()
		out = e.handlePlaceAsk(now, home, asked)
		e.mu.Unlock()
	}
	e.sendPlaces(out)
}

// awaitPlace waits for the answers to a question, and asks again as messages may be lost.
func (e *Exchange) awaitPlace(ctx context.Context, asked placeAsk, q *placeQuestion) (Denial, bool) {
	timer := time.NewTimer(askAgainTime)
	defer timer.Stop()
	heard, repeated := false, false
	for {
		select {
		case <-q.granted:
			return Denial{}, true
		case given := <-q.answered:
			if given.State == placeDenied {
				return Denial{Wait: max(given.Wait, time.Millisecond)}, false
			}
			heard = true
		case <-ctx.Done():
			return e.giveUp(asked.Number, q, true)
		case <-timer.C:
			now := e.config.Clock()
			if now >= q.until || !heard && repeated {
				return e.giveUp(asked.Number, q, heard)
			}
			repeated = true
			asked.Patience = min(asked.Patience, q.until-now)
			e.askForPlace(now, q.home, asked)
		}
		pause := askAgainTime
		if heard {
			pause = min(askAgainInterval, q.until-e.config.Clock())
		}
		timer.Reset(max(pause, 0))
	}
}

// giveUp ends a question whose request no longer waits. A place may have been given at the same moment.
func (e *Exchange) giveUp(number uint32, q *placeQuestion, heard bool) (Denial, bool) {
	now := e.config.Clock()
	e.mu.Lock()
	defer e.mu.Unlock()
	if _, waiting := e.placeQuestions[number]; !waiting && e.leases[number] != nil {
		return Denial{}, true
	}
	delete(e.placeQuestions, number)
	if heard {
		return Denial{Wait: askingInterval}, false
	}
	e.silentUntil[q.home] = now + silenceTime
	for number, other := range e.placeQuestions {
		if other.home == q.home { // They wait in vain.
			e.handlePlaceAnswer(now, placeAnswer{Number: number, State: placeDenied, Wait: silenceTime})
		}
	}
	return Denial{Wait: silenceTime, Unreachable: true}, false
}

// Enter records that a request is written to a server now. A place that it has is used, and otherwise it
// takes one without asking.
func (e *Exchange) Enter(key Key, place Lease) Lease {
	now := e.config.Clock()
	e.mu.Lock()
	defer e.mu.Unlock()
	if l, ok := e.leases[uint32(place)]; ok && l.key == key {
		l.written = true
		return place
	}
	number := e.nextNumber()
	e.leases[number] = &lease{key: key, since: now, written: true}
	return Lease(number)
}

// Holds reports whether a request still has the place that was given to it.
func (e *Exchange) Holds(place Lease) bool {
	if place == 0 {
		return false
	}
	now := e.config.Clock()
	e.mu.Lock()
	defer e.mu.Unlock()
	l, ok := e.leases[uint32(place)]
	return ok && l.given && now < l.validUntil
}

// Release gives back a place. Without one it does nothing.
func (e *Exchange) Release(place Lease, ending Ending) {
	if place == 0 {
		return
	}
	now := e.config.Clock()
	e.mu.Lock()
	l, ok := e.leases[uint32(place)]
	if !ok {
		e.mu.Unlock()
		return
	}
	delete(e.leases, uint32(place))
	if !l.given && !l.home.IsValid() && !e.brittle[l.key].Brittle {
		e.mu.Unlock()
		return // No home needs to know.
	}
	out := e.release(now, placeRelease{Key: l.key, Number: uint32(place), Ending: ending})
	e.mu.Unlock()
	e.sendPlaces(out)
}

// release tells the home of a server that a place is free. The caller holds e.mu.
func (e *Exchange) release(now time.Duration, released placeRelease) []parcel {
	home := e.view.home(released.Key)
	if home == e.config.Address {
		return e.handleRelease(now, e.config.Address, released)
	}
	return []parcel{{to: home, placeMessage: placeMessage{Releases: []placeRelease{released}}}}
}

// takeGrant records that a place was given to a request of this router. A request that no longer
// waits gives it back. The caller holds e.mu.
func (e *Exchange) takeGrant(now time.Duration, number uint32) []parcel {
	q, ok := e.placeQuestions[number]
	if !ok {
		return nil
	}
	delete(e.placeQuestions, number)
	if now > q.until+answerTimeout {
		return e.release(now, placeRelease{Key: q.key, Number: number, Ending: Unused})
	}
	e.leases[number] = &lease{key: q.key, since: now, given: true, validUntil: now + leaseTime, home: q.home, toldAt: now}
	close(q.granted)
	return nil
}

// renewLeases tells the homes which places are taken, as far as they have to be told again or a
// function says so. Places that ran out before their request was written are dropped. The caller holds
// e.mu.
func (e *Exchange) renewLeases(now time.Duration, due func(*lease) bool) []parcel {
	var out []parcel
	holds := make(map[netip.AddrPort][]placeHold)
	for number, l := range e.leases {
		if !l.given && !e.brittle[l.key].Brittle {
			continue
		}
		if l.given && !l.written && now >= l.validUntil {
			delete(e.leases, number)
			out = append(out, e.release(now, placeRelease{Key: l.key, Number: number, Ending: Unused})...)
			continue
		}
		home := e.view.home(l.key)
		if home == l.home && now-l.toldAt < l.length(l.toldAt)/2 && !due(l) {
			continue
		}
		l.home, l.toldAt = home, now
		l.validUntil = now + l.length(now)
		holds[home] = append(holds[home], placeHold{Key: l.key, Number: number, Length: l.length(now)})
	}
	for home, held := range holds {
		if home == e.config.Address {
			e.handleHolds(now, e.config.Address, held)
			continue
		}
		for len(held) > 0 {
			n := min(len(held), maxStatementsPerMessage)
			out = append(out, parcel{to: home, placeMessage: placeMessage{Holds: held[:n]}})
			held = held[n:]
		}
	}
	return out
}
