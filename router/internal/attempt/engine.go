package attempt

import (
	"context"
	"fmt"
	"mime"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/juju/errors"

	"snipetally.example/router/internal/link"
	"snipetally.example/router/internal/pause"
)

const (
	// maxWithoutProgress is the number of consecutive progress timeouts, or of
	// consecutive broken connections, that a server that answers status queries
	// may have without progress. Each timeout is twice as long as the previous
	// one. It also bounds the status queries after a failed service call.
	maxWithoutProgress = 3

	// reconnectDelayUnit is the unit of the delay before a broken connection is
	// replaced. The delay is two units for the first one and doubles with each
	// consecutive one without progress in between.
	reconnectDelayUnit = 20 * time.Millisecond

	// tokenGapFactor multiplies the longest observed time between two tokens to
	// give the progress timeout of an engine that proved to be slow.
	tokenGapFactor = 2
)

// EngineCall is a request to a model engine.
type EngineCall struct {
	// AttemptID is the id of the attempt. It must be unique among all attempts.
	AttemptID string
	Path      string
	Header    http.Header
	Body      []byte
	Priority  int

	// Stream is set if the body asks for a streaming response.
	Stream   bool
	Timeouts ProgressTimeouts

	// Release frees the engine slot. It is called exactly once, when the engine
	// no longer works on the attempt as far as can be known. It may be nil.
	Release func()
}

// engineAttempt is one attempt on an engine. It is not safe for concurrent use,
// except that fetch and checkProgress, which share no field that changes, may
// run at the same time.
type engineAttempt struct {
	runner  *Runner
	link    *link.Link
	call    EngineCall
	sink    Sink
	outcome Outcome

	// epoch is the engine's epoch before the request was sent.
	epoch string

	// lastEvent is the number of the last verified event. finishReasonSeen
	// reports whether a verified event carried a finish reason.
	lastEvent        int
	finishReasonSeen bool

	// missedDeadlines counts the progress timeouts, and brokenConnections the
	// failed connections, since the last progress. reportedTokens is the number
	// of tokens in the engine's last status reply.
	missedDeadlines   int
	brokenConnections int
	reportedTokens    int

	// longestTokenGap is the longest time between two tokens that is attributed
	// to the engine and not to the connection. lastProgress is when the last
	// events arrived.
	longestTokenGap time.Duration
	lastProgress    time.Time

	// doneReported is set when the engine reported the attempt as done although
	// the response had not arrived.
	doneReported bool
}

// CallEngine makes one attempt on an engine and forwards the response to sink. It
// returns when the response has ended or the attempt is given up. When the
// context ends, the attempt is canceled on the engine.
func (r *Runner) CallEngine(ctx context.Context, l *link.Link, call EngineCall, sink Sink) Outcome {
	if call.Release == nil {
		call.Release = func() {}
	}
	call.Release = sync.OnceFunc(call.Release)
	call.Timeouts.First = max(call.Timeouts.First, minFirstTimeout)
	call.Timeouts.Between = max(call.Timeouts.Between, minBetweenTimeout)
	a := &engineAttempt{runner: r, link: l, call: call, sink: sink, epoch: l.State().Epoch}
	var err error
	if call.Stream {
		err = a.runStreaming(ctx)
	} else {
		err = a.runNonStreaming(ctx)
	}
	a.setOutcome(ctx, err)
	return a.outcome
}

// errStreamGone means that an engine no longer has the stream of an attempt.
const errStreamGone = errors.ConstError("engine no longer has the stream")

// finalError is the error of an attempt that is over. It holds the outcome.
type finalError struct {
	run    Run
	reason Reason

	// engineIdle is set if the engine does not work on the attempt.
	engineIdle bool
	err        error
}

// Error implements error.
func (e *finalError) Error() string {
	return fmt.Sprintf("attempt %s (run %s): %v", e.reason, e.run, e.err)
}

// Unwrap returns the cause.
func (e *finalError) Unwrap() error { return e.err }

