package relay

import (
	"context"
	"fmt"
	"time"

	"github.com/juju/errors"

	"snipetally.example/router/internal/placement"
)

const (
	// moveAfter is the part of the drain time after which streams are moved
	// off a leaving server. Short ones have ended by then, and the rest of the
	// time suffices for the copies.
	moveAfter = 0.3

	// moveTimeout bounds the copying of a run's memory.
	moveTimeout = 1500 * time.Millisecond
)

// errNotMoved says that a run could not be moved.
const errNotMoved = errors.ConstError("run not moved")

// moved is the outcome of a move.
type moved struct {
	copy   KVCopy
	ticket *placement.Reservation
	choice placement.Choice
	err    error
}

// evacuate moves the streams off a server that leaves, once the short ones
// have ended.
func (r *relay) evacuate(server Server) {
	v := r.view.Load()
	if v == nil || r.options.mover == nil {
		return
	}
	service, ok := v.services[server.Service]
	if !ok || !service.SupportsMigration {
		return
	}
	drain := r.bounds.Load().DrainTimeout
	leaves := time.Now().Add(drain)
	time.AfterFunc(time.Duration(moveAfter*float64(drain)), func() {
		for x, at := range r.streams.at(server.ID) {
			if !x.endsBefore(leaves, at, service.TokensPerEvent) {
				go x.moveAway(server)
			}
		}
	})
}

// endsBefore reports whether a stream is expected to end before a time at the
// pace that it had so far. Of one that is longer than expected nothing is known.
func (x *exchange) endsBefore(limit time.Time, at stream, stride int) bool {
	expected := x.work.OutputTokens / max(stride, 1)
	if expected <= at.events {
		return false
	}
	pace := time.Since(at.first) / time.Duration(at.events)
	return time.Now().Add(pace * time.Duration(expected-at.events)).Before(limit)
}

// moveAway moves the stream from a server to another one. It runs beside the
// goroutine that serves the request, which learns the outcome when the stream
// at the old server breaks off.
func (x *exchange) moveAway(server Server) {
	r := x.relay
	if !r.repeats.Take(time.Now(), x.service) {
		return
	}
	outcome := r.streams.claim(x, server.ID)
	if outcome == nil {
		return
	}
	ctx, cancel := context.WithTimeout(x.request.Context(), moveTimeout)
	defer cancel()
	m := x.move(ctx, server)
	if m.err != nil && m.copy.Handle == "" {
		r.streams.unclaim(x)
	}
	outcome <- m
	r.options.log.StateChange().Str("request", x.call.AttemptID).Str("from", server.ID).Str("to", m.choice.Server).
		AnErr("error", m.err).Msg("stream moved")
}

// move has the memory of the run copied to another server.
func (x *exchange) move(ctx context.Context, server Server) moved {
	r := x.relay
	ticket, choice, err := r.board.Pick(time.Now(), x.work, []string{server.ID})
	if err != nil {
		return moved{err: fmt.Errorf("%w: %w", errNotMoved, err)}
	}
	m := moved{ticket: ticket, choice: choice}
	target, ok := (*r.servers.Load())[choice.Server]
	if !ok {
		ticket.Done(time.Now(), placement.Canceled)
		m.err = fmt.Errorf("%w: server %s gone", errNotMoved, choice.Server)
		return m
	}
	m.copy, m.err = r.options.mover.Migrate(ctx, MigrationRequest{
		AttemptID: x.call.AttemptID, Source: server.Address, Destination: target.Address,
	})
	if m.err != nil {
		ticket.Done(time.Now(), placement.Canceled)
	}
	return m
}

// continueMoved goes on with a request whose run was moved. It returns false if
// none was, or if it failed there as well and the caller may try elsewhere.
func (x *exchange) continueMoved(ctx context.Context) bool {
	outcome := x.relay.streams.take(x)
	if outcome == nil {
		return false
	}
	var m moved
	select {
	case m = <-outcome:
	case <-ctx.Done():
		go abandonMove(outcome)
		return false
	}
	if m.err != nil {
		return false
	}
	x.copy = m.copy
	x.choice = m.choice
	x.tried = append(x.tried, m.choice.Server)
	x.runs-- // The run is the same one.
	result, err := x.attempt(ctx, m.ticket)
	x.copy = KVCopy{}
	if result == answered {
		x.served()
		return true
	}
	x.logRepeat(result, err)
	return false
}

// abandonMove gives back the place of a move that nobody waits for, as its
// stream ended before.
func abandonMove(outcome chan moved) {
	if m := <-outcome; m.err == nil {
		m.ticket.Done(time.Now(), placement.Canceled)
	}
}

// dropMove forgets a move that was asked for when the request has its answer.
func (x *exchange) dropMove() {
	if outcome := x.relay.streams.take(x); outcome != nil {
		go abandonMove(outcome)
	}
}
