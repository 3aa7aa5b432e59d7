package sharedrate

import (
	"maps"
	"math"
	"net/netip"
	"slices"
	"time"
)

const (
	// openingTime is the time in which a server gets all its places that is new to its home,
	// or that is back after it was lost: what else it has to do is not known.
	openingTime = 500 * time.Millisecond

	// rejectionWindow is the time in which a brittle server counts the requests that it rejects,
	// with a margin.
	rejectionWindow = 1050 * time.Millisecond

	// lossPause is how long a server gets no requests that broke off two in lossWindow without
	// having served one.
	lossPause  = 500 * time.Millisecond
	lossWindow = time.Second

	// doubtFactor is the multiple of the usual time after which a request may have left its place
	// without a word, if a server has no free place. Its router is asked each checkInterval.
	// After maxUnanswered questions without an answer the place is free.
	doubtFactor   = 1.5
	checkInterval = 100 * time.Millisecond
	maxUnanswered = 2

	// maxAskAge is how long after its last question a request is taken to wait. One question may be lost.
	maxAskAge = 5 * askAgainInterval / 2

	// maxAfterwork is how long a server may work on a request whose router has ended. Most stop when
	// the connection closes.
	maxAfterwork = 250 * time.Millisecond

	// initialHold is the time for which a request is assumed to take a place until that has been
	// measured, and holdWeight the weight of an observation.
	initialHold = 20 * time.Millisecond
	holdWeight  = 0.1
)

// Ending is how a request left its place.
type Ending uint8

// The ways to leave a place. Unused says that the request was not sent, Finished that the server
// answered, Rejected that it had no room, and Lost that the connection broke.
const (
	Unused Ending = iota
	Finished
	Rejected
	Lost
)

// holder is a request of a router that has a place or waits for one.
type holder struct {
	router netip.AddrPort
	number uint32
}

// heldPlace is a place that is taken. It is free when it expires. checkedAt is when its holder was last
// asked whether it still has it, and unanswered how often it was since its last word.
type heldPlace struct {
	since      time.Duration
	expires    time.Duration
	checkedAt  time.Duration
	unanswered int
}

// queuedAsk is a request that waits for a place until a time. It asked last at askedAt, and asks again as
// long as it waits.
type queuedAsk struct {
	holder
	level   Level
	until   time.Duration
	askedAt time.Duration
}

// room is what the home of a brittle server knows of its places. It belongs to the exchange's
// mutex.
//
// No more places are taken than the server has slots, so that nothing waits there; what waits, waits
// at the routers. What the server does for others, or for requests of which the home has not
// heard, is unknown: the places are opened one after the other, and a rejection closes those that
// were too many.
type room struct {
	// own is the address of this router. Its requests have their places until they are released.
	own netip.AddrPort

	// places is the number of the server's slots, and tolerated that of the requests that it can
	// reject in a second.
	places    int
	tolerated int

	// open is the number of places that were open at openAt, from when on it grows.
	open   float64
	openAt time.Duration

	// pausedUntil is until when no place is given. rejections are the times of the rejections in
	// rejectionWindow, and losses the number of requests lost since the last one that was
	// served, the last one at lostAt.
	pausedUntil time.Duration
	rejections  []time.Duration
	losses      int
	lostAt      time.Duration

	held  map[holder]heldPlace
	queue []queuedAsk

	// passedOver counts the places that went to earlier levels while a request that came before
	// waited.
	passedOver int

	// meanHold is the smoothed time for which requests take a place. usedAt is when the room was
	// last asked or told something.
	meanHold time.Duration
	usedAt   time.Duration
}

// newRoom returns a room of which one place is open.
func newRoom(now time.Duration, own netip.AddrPort) *room {
	return &room{own: own, open: 1, openAt: now, held: make(map[holder]heldPlace), meanHold: initialHold, usedAt: now}
}

// allowed returns the number of places that may be taken now if this router gives a share of them.
func (r *room) allowed(now time.Duration, share float64) int {
	if now < r.pausedUntil {
		return 0
	}
	grown := max((now-r.openAt).Seconds(), 0) / openingTime.Seconds() * float64(r.places)
	open := math.Floor(min(r.open+grown, float64(r.places)))
	return int(math.Round(open * share))
}

// expire drops what has run out.
func (r *room) expire(now time.Duration) {
	maps.DeleteFunc(r.held, func(_ holder, h heldPlace) bool { return now >= h.expires })
	r.queue = slices.DeleteFunc(r.queue, func(q queuedAsk) bool { return now >= q.until || now-q.askedAt > maxAskAge })
}

// ask asks for a place for a request that may wait for a time. If it is neither granted nor queued,
// wait is how long the request would have to wait.
func (r *room) ask(now time.Duration, h holder, level Level, patience time.Duration, share float64) (granted, queued bool, wait time.Duration) {
	r.expire(now)
	r.usedAt = now
	if _, held := r.held[h]; held {
		return true, false, 0 // The answer before was lost.
	}
	if i := slices.IndexFunc(r.queue, func(q queuedAsk) bool { return q.holder == h }); i >= 0 {
		r.queue[i].askedAt = now
		return false, true, 0
	}
	allowed := r.allowed(now, share)
	if len(r.held) < allowed && r.ahead(level) == 0 {
		r.hold(now, h, leaseTime)
		return true, false, 0
	}
	wait = time.Duration(float64(r.meanHold) * float64(r.ahead(level)+1) / float64(max(allowed, 1)))
	wait += max(r.pausedUntil-now, 0)
	if wait > patience {
		return false, false, wait
	}
	r.queue = append(r.queue, queuedAsk{holder: h, level: level, until: now + patience, askedAt: now})
	return false, true, 0
}

