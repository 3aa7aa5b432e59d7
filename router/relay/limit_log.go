package relay

import (
	"net/netip"
	"sync"
	"time"

	"snipetally.example/router/internal/sharedrate"
)

// limitLogInterval is the least time between two lines about the limit of one server.
const limitLogInterval = time.Second

// limitUsage counts what this router does at a server that names a limit, for the log. Its
// methods are safe for concurrent use.
type limitUsage struct {
	// mu guards the fields below. limit is what the last response named, and since
	// when it began to name one.
	mu    sync.Mutex
	limit ServerLimit
	since time.Time

	// counts are those since the last line, which was written at loggedAt.
	counts   limitCounts
	loggedAt time.Time

	// malformedLogged says that a line was written about a malformed limit.
	malformedLogged bool
}

// limitCounts counts the attempts that were sent to a server while it names a limit, the
// first ones of their requests and all others, and the permits that were denied.
type limitCounts struct {
	first, further, denied int
}

// recordAttempt counts an attempt that is sent.
func (u *limitUsage) recordAttempt(first bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if first {
		u.counts.first++
	} else {
		u.counts.further++
	}
}

// recordDenial counts a permit that was denied.
func (u *limitUsage) recordDenial() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.counts.denied++
}

// limitLine is the content of a line about a limit. Without a message there is none.
type limitLine struct {
	message string
	since   time.Time
	counts  limitCounts
}

// observe records what a response names and returns what to log about it.
func (u *limitUsage) observe(now time.Time, limit ServerLimit) limitLine {
	u.mu.Lock()
	defer u.mu.Unlock()
	last := u.limit
	u.limit = limit
	if limit.Named && !last.Named {
		u.since = now
	}
	if limit.Malformed != "" && !u.malformedLogged {
		u.malformedLogged = true
		return limitLine{message: malformedLimitMessage}
	}
	if now.Sub(u.loggedAt) < limitLogInterval || !limit.Named && !last.Named {
		return limitLine{}
	}
	line := limitLine{message: limitMessage(last.Named, limit.Named), since: u.since, counts: u.counts}
	u.loggedAt, u.counts = now, limitCounts{}
	return line
}

// malformedLimitMessage is the message of a line about a limit that is ignored.
const malformedLimitMessage = "malformed server limit ignored"

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

// logNamedLimit logs what a response names, at most once a second for each server. In the
// line, limit holds the requests a second, named the time since the server began to name
// limits, first and further the attempts that this router sent since the last line: the
// first ones of their requests, and all others, and denied the permits denied since.
func (r *relay) logNamedLimit(target *backendServer, limit ServerLimit) {
	now := time.Now()
	line := target.usage.limit.observe(now, limit)
	if line.message == "" {
		return
	}
	event := r.options.log.StateChange().Str("server", target.ID).Str("service", target.Service)
	if line.message == malformedLimitMessage {
		event.Str("value", limit.Malformed).Msg(line.message)
		return
	}
	event.Float64("limit", limit.PerSecond).Dur("named", now.Sub(line.since)).
		Int("first", line.counts.first).Int("further", line.counts.further).Int("denied", line.counts.denied).Msg(line.message)
}

// logHeardLimit logs that another router said that a limit began or ended. In the line,
// limit is as in logNamedLimit, heard the age of the statement, and teller the router.
func (r *relay) logHeardLimit(key sharedrate.Key, statement sharedrate.Statement, teller netip.AddrPort) {
	message := "server limit heard of"
	if !statement.Limited {
		message = "end of server limit heard of"
	}
	event := r.options.log.Request(time.Now(), nil)
	if s := r.serverByKey(key); s != nil {
		event = event.Str("server", s.ID).Str("service", s.Service)
	}
	event.Float64("limit", statement.PerSecond).Dur("heard", r.options.clock()-statement.At).
		Str("teller", teller.Addr().String()).Msg(message)
}
