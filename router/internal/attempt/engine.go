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

const (
	// patience is how many deadlines in a row may pass without progress on a
	// server that answers. Each one is twice as long as the one before.
	patience = 3

	// resumePause is the least time before a connection is replaced that ended
	// without progress. It doubles with each such connection in a row.
	resumePause = 20 * time.Millisecond

	// gapFactor is how many times the longest time between two tokens may
	// pass on an engine that was seen to be slow.
	gapFactor = 2
)

// EngineCall is a request for a model engine.
type EngineCall struct {
	// AttemptID is the id of the attempt. No other attempt ever has it.
	AttemptID string
	Path      string
	Header    http.Header
	Body      []byte
	Priority  int

	// Stream says that the body asks for a streamed answer.
	Stream   bool
	Timeouts ProgressTimeouts

	// Release gives the slot back. It is called exactly once, when the engine
	// no longer works on the attempt as far as can be known. It may be nil.
	Release func()
}

// engineAttempt is one attempt on an engine. It is used by one goroutine.
type engineAttempt struct {
	runner  *Runner
	link    *link.Link
	call    EngineCall
	sink    Sink
	outcome Outcome

	// epoch is the engine's epoch before the request was sent.
	epoch string

	// last is the number of the last event that was verified, finished
	// whether one of them carried the finish mark.
	last     int
	finished bool

	// misses counts the deadlines and broken the connections that ended since
	// the last progress. made is the number of tokens that the engine told
	// last.
	misses int
	broken int
	made   int

	// gap is the longest time between two tokens that was the engine's doing
	// and not the connection's, progressed when the last event came.
	gap        time.Duration
	progressed time.Time

	// overdue says that the engine had done an answer that has not come.
	overdue bool
}

// Engine makes one attempt on an engine and passes the answer to sink. It
// returns when the answer has ended or the attempt is given up. When the
// context ends, the attempt is canceled on the engine.
func (r *Runner) Engine(ctx context.Context, l *link.Link, call EngineCall, sink Sink) Outcome {
	if call.Release == nil {
		call.Release = func() {}
	}
	call.Release = sync.OnceFunc(call.Release)
	call.Timeouts.First = max(call.Timeouts.First, minFirst)
	call.Timeouts.Between = max(call.Timeouts.Between, minBetween)
	a := &engineAttempt{runner: r, link: l, call: call, sink: sink, epoch: l.State().Epoch}
	var err error
	if call.Stream {
		err = a.stream(ctx)
	} else {
		err = a.whole(ctx)
	}
	a.settle(ctx, err)
	return a.outcome
}

// errGone says that an engine no longer has the stream of an attempt.
const errGone = errors.ConstError("stream is gone")

// ended is the error of an attempt whose outcome is known.
type ended struct {
	run    Run
	reason Reason

	// idle says that the engine does not work on the attempt.
	idle bool
	err  error
}

// Error implements error.
func (e *ended) Error() string {
	return fmt.Sprintf("attempt %s (run %s): %v", e.reason, e.run, e.err)
}

// Unwrap returns the cause.
func (e *ended) Unwrap() error { return e.err }

// settle completes the outcome from the error of the attempt and frees what it
// holds.
func (a *engineAttempt) settle(ctx context.Context, err error) {
	o := &a.outcome
	if err == nil {
		o.Run, o.Reason, o.Complete = RunYes, Completed, true
		a.call.Release()
		return
	}
	o.Err = err
	end := &ended{run: RunUnknown, reason: reasonOf(err)}
	errors.As(err, &end)
	o.Run, o.Reason = end.run, end.reason
	if ctx.Err() != nil || errors.Is(err, ErrCallerGone) {
		o.Reason = Canceled
	}
	if a.last > 0 {
		o.Run = RunYes
	}
	if o.Run == RunNo || end.idle {
		a.call.Release()
		return
	}
	a.runner.abandon(a.link, a.call.AttemptID, a.call.Release)
}

// reasonOf returns the reason that an error of an exchange stands for.
func reasonOf(err error) Reason {
	switch {
	case errors.Is(err, ErrCallerGone):
		return Canceled
	case errors.Is(err, errGone):
		return Gone
	case errors.Is(err, ErrNoProgress):
		return Silent
	case errors.Is(err, ErrMismatch), errors.Is(err, link.ErrLengthMismatch), errors.Is(err, ErrNoFinishReason):
		return Mismatched
	}
	return Broken
}

// send makes the exchange that runs the request. A connection that turned out
// to be closed before a byte went out is replaced by a new one.
func (a *engineAttempt) send(ctx context.Context) (*link.Exchange, error) {
	request := link.Request{
		Method: http.MethodPost,
		Path:   a.call.Path,
		Header: outgoing(a.call.Header, a.call.AttemptID),
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
		return nil, &ended{run: RunNo, reason: Unreachable, idle: true, err: err}
	}
	if err != nil {
		return nil, fmt.Errorf("send request: %w", err)
	}
	return exchange, nil
}

