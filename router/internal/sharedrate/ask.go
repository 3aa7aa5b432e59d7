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
	askedAt := e.refresh()
	given := e.askHome(ctx, askedAt, key, known, level)
	switch {
	case given.Unreachable:
		return Permit{}, Denial{Wait: silenceTime, Unreachable: true}, false
	case given.Permitted || !given.Statement.Limited:
		return Permit{expires: askedAt + permitTime}, Denial{}, true
	}
	return Permit{}, Denial{Wait: given.Wait, Level: given.Level}, false
}

// askHome has the home of a rate decide.
func (e *Exchange) askHome(ctx context.Context, now time.Duration, key Key, known Statement, level Level) answer {
	e.mu.Lock()
	home := e.view.home(key)
	if home == e.config.Address {
		e.mu.Unlock()
		return e.decide(key, level, known)
	}
	if now < e.silentUntil[home] || e.conn == nil {
		e.mu.Unlock()
		return answer{Unreachable: true}
	}
	e.lastQuestion++
	if e.lastQuestion == 0 {
		e.lastQuestion++ // Zero marks messages that ask nothing.
	}
	number, q := e.lastQuestion, &question{home: home, answered: make(chan answer, 1)}
	e.questions[number] = q
	e.mu.Unlock()
	defer e.removeQuestion(number)
	e.sendAll(message{sentAt: now, Ask: ask{Number: number, Key: key, Statement: known, Level: level}}, []netip.AddrPort{home})
	return e.await(ctx, q)
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
	given := e.decide(asked.Key, asked.Level, asked.Statement)
	given.Number, given.Key = asked.Number, asked.Key
	e.sendAll(message{sentAt: e.config.Clock(), Answer: given}, []netip.AddrPort{sender})
}

// decide gives a permit or not, as the home of a rate, to a router that knows the asked
// statement. A router that is not the home by its own view gives none.
func (e *Exchange) decide(key Key, level Level, asked Statement) answer {
	now, settle := e.refresh(), e.config.SettleTime()
	e.mu.Lock()
	defer e.mu.Unlock()
	s, known := e.statements[key]
	switch {
	case known && !s.Limited:
		return answer{Statement: s}
	case !known || !e.Synced() || e.view.home(key) != e.config.Address:
		return answer{Statement: asked, Wait: maxWait}
	}
	b := e.buckets[key]
	if b == nil {
		b = newBucket(now)
		e.buckets[key] = b
	}
	wait, ok := b.take(now, s.PerSecond*e.view.share(now, key, settle), level, s.At)
	given := answer{Statement: s, Permitted: ok, Wait: wait, Level: level}
	if b.tokens >= 1 {
		return given
	}
	given.Level = 0 // There is no token for any level.
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