// ahead returns the number of requests that get a place before a new one of a level.
func (r *room) ahead(level Level) int {
	n := 0
	for _, q := range r.queue {
		if q.level <= level {
			n++
		}
	}
	return n
}

// hold records that a request has a place for a time.
func (r *room) hold(now time.Duration, h holder, length time.Duration) {
	place, ok := r.held[h]
	if !ok {
		place = heldPlace{since: now, checkedAt: now}
	}
	place.expires, place.unanswered = now+length, 0
	if h.router == r.own {
		place.expires = math.MaxInt64
	}
	r.held[h] = place
	r.usedAt = now
	if now >= r.openAt { // What runs there has shown that there is room for it.
		r.open = max(r.open, min(float64(len(r.held)), float64(r.places)))
	}
}

// release records that a request left its place.
func (r *room) release(now time.Duration, h holder, ending Ending) {
	place, known := r.held[h]
	delete(r.held, h)
	r.queue = slices.DeleteFunc(r.queue, func(q queuedAsk) bool { return q.holder == h })
	r.usedAt = now
	switch ending {
	case Finished:
		r.losses = 0
		if known {
			r.meanHold += time.Duration(holdWeight * float64(now-place.since-r.meanHold))
		}
	case Rejected:
		r.recordRejection(now)
	case Lost:
		r.recordLoss(now)
	case Unused:
	}
}

// recordRejection closes the places that were too many. If the server has rejected half of what it
// can, it gets nothing until it has forgotten the first of them.
func (r *room) recordRejection(now time.Duration) {
	r.open, r.openAt = float64(max(len(r.held), 1)), now+r.growthPause()
	r.rejections = append(r.rejections, now)
	for now-r.rejections[0] > rejectionWindow {
		r.rejections = r.rejections[1:]
	}
	if len(r.rejections) > r.tolerated/2 {
		r.pausedUntil = max(r.pausedUntil, r.rejections[0]+rejectionWindow)
	}
}

// growthPause is how long a server that rejected a request gets no more places than it had then. The
// next trial of one more may be rejected again: the fewer of these it tolerates, the later it comes.
func (r *room) growthPause() time.Duration {
	return rejectionWindow + rejectionWindow/time.Duration(max(r.tolerated, 1))
}

// recordLoss closes half of the places, as the server may have fallen over, and pauses after the
// second loss.
func (r *room) recordLoss(now time.Duration) {
	if now-r.lostAt > lossWindow {
		r.losses = 0
	}
	r.losses++
	r.lostAt = now
	r.open, r.openAt = max(float64(len(r.held))/2, 1), now
	if r.losses > 1 {
		r.open = 1
		r.pausedUntil = max(r.pausedUntil, now+lossPause)
		r.openAt = r.pausedUntil
	}
}

// grantQueued gives the free places to requests that wait: those of the earliest level first, and one of
// maxPassedOver to the one that came first.
func (r *room) grantQueued(now time.Duration, share float64) []holder {
	r.expire(now)
	var granted []holder
	for allowed := r.allowed(now, share); len(r.held) < allowed && len(r.queue) > 0; {
		next := 0
		for i, q := range r.queue {
			if q.level < r.queue[next].level {
				next = i
			}
		}
		switch {
		case next == 0:
			r.passedOver = 0
		case r.passedOver >= maxPassedOver:
			next, r.passedOver = 0, 0
		default:
			r.passedOver++
		}
		q := r.queue[next]
		r.queue = slices.Delete(r.queue, next, next+1)
		r.hold(now, q.holder, leaseTime)
		granted = append(granted, q.holder)
	}
	return granted
}

// doubtful returns the requests that have had their places for so long that the word that they left may
// be lost, while others wait. Each is returned once in checkInterval. A place whose router has not
// answered for it is free.
func (r *room) doubtful(now time.Duration) []holder {
	var found []holder
	usual := max(time.Duration(doubtFactor*float64(r.meanHold)), checkInterval)
	for h, place := range r.held {
		switch {
		case now-place.since <= usual || now-place.checkedAt <= checkInterval:
			continue
		case place.unanswered >= maxUnanswered:
			delete(r.held, h)
			continue
		}
		place.checkedAt = now
		place.unanswered++
		r.held[h] = place
		found = append(found, h)
	}
	return found
}

// forget frees what a router holds and waits for, as its process has ended. Servers may work on its
// requests for a moment.
func (r *room) forget(now time.Duration, router netip.AddrPort) {
	for h, place := range r.held {
		if h.router == router {
			place.expires = min(place.expires, now+min(r.meanHold, maxAfterwork))
			r.held[h] = place
		}
	}
	r.queue = slices.DeleteFunc(r.queue, func(q queuedAsk) bool { return q.router == router })
}

// idle reports whether nothing is known of the room for long.
func (r *room) idle(now time.Duration) bool {
	return len(r.held) == 0 && len(r.queue) == 0 && now-r.usedAt > bucketTTL
}
