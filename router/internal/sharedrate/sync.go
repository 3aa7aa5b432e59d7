package sharedrate

import (
	"net/netip"
	"slices"
	"time"
)

const (
	// maxSyncTime is how long a router waits for the statements of others after its start,
	// and commonStartTime how long if it hears only from others that have none either.
	maxSyncTime     = 1500 * time.Millisecond
	commonStartTime = 3 * tickInterval
)

// Synced reports whether the router knows the limits that were named before its start, or
// has waited for them long enough.
func (e *Exchange) Synced() bool { return e.synced.Load() }

// askForStatements asks other routers for all their statements.
func (e *Exchange) askForStatements(now time.Duration) {
	age := now - e.startedAt
	if age > maxSyncTime || e.heardUnsynced.Load() && age > commonStartTime {
		e.synced.Store(true)
		return
	}
	e.mu.Lock()
	others := slices.Concat(e.view.members(), e.view.seeds)
	e.mu.Unlock()
	e.sendAll(message{Sync: syncAsk}, others)
}

// answerSync sends all statements to a router, and the number of routers that it should
// reckon with.
func (e *Exchange) answerSync(to netip.AddrPort) {
	e.mu.Lock()
	now, most := e.config.Clock(), e.view.most
	all := make([]keyedStatement, 0, len(e.statements))
	for key, s := range e.statements {
		if s.Limited || s.Leaving {
			all = append(all, keyedStatement{Key: key, Statement: s})
		}
	}
	brittle := e.brittleStatements()
	e.mu.Unlock()
	for chunk := range slices.Chunk(all, maxStatementsPerMessage) {
		e.sendAll(message{sentAt: now, Statements: chunk}, []netip.AddrPort{to})
	}
	for chunk := range slices.Chunk(brittle, maxStatementsPerMessage) {
		e.sendPlaceMessage(placeMessage{Brittle: chunk}, []netip.AddrPort{to})
	}
	e.sendAll(message{Sync: syncAnswer, Routers: most}, []netip.AddrPort{to})
}
