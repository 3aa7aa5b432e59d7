package attempt

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/juju/errors"

	"snipetally.example/coordination/pause"
	"snipetally.example/router/internal/link"
)

// ServiceCall is a call to a plain service.
type ServiceCall struct {
	// AttemptID is the id of the attempt. It must be unique among all attempts.
	AttemptID string
	Method    string

	// Path is the URL path with the query.
	Path   string
	Header http.Header
	Body   []byte

	// AtMostOnce marks a call that must not run more than once.
	AtMostOnce bool

	// ReportsStatus is set if the service echoes attempt ids and answers status
	// queries for them.
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

// CallService makes one call to a plain service, with a single send, and passes
// the complete response to sink. The caller receives nothing of an incomplete
// response.
func (r *Runner) CallService(ctx context.Context, l *link.Link, call ServiceCall, sink Sink) Outcome {
	call.Timeouts.First = max(call.Timeouts.First, minFirstTimeout)
	call.Timeouts.Between = max(call.Timeouts.Between, minBetweenTimeout)
	a := &serviceAttempt{runner: r, link: l, call: call, epoch: l.State().Epoch}
	result := a.fetch(ctx)
	if result.err != nil {
		a.resolveFailure(ctx, result.err)
		return a.outcome
	}
	o := &a.outcome
	o.Run, o.Status, o.ResponseStarted, o.Events = RunYes, result.head.Status, true, 1
	if err := deliverServiceBody(sink, result); err != nil {
		o.Reason, o.Err = Canceled, fmt.Errorf("%w: %w", ErrCallerGone, err)
		return *o
	}
	o.Reason, o.Complete = Completed, true
	return *o
}

// deliverServiceBody passes a complete response to sink.
func deliverServiceBody(sink Sink, result fetchResult) error {
	if err := sink.Begin(result.head); err != nil {
		return err
	}
	if err := sink.Event(Event{Kind: KindBody, Number: 1, Raw: result.body}); err != nil {
		return err
	}
	return sink.Flush()
}

// fetch makes the call and reads the response.
func (a *serviceAttempt) fetch(ctx context.Context) fetchResult {
	ctx, w, stop := withWatchdog(ctx, a.call.Timeouts.First)
	defer stop()
	exchange, err := a.link.Send(ctx, link.Request{
		Method:        a.call.Method,
		Path:          a.call.Path,
		Header:        requestHeader(a.call.Header, a.call.AttemptID),
		Body:          a.call.Body,
		NewConnection: a.call.AtMostOnce || !a.call.ReportsStatus,
	})
	if err != nil {
		return fetchResult{err: err}
	}
	defer exchange.Close()
	if got := exchange.Header.Get(attemptHeader); got != a.call.AttemptID && (a.call.ReportsStatus || got != "") {
		return fetchResult{err: fmt.Errorf("response to attempt %q: %w", got, ErrMismatch)}
	}
	w.arm(time.Now().Add(a.call.Timeouts.Between))
	exchange.Body = &watchedBody{ReadCloser: exchange.Body, watchdog: w, timeout: a.call.Timeouts.Between}
	body, err := a.readBody(exchange)
	if err != nil {
		return fetchResult{err: withContextCause(ctx, err)}
	}
	received := Head{Status: exchange.Status, Header: EndToEnd(exchange.Header)}
	return fetchResult{head: received, body: body}
}

// watchedBody is a response body that re-arms the watchdog with each read that
// returns data.
type watchedBody struct {
	io.ReadCloser
	watchdog *watchdog
	timeout  time.Duration
}

// Read implements io.Reader.
func (b *watchedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if n > 0 {
		b.watchdog.arm(time.Now().Add(b.timeout))
	}
	return n, err
}

// readBody returns the body of a response. A response to HEAD has no body, even
// if it declares a length.
func (a *serviceAttempt) readBody(exchange *link.Exchange) ([]byte, error) {
	if a.call.Method == http.MethodHead {
		return nil, nil
	}
	if !exchange.SelfDelimiting {
		return nil, fmt.Errorf("response neither chunked nor of declared length: %w", link.ErrLengthMismatch)
	}
	return exchange.ReadAll(a.runner.config.MaxResponseBytes)
}

// resolveFailure determines whether a call without a complete response ran, and
// sets the outcome.
func (a *serviceAttempt) resolveFailure(ctx context.Context, failed error) {
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
		o.Run = a.queryRun(ctx)
	}
}

// queryRun queries the service for whether the attempt ran. It continues after
// the caller went away, since the result decides whether a later call of the same
// caller may run. If the call is still queued or running, it queries again after
// Timeouts.First, up to maxWithoutProgress queries in all.
func (a *serviceAttempt) queryRun(ctx context.Context) Run {
	ctx = context.WithoutCancel(ctx)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer context.AfterFunc(a.runner.ctx, cancel)()
	delay := time.Duration(0)
	run := RunUnknown
	for range maxWithoutProgress {
		if !pause.For(ctx, delay) {
			return RunUnknown
		}
		s, err := queryStatus(ctx, a.link, servicePath(a.call.AttemptID), a.call.AttemptID)
		if err != nil {
			return RunUnknown
		}
		switch s.state {
		case reportedDone:
			return RunYes
		case reportedCanceled:
			return RunUnknown
		case reportedRunning:
			run = RunYes
		case reportedAbsent:
			if s.provesNotRun(a.epoch) {
				return RunNo
			}
			return RunUnknown
		}
		delay = a.call.Timeouts.First
	}
	return run
}
