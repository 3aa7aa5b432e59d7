package relay

import (
	"net/http"
	"sync"
	"time"

	"github.com/rs/zerolog"
)

// limitLogInterval is the least time between two lines about the limit of one server.
const limitLogInterval = time.Second

// limitUsage records the limit that a server last named to this router, and the
// attempts that were sent there since. Its methods are safe for concurrent use.
type limitUsage struct {
	// mu guards the fields below. limit is what the last response named, and since
	// when it began to name one.
	mu    sync.Mutex
	limit ServerLimit
	since time.Time

	// first and further count the attempts since the last line: the first ones of
	// their requests, and all others.
	first   int
	further int

	// loggedAt is when the last line was written, and malformedLogged says that one
	// was written about a malformed limit.
	loggedAt        time.Time
	malformedLogged bool
}

// recordAttempt counts an attempt that is sent, if the server names a limit, and
// reports whether it does.
func (u *limitUsage) recordAttempt(first bool) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	if !u.limit.Named {
		return false
	}
	if first {
		u.first++
	} else {
		u.further++
	}
	return true
}

// observe records what a response names. It returns a function that adds what changed
// to a line, or nil if there is nothing to log.
func (u *limitUsage) observe(now time.Time, limit ServerLimit) (message string, fields func(*zerolog.Event)) {
	u.mu.Lock()
	defer u.mu.Unlock()
	last := u.limit
	u.limit = limit
	if limit.Named && !last.Named {
		u.since = now
	}
	switch {
	case limit.Malformed != "" && !u.malformedLogged:
		u.malformedLogged = true
		return "malformed server limit ignored", func(e *zerolog.Event) { e.Str("value", limit.Malformed) }
	case now.Sub(u.loggedAt) < limitLogInterval || !limit.Named && !last.Named:
		return "", nil
	}
	age, first, further := now.Sub(u.since), u.first, u.further
	u.loggedAt, u.first, u.further = now, 0, 0
	return limitMessage(last.Named, limit.Named), func(e *zerolog.Event) {
		e.Float64("limit", limit.PerSecond).Dur("named", age).Int("first", first).Int("further", further)
	}
}

// limitMessage returns the message of a line about a limit.
func limitMessage(before, now bool) string {
	switch {
	case !before:
		return "server limit named"
	case !now:
		return "server limit ended"
	}
	return "server limit in force"
}

// observeLimit records the limit that a response names. The response of another server
// at the same address says nothing about this one. In the line, limit holds the
// requests a second, named the time since the server began to name limits, and first
// and further the attempts that this router sent since the last line: the first ones
// of their requests, and all others.
func (r *relay) observeLimit(target *backendServer, status int, limit ServerLimit) {
	if status == http.StatusMisdirectedRequest {
		return
	}
	message, fields := target.usage.limit.observe(time.Now(), limit)
	if message == "" {
		return
	}
	event := r.options.log.StateChange().Str("server", target.ID).Str("service", target.Service)
	fields(event)
	event.Msg(message)
}