// setOutcome completes the outcome from the error of the attempt and releases the
// slot, in the background if the engine may still work on the attempt.
func (a *engineAttempt) setOutcome(ctx context.Context, err error) {
	o := &a.outcome
	if err == nil {
		o.Run, o.Reason, o.Complete = RunYes, Completed, true
		a.call.Release()
		return
	}
	o.Err = err
	end := &finalError{run: RunUnknown, reason: reasonOf(err)}
	errors.As(err, &end)
	o.Run, o.Reason = end.run, end.reason
	if ctx.Err() != nil || errors.Is(err, ErrCallerGone) {
		o.Reason = Canceled
	}
	if a.lastEvent > 0 {
		o.Run = RunYes
	}
	if o.Run == RunNo || end.engineIdle {
		a.call.Release()
		return
	}
	a.runner.cancelInBackground(a.link, a.call.AttemptID, a.call.Release)
}

// reasonOf maps the error of an exchange to a reason.
func reasonOf(err error) Reason {
	switch {
	case errors.Is(err, ErrCallerGone):
		return Canceled
	case errors.Is(err, errStreamGone):
		return Gone
	case errors.Is(err, ErrNoProgress):
		return Silent
	case errors.Is(err, ErrMismatch), errors.Is(err, link.ErrLengthMismatch), errors.Is(err, ErrNoFinishReason):
		return Mismatched
	}
	return Broken
}

// send makes the exchange that runs the request. If a reused connection turns
// out to be closed before any byte was sent, it sends on a new connection.
func (a *engineAttempt) send(ctx context.Context) (*link.Exchange, error) {
	request := link.Request{
		Method: http.MethodPost,
		Path:   a.call.Path,
		Header: requestHeader(a.call.Header, a.call.AttemptID),
		Body:   a.call.Body,
	}
	request.Header.Set(priorityHeader, strconv.Itoa(a.call.Priority))
	exchange, err := a.link.Send(ctx, request)
	var failure *link.ExchangeError
	if errors.As(err, &failure) && !failure.MaybeSent && failure.Reused && ctx.Err() == nil {
		request.NewConnection = true
		exchange, err = a.link.Send(ctx, request)
	}
	if errors.As(err, &failure) && !failure.MaybeSent {
		return nil, &finalError{run: RunNo, reason: Unreachable, engineIdle: true, err: err}
	}
	if err != nil {
		return nil, fmt.Errorf("send request: %w", err)
	}
	return exchange, nil
}

// checkHead verifies the head of a response to the attempt. It closes the
// exchange if it returns an error.
func (a *engineAttempt) checkHead(exchange *link.Exchange, mediaType string) error {
	err := a.verifyHead(exchange, mediaType)
	if err != nil {
		exchange.Close()
	}
	return err
}

// verifyHead returns an error unless the head is that of a successful response
// to the attempt with the given media type.
func (a *engineAttempt) verifyHead(exchange *link.Exchange, mediaType string) error {
	if got := exchange.Header.Get(attemptHeader); got != a.call.AttemptID {
		return fmt.Errorf("response to attempt %q: %w", got, ErrMismatch)
	}
	if exchange.Status != http.StatusOK {
		return a.recordErrorResponse(exchange)
	}
	got, _, err := mime.ParseMediaType(exchange.Header.Get(contentTypeHeader))
	if err != nil || got != mediaType {
		return fmt.Errorf("response of type %q: %w", got, ErrMismatch)
	}
	return nil
}

// recordErrorResponse records a response with a status other than 200. If the
// status proves that the request was rejected, the error is final; otherwise the
// engine must be queried.
func (a *engineAttempt) recordErrorResponse(exchange *link.Exchange) error {
	a.outcome.Status = exchange.Status
	a.outcome.ErrorBody, _ = exchange.ReadAll(maxErrorBody)
	err := fmt.Errorf("engine answered with HTTP %d", exchange.Status)
	if provesRejected(exchange.Status) {
		return &finalError{run: RunNo, reason: Refused, engineIdle: true, err: err}
	}
	return err
}

// provesRejected reports whether a status proves that the request was not run.
func provesRejected(code int) bool {
	switch code {
	case http.StatusBadRequest, http.StatusNotFound, http.StatusRequestEntityTooLarge,
		http.StatusUnsupportedMediaType, http.StatusUnprocessableEntity, http.StatusTooManyRequests:
		return true
	}
	return false
}

