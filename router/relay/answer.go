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
	// otherRouterDelay, shortRetryDelay and longRetryDelay are the Retry-After
	// delays sent to callers: when another router can take the request, when a
	// short pause may help, and when this router may have reached the plan
	// again.
	otherRouterDelay = 20 * time.Millisecond
	shortRetryDelay  = 250 * time.Millisecond
	longRetryDelay   = 700 * time.Millisecond

	// retryJitter is the largest fraction by which a delay is randomly
	// extended, so that callers don't retry all at once.
	retryJitter = 0.5
)

// hopByHopHeaders are the headers that apply to a single connection and are not
// forwarded. Content-Length is computed again.
var hopByHopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
	"Content-Length", "Expect",
}

// endToEnd returns a copy of a header without its hop-by-hop fields.
func endToEnd(header http.Header) http.Header {
	out := header.Clone()
	for _, value := range header.Values("Connection") {
		for _, name := range strings.Split(value, ",") {
			out.Del(textproto.TrimString(name))
		}
	}
	for _, name := range hopByHopHeaders {
		out.Del(name)
	}
	return out
}

// copyHeader sets the end-to-end fields of a response header on the caller's
// response.
func (x *exchange) copyHeader(header http.Header) {
	to := x.writer.Header()
	for name, values := range endToEnd(header) {
		to[name] = values
	}
	if _, ok := to["Content-Type"]; !ok {
		to["Content-Type"] = nil // Keeps net/http from detecting one.
	}
}

// writeBuffered writes a response that was read completely.
func (x *exchange) writeBuffered(buffered *bufferedResponse) error {
	x.copyHeader(buffered.header)
	if buffered.status != http.StatusNoContent && buffered.status != http.StatusNotModified {
		x.writer.Header().Set("Content-Length", strconv.Itoa(len(buffered.body)))
	}
	x.headWritten = true
	x.writer.WriteHeader(buffered.status)
	if _, err := x.writer.Write(buffered.body); err != nil {
		return fmt.Errorf("write response: %w", err)
	}
	return nil
}

// writeHead writes the status and header of a stream unless they were written
// before, and sets the write deadline.
func (x *exchange) writeHead(status int, header http.Header) error {
	if x.headWritten {
		return nil
	}
	x.headWritten = true
	x.recordFirstByte()
	x.copyHeader(header)
	x.writer.WriteHeader(status)
	if err := http.NewResponseController(x.writer).SetWriteDeadline(x.deadline.Add(writeSlack)); err != nil {
		return fmt.Errorf("set write deadline: %w", err)
	}
	return nil
}

// writeSlack is how long after a request's deadline a write to its caller may
// block.
const writeSlack = time.Second

// refuse answers 503 for a request that did not run. Retry-After is set to the
// delay, extended by a random jitter.
func (x *exchange) refuse(reason string, after time.Duration) {
	x.relay.metrics.refused.Inc(1)
	x.countClass(func(c *classMetrics) metrics.Counter { return c.refused })
	seconds := after.Seconds() * (1 + retryJitter*rand.Float64())
	x.writer.Header().Set("Retry-After", strconv.FormatFloat(seconds, 'f', 3, 64))
	x.writeError(http.StatusServiceUnavailable, reason)
}

// reject answers an invalid or unauthorized request with an error status.
func (x *exchange) reject(status int, reason string) {
	x.relay.metrics.refused.Inc(1)
	x.countClass(func(c *classMetrics) metrics.Counter { return c.refused })
	x.writeError(status, reason)
}

// writeError logs the reason and writes a response without a body that the
// router itself generates.
func (x *exchange) writeError(status int, reason string) {
	x.logUnserved(status, reason)
	x.writer.Header()["Content-Type"] = nil
	x.writer.Header().Set("Content-Length", "0")
	x.writer.WriteHeader(status)
}

// finishUnanswered ends a request that no attempt answered. It sends the
// fallback if there is one, and an error otherwise. A response that has begun
// is cut off.
func (x *exchange) finishUnanswered(ctx context.Context, reason string) {
	switch {
	case x.request.Context().Err() != nil:
		x.abortAbandoned()
	case x.headWritten:
		x.countFailed()
		x.logUnserved(0, "truncated: "+reason)
		panic(http.ErrAbortHandler) // Closes the connection, so that the response does not look complete.
	case x.executions == 0:
		x.refuse(reason, shortRetryDelay)
	case x.fallback != nil:
		x.writeFallback(reason)
	case ctx.Err() != nil:
		x.countFailed()
		x.writeError(http.StatusGatewayTimeout, reason)
	default:
		x.countFailed()
		x.writeError(http.StatusBadGateway, reason)
	}
}

// writeFallback writes the error response of a backend server that ran the
// request.
func (x *exchange) writeFallback(reason string) {
	x.countFailed()
	x.logUnserved(x.fallback.status, reason)
	if err := x.writeBuffered(x.fallback); err != nil {
		x.relay.options.log.Request(time.Now(), err).Str("request", x.info.AttemptID).Msg("fallback response not written")
	}
}

// abortAbandoned records that the caller disconnected and aborts the handler.
func (x *exchange) abortAbandoned() {
	x.relay.metrics.abandoned.Inc(1)
	x.countClass(func(c *classMetrics) metrics.Counter { return c.abandoned })
	x.logUnserved(0, "caller left")
	panic(http.ErrAbortHandler) // Nobody reads the response.
}

// recordServed counts and logs a request whose caller got a complete response.
func (x *exchange) recordServed() {
	x.relay.metrics.served.Inc(1)
	late := x.isLate()
	x.countServed(late)
	if late || len(x.tried) > 1 {
		x.logServed("served late or repeated")
		return
	}
	x.logRoutine()
}

// isLate reports whether the first byte came later, or a pause between events
// was longer, than the targets of the request's class.
func (x *exchange) isLate() bool {
	lateFirst := x.class.TargetLatency > 0 && x.timeToFirstByte > x.class.TargetLatency
	lateEvent := x.class.TargetGap > 0 && x.longestGap > x.class.TargetGap
	return lateFirst || lateEvent
}
