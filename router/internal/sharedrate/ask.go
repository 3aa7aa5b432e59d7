package sharedrate

import (
	"context"
	"net/netip"
	"time"
)

// question waits for the answer of a home.
type question struct {
	home     netip.AddrPort
	answered chan answer
}

// Limited reports whether a limit is in force.
func (e *Exchange) Limited(key Key) bool {
	_, ok := e.Limit(key)
	return ok
}

// Limit returns the statement on a rate, and false if no limit is in force.
func (e *Exchange) Limit(key Key) (Statement, bool) {
	if e.limited.Load() == 0 {
		return Statement{}, false
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	s := e.statements[key]
	return s, s.Limited
}

// Count returns the number of limits in force.
func (e *Exchange) Count() int64 { return e.limited.Load() }

// Home returns the address of the router that gives the permits for a rate.
func (e *Exchange) Home(key Key) netip.AddrPort {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.view.home(key)
}

// Routers returns the number of routers that are alive, with this one.
func (e *Exchange) Routers() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.view.members()) + 1
}

// Usable reports whether a request may be sent with a permit now. Without a limit none is
// needed.
func (e *Exchange) Usable(key Key, permit Permit) bool {
	return !e.Limited(key) || e.config.Clock() < permit.expires
}

// Acquire asks for a permit. Without a limit it gives one at once. It returns within
// milliseconds, and at the end of the context.
func (e *Exchange) Acquire(ctx context.Context, key Key, level Level) (Permit, Denial, bool) {
	known, ok := e.Limit(key)
	if !ok {
		return Permit{}, Denial{}, true
	}
	now := e.refresh()
	permit, denial, want := e.takeSpare(now, key, level)
	if want == 0 {
		return permit, denial, denial == Denial{}
	}
	given := e.askHome(ctx, now, ask{Key: key, Statement: known, Level: level, Want: want})
	if ctx.Err() != nil {
		e.keep(key, 0, want, Permit{}, Denial{}) // That says nothing about the home.
		return Permit{}, Denial{Wait: askingInterval}, false
	}
	denial = denialOf(given)
	permit = Permit{expires: now + permitTime}
	e.keep(key, given.Permits, want, permit, denial)
	return permit, denial, denial == Denial{}
}

// denialOf returns the denial in an answer, or the zero value if it is none.
func denialOf(given answer) Denial {
	switch {
	case given.Unreachable:
		return Denial{Wait: silenceTime, Unreachable: true}
	case given.Permits > 0 || !given.Statement.Limited:
		return Denial{}
	}
	return Denial{Wait: max(given.Wait, time.Millisecond), Level: given.Level}
}

// takeSpare takes a spare permit or returns the denial that still holds. If there is
// neither, it returns the number of permits to ask for.
func (e *Exchange) takeSpare(now time.Duration, key Key, level Level) (spare Permit, denial Denial, want int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	w := e.wanted[key]
	if w == nil {
		w = &wanted{}
		e.wanted[key] = w
	}
	w.record(now)
	if w.take(now) {
		return Permit{expires: w.expires}, Denial{}, 0
	}
	if denial, denied := w.denied(now, level); denied {
		return Permit{}, denial, 0
	}
	return Permit{}, Denial{}, w.permitsToAsk()
}

// keep remembers a denial, and the permits of an answer but the first for the next
// requests.
func (e *Exchange) keep(key Key, permits, asked int, permit Permit, denial Denial) {
	now := e.config.Clock()
	e.mu.Lock()
	defer e.mu.Unlock()
	w := e.wanted[key]
	if w == nil {
		return // Dropped, as nobody asked for long.
	}
	w.receive(now, permits, asked, permit.expires, denial)
}

// askHome has the home of a rate decide.
func (e *Exchange) askHome(ctx context.Context, now time.Duration, asked ask) answer {
	e.mu.Lock()
	home := e.view.home(asked.Key)
	if home == e.config.Address {
		e.mu.Unlock()
		return e.decide(asked)
	}
	if now < e.silentUntil[home] || !e.socket.IsOpen() {
		e.mu.Unlock()
		return answer{Unreachable: true}
	}
	number, q := e.nextNumber(), &question{home: home, answered: make(chan answer, 1)}
	e.questions[number] = q
	e.mu.Unlock()
	defer e.removeQuestion(number)
	asked.Number = number
	e.sendAll(message{sentAt: now, Ask: asked}, []netip.AddrPort{home})
	return e.await(ctx, q)
}

// nextNumber returns the number of the next question or place. The caller holds e.mu.
func (e *Exchange) nextNumber() uint32 {
	e.lastQuestion++
	if e.lastQuestion == 0 {
		e.lastQuestion++ // Zero marks messages that ask nothing.
	}
	return e.lastQuestion
}

// await waits for the answer to a question.
func (e *Exchange) await(ctx context.Context, q *question) answer {
	timer := time.NewTimer(answerTimeout)
	defer timer.Stop()
	select {
	case given := <-q.answered:
		return given
	case <-ctx.Done():
		return answer{Unreachable: true}
	case <-timer.C:
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.silentUntil[q.home] = e.config.Clock() + silenceTime
	return answer{Unreachable: true}
}

// removeQuestion drops a question. A permit in a later answer is lost.
func (e *Exchange) removeQuestion(number uint32) {
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.questions, number)
}

// answer answers the question of another router.
func (e *Exchange) answer(sender netip.AddrPort, asked ask) {
	e.hear([]keyedStatement{{Key: asked.Key, Statement: asked.Statement}}, sender)
	given := e.decide(asked)
	given.Number, given.Key = asked.Number, asked.Key
	e.sendAll(message{sentAt: e.config.Clock(), Answer: given}, []netip.AddrPort{sender})
}

// decide gives permits or not, as the home of a rate. A router that is not the home by its
// own view gives none.
func (e *Exchange) decide(asked ask) answer {
	now, settle := e.refresh(), e.config.SettleTime()
	e.mu.Lock()
	defer e.mu.Unlock()
	s, known := e.statements[asked.Key]
	switch {
	case known && !s.Limited:
		return answer{Statement: s}
	case !known || !e.Synced() || e.view.home(asked.Key) != e.config.Address:
		return answer{Statement: asked.Statement, Wait: maxWait}
	}
	b := e.buckets[asked.Key]
	if b == nil {
		b = newBucket(now)
		e.buckets[asked.Key] = b
	}
	perSecond := s.PerSecond * e.view.share(now, asked.Key, settle)
	given := answer{Statement: s, Level: asked.Level}
	given.Permits, given.Wait = b.take(now, perSecond, asked.Level, asked.Want, s.At)
	if given.Permits == 0 && b.tokens < 1 {
		// No level can have a permit until there is a token.
		given.Level, given.Wait = 0, min(given.Wait, timeFor(1-b.tokens, perSecond))
	}
	return given
}

// recordAnswer passes an answer to the request that waits for it.
func (e *Exchange) recordAnswer(sender netip.AddrPort, given answer) {
	e.hear([]keyedStatement{{Key: given.Key, Statement: given.Statement}}, sender)
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.silentUntil, sender)
	q := e.questions[given.Number]
	if q == nil || q.home != sender {
		return
	}
	delete(e.questions, given.Number)
	q.answered <- given
}