// checkResumable queries the engine for the attempt after its exchange failed.
// It returns a *finalError unless the attempt can be resumed.
func (a *engineAttempt) checkResumable(ctx context.Context, failed error) error {
	if errors.Is(failed, ErrNoProgress) {
		a.link.RecordSilence()
	}
	if ctx.Err() != nil {
		return &finalError{run: RunUnknown, reason: Canceled, err: context.Cause(ctx)}
	}
	s, err := queryStatus(ctx, a.link, requestPath(a.call.AttemptID), a.call.AttemptID)
	if err != nil {
		return &finalError{run: RunUnknown, reason: a.failureReason(failed), err: fmt.Errorf("%w, then %w", failed, err)}
	}
	switch s.state {
	case reportedQueued, reportedRunning, reportedDone:
		return a.allowResume(ctx, s, failed)
	case reportedAbsent:
		run := RunUnknown
		if s.provesNotRun(a.epoch) {
			run = RunNo
		}
		return &finalError{run: run, reason: a.failureReason(failed), engineIdle: true, err: failed}
	}
	run := RunUnknown
	if s.tokens > 0 {
		run = RunYes
	}
	return &finalError{run: run, reason: Gone, engineIdle: true, err: failed}
}

// failureReason returns why an exchange failed. After an error status that does
// not prove a rejection, and before any part of a response was delivered, the
// engine is what failed.
func (a *engineAttempt) failureReason(failed error) Reason {
	if a.outcome.Status != 0 && !a.outcome.ResponseStarted {
		return Failed
	}
	return reasonOf(failed)
}

// allowResume decides whether to resume an attempt that the engine knows. A reply
// that the attempt is queued, done or has made tokens counts as progress for
// timeouts, but not for connections that keep breaking.
func (a *engineAttempt) allowResume(ctx context.Context, s statusReply, failed error) error {
	a.outcome.Status = 0
	progressed := s.state != reportedRunning || s.tokens > a.reportedTokens
	a.reportedTokens = s.tokens
	if errors.Is(failed, ErrNoProgress) {
		a.missedDeadlines++
		if progressed {
			a.missedDeadlines = 1
		}
		if a.missedDeadlines > maxWithoutProgress {
			return &finalError{run: runFromReply(s), reason: Stalled, err: failed}
		}
		return nil
	}
	a.brokenConnections++
	if a.brokenConnections > maxWithoutProgress {
		return &finalError{run: runFromReply(s), reason: a.failureReason(failed), err: failed}
	}
	if !pause.For(ctx, reconnectDelayUnit<<a.brokenConnections) {
		return &finalError{run: runFromReply(s), reason: Canceled, err: context.Cause(ctx)}
	}
	return nil
}

// runFromReply returns whether an attempt that the engine knows has started to
// run.
func runFromReply(s statusReply) Run {
	if s.state == reportedQueued {
		return RunUnknown
	}
	return RunYes
}

// progressTimeout returns the time within which the next progress must come. It
// doubles with each missed deadline. Once an event has arrived, it is at least
// twice the longest time between tokens seen on this engine.
func (a *engineAttempt) progressTimeout() time.Duration {
	timeout := max(a.call.Timeouts.Between, tokenGapFactor*a.longestTokenGap)
	if a.lastEvent == 0 {
		timeout = a.call.Timeouts.First
	}
	return timeout << a.missedDeadlines
}

// recordProgress records that events arrived at now on an exchange that was
// opened at the given time. If they arrived more than reconnectDelayUnit after a
// resume, they did not exist when it was made: the engine is slow and the
// previous connection was not at fault. An attempt that was resumed more than
// once is treated the same way.
func (a *engineAttempt) recordProgress(opened, now time.Time) {
	slow := now.Sub(opened) > reconnectDelayUnit || a.outcome.Resumes > 1
	if slow && a.missedDeadlines > 0 && !a.lastProgress.IsZero() {
		a.longestTokenGap = max(a.longestTokenGap, now.Sub(a.lastProgress))
	}
	a.lastProgress = now
	a.missedDeadlines, a.brokenConnections = 0, 0
}
