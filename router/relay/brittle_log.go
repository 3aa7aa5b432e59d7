package relay

import (
	"sync"
	"time"
)

// brittleLogInterval is the least time between two lines about what a brittle server rejects.
const brittleLogInterval = time.Second

// brittleUsage counts what becomes of this router's attempts at a server that says that it is
// brittle, for the log. Its methods are safe for concurrent use.
type brittleUsage struct {
	// mu guards the fields below. said is what the last response said, and since when it began
	// to say that the server is brittle.
	mu    sync.Mutex
	said  ServerBrittleness
	since time.Time

	// counts are those since the last line, which was written at loggedAt.
	counts   brittleCounts
	loggedAt time.Time

	// malformedLogged says that a line was written about a malformed value.
	malformedLogged bool
}

// brittleCounts counts attempts at a brittle server: rejected first ones of their requests,
// rejected further ones, and those whose connection broke.
type brittleCounts struct {
	first, further, broken int
}

// observe records what a response says. It returns the message of a line about it, or an empty
// string, and since when the server is or was brittle.
func (u *brittleUsage) observe(now time.Time, said ServerBrittleness) (message string, since time.Time) {
	u.mu.Lock()
	defer u.mu.Unlock()
	last := u.said
	u.said = said
	switch {
	case said.Malformed != "" && !u.malformedLogged:
		u.malformedLogged = true
		return malformedBrittlenessMessage, now
	case said.Named && !last.Named:
		u.since = now
		return "backend server is brittle", now
	case !said.Named && last.Named:
		return "backend server no longer brittle", u.since
	}
	return "", u.since
}

// malformedBrittlenessMessage is the message of a line about a value that is ignored.
const malformedBrittlenessMessage = "malformed brittleness ignored"

// record counts an attempt at the server by its result while it is brittle. It returns the counts
// for a line, and false if none is due.
func (u *brittleUsage) record(now time.Time, result attemptResult, first bool) (brittleCounts, bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if !u.said.Named {
		return brittleCounts{}, false
	}
	switch {
	case result == notExecuted && first:
		u.counts.first++
	case result == notExecuted:
		u.counts.further++
	case result == incomplete:
		u.counts.broken++
	default:
		return brittleCounts{}, false
	}
	if now.Sub(u.loggedAt) < brittleLogInterval {
		return brittleCounts{}, false
	}
	counts := u.counts
	u.counts, u.loggedAt = brittleCounts{}, now
	return counts, true
}

// logBrittleness logs that a server begins or ends to be brittle. In the line, tolerated is the
// number of requests that it can reject in a second, and since how long it has been brittle.
func (r *relay) logBrittleness(target *backendServer, said ServerBrittleness) {
	now := time.Now()
	message, since := target.usage.brittle.observe(now, said)
	if message == "" {
		return
	}
	event := r.options.log.StateChange().Str("server", target.ID).Str("service", target.Service)
	if message == malformedBrittlenessMessage {
		event.Str("value", said.Malformed).Msg(message)
		return
	}
	event.Int("tolerated", said.Tolerated).Dur("since", now.Sub(since)).Msg(message)
}

// logAtBrittle counts an attempt at a server, and logs what became of those at a brittle one since the last line, at
// most once a second: first and further are the rejected first and further attempts of requests,
// broken those whose connection broke, and unanswered and answering the attempts in progress.
func (r *relay) logAtBrittle(target *backendServer, result attemptResult, first bool) {
	counts, due := target.usage.brittle.record(time.Now(), result, first)
	if !due {
		return
	}
	r.options.log.StateChange().Str("server", target.ID).Str("service", target.Service).
		Int("first", counts.first).Int("further", counts.further).Int("broken", counts.broken).
		Int64("unanswered", target.usage.unanswered.Load()).Int64("answering", target.usage.answering.Load()).
		Msg("brittle server loses requests")
}
