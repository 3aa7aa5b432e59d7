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
