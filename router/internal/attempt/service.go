package attempt

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/juju/errors"

	"snipetally.example/router/internal/link"
)

// ServiceCall is a call of a plain service.
type ServiceCall struct {
	// AttemptID is the id of the attempt. No other attempt ever has it.
	AttemptID string
	Method    string

	// Path is the path with the query.
	Path   string
	Header http.Header
	Body   []byte

	// AtMostOnce marks a call that may not be repeated.
	AtMostOnce bool

	// ReportsStatus says that the service echoes attempt ids and answers where an
	// attempt stands.
	ReportsStatus bool
	Timeouts      ProgressTimeouts
}

// serviceAttempt is one attempt on a plain service.
type serviceAttempt struct {
	runner  *Runner
	link    *link.Link
	call    ServiceCall
	outcome Outcome
	epoch   string
}

// Service makes one call of a plain service, with a single send, and passes
// the whole answer to sink. The caller sees nothing of an answer that is not
// whole.
func (r *Runner) Service(ctx context.Context, l *link.Link, call ServiceCall, sink Sink) Outcome {
	call.Timeouts.First = max(call.Timeouts.First, minFirst)
	call.Timeouts.Between = max(call.Timeouts.Between, minBetween)
	a := &serviceAttempt{runner: r, link: l, call: call, epoch: l.State().Epoch}
	answer := a.fetch(ctx)
	if answer.err != nil {
		a.settle(ctx, answer.err)
		return a.outcome
	}
	o := &a.outcome
	o.Run, o.Status, o.ResponseStarted, o.Events = RunYes, answer.head.Status, true, 1
	if err := giveService(sink, answer); err != nil {
		o.Reason, o.Err = Canceled, fmt.Errorf("%w: %w", ErrCallerGone, err)
		return *o
	}
	o.Reason, o.Complete = Completed, true
	return *o
}

// giveService passes a whole answer to the caller.
func giveService(sink Sink, answer wholeAnswer) error {
	if err := sink.Begin(answer.head); err != nil {
		return err
	}
	if err := sink.Event(Event{Kind: KindBody, Number: 1, Raw: answer.body}); err != nil {
		return err
	}
	return sink.Flush()
}

// fetch makes the call and reads the answer.
func (a *serviceAttempt) fetch(ctx context.Context) wholeAnswer {
	ctx, guard, stop := watch(ctx, a.call.Timeouts.First)
	defer stop()
	exchange, err := a.link.Send(ctx, link.Request{
		Method:        a.call.Method,
		Path:          a.call.Path,
		Header:        outgoing(a.call.Header, a.call.AttemptID),
		Body:          a.call.Body,
		NewConnection: a.call.AtMostOnce || !a.call.ReportsStatus,
	})
	if err != nil {
		return wholeAnswer{err: err}
	}
	defer exchange.Close()
	if got := exchange.Header.Get(attemptHeader); got != a.call.AttemptID && (a.call.ReportsStatus || got != "") {
		return wholeAnswer{err: fmt.Errorf("answer to %q: %w", got, ErrMismatch)}
	}
	guard.arm(time.Now().Add(a.call.Timeouts.Between))
	exchange.Body = &watchedBody{ReadCloser: exchange.Body, guard: guard, limit: a.call.Timeouts.Between}
	body, err := a.read(exchange)
	if err != nil {
		return wholeAnswer{err: withCause(ctx, err)}
	}
	answer := Head{Status: exchange.Status, Header: EndToEnd(exchange.Header)}
	return wholeAnswer{head: answer, body: body}
}

// watchedBody is a body that must make progress.
type watchedBody struct {
	io.ReadCloser
	guard *watchdog
	limit time.Duration
}

// Read implements io.Reader.
func (b *watchedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if n > 0 {
		b.guard.arm(time.Now().Add(b.limit))
	}
	return n, err
}

// read returns the body of an answer. That to HEAD declares a length that it
// does not have.
func (a *serviceAttempt) read(exchange *link.Exchange) ([]byte, error) {
	if a.call.Method == http.MethodHead {
		return nil, nil
	}
	if !exchange.SelfDelimiting {
		return nil, fmt.Errorf("end of answer can't be told: %w", link.ErrLengthMismatch)
	}
	return exchange.ReadAll(a.runner.config.MaxResponseBytes)
}

// settle finds out whether a call without an answer ran.
func (a *serviceAttempt) settle(ctx context.Context, failed error) {
	o := &a.outcome
	o.Err, o.Reason = failed, reasonOf(failed)
	if errors.Is(failed, ErrNoProgress) {
		a.link.RecordSilence()
	}
	if ctx.Err() != nil {
		o.Reason = Canceled
	}
	var failure *link.ExchangeError
	if errors.As(failed, &failure) && !failure.MaybeSent {
		o.Run = RunNo
		if ctx.Err() == nil {
			o.Reason = Unreachable
		}
		return
	}
	o.Run = RunUnknown
	if a.call.ReportsStatus {
		o.Run = a.ask(ctx)
	}
}

// ask returns what the service knows of the attempt. It goes on after the
// caller went away, since the answer decides whether a later call of the same
// caller may run. A call that still runs is asked after again.
func (a *serviceAttempt) ask(ctx context.Context) Run {
	ctx = context.WithoutCancel(ctx)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer context.AfterFunc(a.runner.ctx, cancel)()
	pause := time.Duration(0)
	run := RunUnknown
	for range patience {
		if !wait(ctx, pause) {
			return RunUnknown
		}
		s, err := ask(ctx, a.link, servicePath(a.call.AttemptID), a.call.AttemptID)
		if err != nil {
			return RunUnknown
		}
		switch s.state {
		case stateDone:
			return RunYes
		case stateCanceled:
			return RunUnknown
		case stateRunning:
			run = RunYes
		case stateAbsent:
			if s.notRun(a.epoch) {
				return RunNo
			}
			return RunUnknown
		}
		pause = a.call.Timeouts.First
	}
	return run
}