// check verifies the head of an answer to the attempt. It closes the exchange
// if it returns an error.
func (a *engineAttempt) check(exchange *link.Exchange, mediaType string) error {
	err := a.verify(exchange, mediaType)
	if err != nil {
		exchange.Close()
	}
	return err
}

// verify returns why an answer can't be the one to the attempt.
func (a *engineAttempt) verify(exchange *link.Exchange, mediaType string) error {
	if got := exchange.Header.Get(attemptHeader); got != a.call.AttemptID {
		return fmt.Errorf("answer to %q: %w", got, ErrMismatch)
	}
	if exchange.Status != http.StatusOK {
		return a.refusal(exchange)
	}
	got, _, err := mime.ParseMediaType(exchange.Header.Get(contentTypeHeader))
	if err != nil || got != mediaType {
		return fmt.Errorf("answer of type %q: %w", got, ErrMismatch)
	}
	return nil
}

// refusal notes an answer other than 200. A status that says that the request
// itself can't be run is definite; for any other one the engine is asked.
func (a *engineAttempt) refusal(exchange *link.Exchange) error {
	a.outcome.Status = exchange.Status
	a.outcome.ErrorBody, _ = exchange.ReadAll(maxRefusal)
	err := fmt.Errorf("engine answered %d", exchange.Status)
	if definite(exchange.Status) {
		return &ended{run: RunNo, reason: Refused, idle: true, err: err}
	}
	return err
}

// definite reports whether a status tells that the request was not run.
func definite(code int) bool {
	switch code {
	case http.StatusBadRequest, http.StatusNotFound, http.StatusRequestEntityTooLarge,
		http.StatusUnsupportedMediaType, http.StatusUnprocessableEntity, http.StatusTooManyRequests:
		return true
	}
	return false
}

// locate asks the engine about the attempt after its exchange failed, and
// returns an *ended error unless the attempt can be taken up again.
func (a *engineAttempt) locate(ctx context.Context, failed error) error {
	if errors.Is(failed, ErrNoProgress) {
		a.link.RecordSilence()
	}
	if ctx.Err() != nil {
		return &ended{run: RunUnknown, reason: Canceled, err: context.Cause(ctx)}
	}
	s, err := ask(ctx, a.link, requestPath(a.call.AttemptID), a.call.AttemptID)
	if err != nil {
		return &ended{run: RunUnknown, reason: a.reason(failed), err: fmt.Errorf("%w, then %w", failed, err)}
	}
	switch s.state {
	case stateQueued, stateRunning, stateDone:
		return a.progress(ctx, s, failed)
	case stateAbsent:
		run := RunUnknown
		if s.notRun(a.epoch) {
			run = RunNo
		}
		return &ended{run: run, reason: a.reason(failed), idle: true, err: failed}
	}
	run := RunUnknown
	if s.tokens > 0 {
		run = RunYes
	}
	return &ended{run: run, reason: Gone, idle: true, err: failed}
}

// reason returns the reason for which an exchange failed. An error status that
// the engine does not explain is a failure of the engine.
func (a *engineAttempt) reason(failed error) Reason {
	if a.outcome.Status != 0 && !a.outcome.ResponseStarted {
		return Failed
	}
	return reasonOf(failed)
}

// progress decides whether an attempt that the engine knows is taken up again.
// The engine's word that the attempt waits, is done or made tokens is progress
// as far as deadlines go, but not for connections that keep breaking.
func (a *engineAttempt) progress(ctx context.Context, s status, failed error) error {
	a.outcome.Status = 0
	moved := s.state != stateRunning || s.tokens > a.made
	a.made = s.tokens
	if errors.Is(failed, ErrNoProgress) {
		a.misses++
		if moved {
			a.misses = 1
		}
		if a.misses > patience {
			return &ended{run: runOf(s), reason: Stalled, err: failed}
		}
		return nil
	}
	a.broken++
	if a.broken > patience {
		return &ended{run: runOf(s), reason: a.reason(failed), err: failed}
	}
	if !wait(ctx, resumePause<<a.broken) {
		return &ended{run: runOf(s), reason: Canceled, err: context.Cause(ctx)}
	}
	return nil
}

// runOf returns whether an attempt that the engine knows has begun to run.
func runOf(s status) Run {
	if s.state == stateQueued {
		return RunUnknown
	}
	return RunYes
}

// deadline returns the time for the next progress. It doubles with each miss,
// and is never shorter than twice what the engine was seen to take.
func (a *engineAttempt) deadline() time.Duration {
	limit := max(a.call.Timeouts.Between, gapFactor*a.gap)
	if a.last == 0 {
		limit = a.call.Timeouts.First
	}
	return limit << a.misses
}

// advanced notes that events came now on an exchange that was opened before. Events that came some time after a resume were not there when it was
// made: the engine is slow and the connection before was sound. So it is taken
// to be when an attempt is resumed again and again.
func (a *engineAttempt) advanced(opened, now time.Time) {
	slow := now.Sub(opened) > resumePause || a.outcome.Resumes > 1
	if slow && a.misses > 0 && !a.progressed.IsZero() {
		a.gap = max(a.gap, now.Sub(a.progressed))
	}
	a.progressed = now
	a.misses, a.broken = 0, 0
}
