package relay

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/textproto"
	"strconv"
	"strings"
	"time"

	"github.com/rcrowley/go-metrics"
)

const (
	// atOnce, soon and later are when callers are asked to come back: to
	// another router, after a short pause, and when the router may have found
	// the plan again.
	atOnce = 20 * time.Millisecond
	soon   = 250 * time.Millisecond
	later  = 700 * time.Millisecond

	// spread is the part by which the time is drawn longer, so that callers
	// don't return together.
	spread = 0.5
)

// connectionHeaders concern one connection only and are not relayed. The
// length is set anew.
var connectionHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
	"Content-Length", "Expect",
}

// endToEnd returns a copy of a header without the fields of the connection.
func endToEnd(header http.Header) http.Header {
	out := header.Clone()
	for _, value := range header.Values("Connection") {
		for _, name := range strings.Split(value, ",") {
			out.Del(textproto.TrimString(name))
		}
	}
	for _, name := range connectionHeaders {
		out.Del(name)
	}
	return out
}

// copyHeader sets the header of an answer.
func (x *exchange) copyHeader(header http.Header) {
	to := x.writer.Header()
	for name, values := range endToEnd(header) {
		to[name] = values
	}
	if _, ok := to["Content-Type"]; !ok {
		to["Content-Type"] = nil // Keeps net/http from guessing one.
	}
}

// write answers with an answer that was read wholly.
func (x *exchange) write(whole *wholeAnswer) error {
	x.copyHeader(whole.header)
	if whole.status != http.StatusNoContent && whole.status != http.StatusNotModified {
		x.writer.Header().Set("Content-Length", strconv.Itoa(len(whole.body)))
	}
	x.begun = true
	x.writer.WriteHeader(whole.status)
	if _, err := x.writer.Write(whole.body); err != nil {
		return fmt.Errorf("write answer: %w", err)
	}
	return nil
}

// begin writes the head of a stream, once.
func (x *exchange) begin(status int, header http.Header) error {
	if x.begun {
		return nil
	}
	x.begun = true
	x.markFirst()
	x.copyHeader(header)
	x.writer.WriteHeader(status)
	if err := http.NewResponseController(x.writer).SetWriteDeadline(x.deadline.Add(writeSlack)); err != nil {
		return fmt.Errorf("bound writing: %w", err)
	}
	return nil
}

// writeSlack is how long after a request's deadline a write to its caller may
// block.
const writeSlack = time.Second

// refuse answers that the request did not run, and when to come back.
func (x *exchange) refuse(reason string, after time.Duration) {
	x.relay.meters.refused.Inc(1)
	x.countClass(func(c *classMeters) metrics.Counter { return c.refused })
	seconds := after.Seconds() * (1 + spread*rand.Float64())
	x.writer.Header().Set("Retry-After", strconv.FormatFloat(seconds, 'f', 3, 64))
	x.fail(http.StatusServiceUnavailable, reason)
}

// reject answers that the request is not allowed.
func (x *exchange) reject(status int, reason string) {
	x.relay.meters.refused.Inc(1)
	x.countClass(func(c *classMeters) metrics.Counter { return c.refused })
	x.fail(status, reason)
}

// fail answers with a failure of the router's own.
func (x *exchange) fail(status int, reason string) {
	x.logEnd(status, reason)
	x.writer.Header()["Content-Type"] = nil
	x.writer.Header().Set("Content-Length", "0")
	x.writer.WriteHeader(status)
}

// giveUp gives the final answer of a request that no server answered.
func (x *exchange) giveUp(ctx context.Context, reason string) {
	switch {
	case x.request.Context().Err() != nil:
		x.abandoned()
	case x.begun:
		x.countFailed()
		x.logEnd(0, "cut: "+reason)
		panic(http.ErrAbortHandler) // Closes the connection, so that the answer does not look whole.
	case x.runs == 0:
		x.refuse(reason, soon)
	case x.fallback != nil:
		x.giveFallback(reason)
	case ctx.Err() != nil:
		x.countFailed()
		x.fail(http.StatusGatewayTimeout, reason)
	default:
		x.countFailed()
		x.fail(http.StatusBadGateway, reason)
	}
}

// giveFallback answers with a server's own failure.
func (x *exchange) giveFallback(reason string) {
	x.countFailed()
	x.logEnd(x.fallback.status, reason)
	if err := x.write(x.fallback); err != nil {
		x.relay.options.log.Request(time.Now(), err).Str("request", x.call.AttemptID).Msg("answer lost")
	}
}

// abandoned notes that the caller left.
func (x *exchange) abandoned() {
	x.relay.meters.abandoned.Inc(1)
	x.countClass(func(c *classMeters) metrics.Counter { return c.abandoned })
	x.logEnd(0, "caller left")
	panic(http.ErrAbortHandler) // Nobody reads an answer.
}

// served notes a whole answer.
func (x *exchange) served() {
	x.relay.meters.served.Inc(1)
	late := x.late()
	x.countServed(late)
	if late || len(x.tried) > 1 {
		x.logServed("served late or repeated")
		return
	}
	x.logRoutine()
}

// late reports whether an answer came, or paused, later than its class asks for.
func (x *exchange) late() bool {
	lateFirst := x.class.TargetLatency > 0 && x.firstAfter > x.class.TargetLatency
	lateEvent := x.class.TargetGap > 0 && x.longestGap > x.class.TargetGap
	return lateFirst || lateEvent
}
