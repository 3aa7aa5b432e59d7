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

	"snipetally.example/router/internal/handover"
)

const (
	// otherRouterDelay, shortRetryDelay and longRetryDelay are the Retry-After
	// delays sent to callers: when another router can take the request, when a
	// short pause may help, and when this router may have reached the plan
	// again.
	otherRouterDelay = 20 * time.Millisecond
	shortRetryDelay  = 250 * time.Millisecond
	longRetryDelay   = 700 * time.Millisecond

	// tooLargeRetryDelay is that for a prompt that no server has the memory for. Only other servers
	// or another plan would change that.
	tooLargeRetryDelay = 10 * time.Second

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
func (p *proxiedRequest) copyHeader(header http.Header) {
	to := p.writer.Header()
	for name, values := range endToEnd(header) {
		to[name] = values
	}
	to.Del(handover.OutcomeHeader) // Only a router may set it.
	p.setOutcome(handover.Relayed)
	if _, ok := to["Content-Type"]; !ok {
		to["Content-Type"] = nil // Keeps net/http from detecting one.
	}
	p.announceClose()
}

// announceClose says that the connection closes after the response, if the router
// leaves. It is called as late as possible, for requests that are in progress when
// the router is told to stop.
func (p *proxiedRequest) announceClose() {
	if p.relay.leaving() {
		p.writer.Header().Set("Connection", "close")
	}
}

// writeBuffered writes a response that was read completely, and returns when it
// was passed on or the caller can't be written to.
func (p *proxiedRequest) writeBuffered(buffered *bufferedResponse) error {
	if status := truthful(buffered.status, true); status != buffered.status {
		p.setOutcome(handover.Ended)
		p.writeError(status, errBrokenPromise.Error())
		return nil
	}
	p.copyHeader(buffered.header)
	if buffered.status != http.StatusNoContent && buffered.status != http.StatusNotModified {
		p.writer.Header().Set("Content-Length", strconv.Itoa(len(buffered.body)))
	}
	p.headWritten = true
	if err := p.renewWriteDeadline(); err != nil {
		return err
	}
	p.writer.WriteHeader(buffered.status)
	if _, err := p.writer.Write(buffered.body); err != nil {
		return fmt.Errorf("write response: %w", err)
	}
	if err := http.NewResponseController(p.writer).Flush(); err != nil {
		return fmt.Errorf("flush response: %w", err)
	}
	return nil
}

// renewWriteDeadline starts the time in which a response has to be written. The
// HTTP server counts it from the arrival of the request, which may be long ago.
func (p *proxiedRequest) renewWriteDeadline() error {
	if err := http.NewResponseController(p.writer).SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return fmt.Errorf("set write deadline: %w", err)
	}
	return nil
}

// writeHead writes the status and header of a stream unless they were written
// before, and sets the write deadline.
func (p *proxiedRequest) writeHead(status int, header http.Header) error {
	if p.headWritten {
		return nil
	}
	p.headWritten = true
	p.recordFirstByte()
	p.copyHeader(header)
	p.writer.WriteHeader(status)
	if err := http.NewResponseController(p.writer).SetWriteDeadline(p.deadline.Add(writeSlack)); err != nil {
		return fmt.Errorf("set write deadline: %w", err)
	}
	return nil
}

// writeSlack is how long after a request's deadline a write to its caller may
// block.
const writeSlack = time.Second

// refuse answers 503 for a request that did not run. Retry-After is set to the
// delay, extended by a random jitter.
func (p *proxiedRequest) refuse(reason string, after time.Duration) {
	p.count(p.relay.metrics.refused)
	p.countClass(func(c *classMetrics) metrics.Counter { return c.refused })
	seconds := after.Seconds() * (1 + retryJitter*rand.Float64())
	p.writer.Header().Set("Retry-After", strconv.FormatFloat(seconds, 'f', 3, 64))
	if p.relay.stopping() { // Another router can take the request.
		p.setOutcome(handover.Declined)
	} else {
		p.setOutcome(handover.Refused)
	}
	p.writeError(http.StatusServiceUnavailable, reason)
}

// setOutcome says in the response to another router where it comes from.
func (p *proxiedRequest) setOutcome(outcome handover.Outcome) {
	if p.handedOver != nil {
		p.writer.Header().Set(handover.OutcomeHeader, string(outcome))
	}
}

// reject answers an invalid or unauthorized request with an error status.
func (p *proxiedRequest) reject(status int, reason string) {
	p.count(p.relay.metrics.refused)
	p.countClass(func(c *classMetrics) metrics.Counter { return c.refused })
	p.setOutcome(handover.Refused)
	p.writeError(status, reason)
}

// writeError logs the reason and writes a response without a body that the
// router itself generates.
func (p *proxiedRequest) writeError(status int, reason string) {
	status = truthful(status, p.executions > 0)
	p.logUnserved(status, reason)
	p.writer.Header()["Content-Type"] = nil
	p.writer.Header().Set("Content-Length", "0")
	p.announceClose()
	if err := p.renewWriteDeadline(); err != nil {
		p.relay.options.log.Request(time.Now(), err).Str("request", p.info.AttemptID).Msg("refusal not written")
	}
	p.writer.WriteHeader(status)
}

// finishUnanswered ends a request that no attempt answered. It sends the
// fallback if there is one, and an error otherwise. A response that has begun
// is cut off.
func (p *proxiedRequest) finishUnanswered(ctx context.Context, reason string) {
	switch {
	case p.request.Context().Err() != nil:
		p.abortAbandoned()
	case p.headWritten:
		p.countFailed()
		p.logUnserved(0, "truncated: "+reason)
		panic(http.ErrAbortHandler) // Closes the connection, so that the response does not look complete.
	case p.executions == 0:
		p.refuse(reason, p.retryAfter)
	case p.fallback != nil:
		p.writeFallback(reason)
	case ctx.Err() != nil:
		p.countFailed()
		p.setOutcome(handover.Ended)
		p.writeError(http.StatusGatewayTimeout, reason)
	default:
		p.countFailed()
		p.setOutcome(handover.Ended)
		p.writeError(http.StatusBadGateway, reason)
	}
}

// writeFallback writes the error response of a backend server that ran the
// request.
func (p *proxiedRequest) writeFallback(reason string) {
	p.countFailed()
	p.logUnserved(p.fallback.status, reason)
	if err := p.writeBuffered(p.fallback); err != nil {
		p.relay.options.log.Request(time.Now(), err).Str("request", p.info.AttemptID).Msg("fallback response not written")
	}
}

// abortAbandoned records that the caller disconnected and aborts the handler.
func (p *proxiedRequest) abortAbandoned() {
	p.count(p.relay.metrics.abandoned)
	p.countClass(func(c *classMetrics) metrics.Counter { return c.abandoned })
	p.logAbandoned()
	panic(http.ErrAbortHandler) // Nobody reads the response.
}

// recordServed counts and logs a request whose caller got a complete response.
func (p *proxiedRequest) recordServed() {
	p.count(p.relay.metrics.served)
	late := p.isLate()
	p.countServed()
	if late || len(p.tried) > 1 {
		p.logServed("served late or repeated")
		return
	}
	p.logRoutine()
}

// isLate reports whether the first byte came later, or a pause between events
// was longer, than the targets of the request's class.
func (p *proxiedRequest) isLate() bool {
	return p.startedLate() || p.class.TargetGap > 0 && p.longestGap > p.class.TargetGap
}

// startedLate reports whether the first byte came later than the target of the
// request's class.
func (p *proxiedRequest) startedLate() bool {
	return p.class.TargetLatency > 0 && p.timeToFirstByte > p.class.TargetLatency
}
