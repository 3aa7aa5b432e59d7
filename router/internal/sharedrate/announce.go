package sharedrate

import (
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"snipetally.example/router/internal/datagram"
)

const (
	// repeatInterval is the interval at which a router tells another one, at random, which
	// servers leave, as it may have missed the announcement. They are named for repeatTime.
	repeatInterval = time.Second
	repeatTime     = time.Minute
)

// announceLater announces a change to all routers soon. The caller holds e.mu.
func (e *Exchange) announceLater(key Key) {
	e.pending[key] = struct{}{}
	e.scheduleAnnouncement()
}

// scheduleAnnouncement lets the pending changes be announced soon, unless another router does it. The caller holds e.mu.
func (e *Exchange) scheduleAnnouncement() {
	if e.announcing {
		return
	}
	e.announcing = true
	time.AfterFunc(datagram.AnnouncementDelay(len(e.view.members())), e.announce)
}

// repeatLeaving tells a random router which servers leave.
func (e *Exchange) repeatLeaving(now time.Duration) {
	e.mu.Lock()
	var leaving []keyedStatement
	for key, s := range e.statements {
		if s.Leaving && now-s.At < repeatTime && len(leaving) < maxStatementsPerMessage {
			leaving = append(leaving, keyedStatement{Key: key, Statement: s})
		}
	}
	others := slices.Clone(e.view.members())
	e.mu.Unlock()
	if len(leaving) == 0 || len(others) == 0 {
		return
	}
	to := others[rand.IntN(len(others))]
	e.sendAll(message{sentAt: now, Statements: leaving}, []netip.AddrPort{to})
}

// announce sends the changes that no other router has announced meanwhile.
func (e *Exchange) announce() {
	e.mu.Lock()
	now := e.config.Clock()
	var changes []keyedStatement
	for key := range e.pending {
		changes = append(changes, keyedStatement{Key: key, Statement: e.statements[key]})
	}
	clear(e.pending)
	brittle := e.takePendingBrittleness()
	e.announcing = false
	others := slices.Clone(e.view.members())
	e.mu.Unlock()
	for chunk := range slices.Chunk(changes, maxStatementsPerMessage) {
		e.sendAll(message{sentAt: now, Statements: chunk}, others)
	}
	rand.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
	for chunk := range slices.Chunk(brittle, maxStatementsPerMessage) {
		e.sendPlaceMessage(placeMessage{Brittle: chunk}, others[:min(len(others), maxAnnouncedTo)])
	}
}
