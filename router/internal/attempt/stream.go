package attempt

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"github.com/juju/errors"

	"snipetally.example/router/internal/link"
)

// runStreaming runs a request for a streaming response.
func (a *engineAttempt) runStreaming(ctx context.Context) error {
	return a.completeStream(ctx, a.startStream(ctx))
}

// completeStream resumes the stream of the attempt until it is complete or the
// attempt is over. err is the error of the exchange that began to read it.
func (a *engineAttempt) completeStream(ctx context.Context, err error) error {
	for err != nil {
		if isFinal(err) {
			return err
		}
		if err = a.checkResumable(ctx, err); err != nil {
			return err
		}
		err = a.resumeStream(ctx)
	}
	return nil
}

// isFinal reports whether an error ends the attempt without a status query.
func isFinal(err error) bool {
	var end *finalError
	return errors.As(err, &end) || errors.Is(err, ErrCallerGone)
}

// startStream sends the request and forwards its stream.
func (a *engineAttempt) startStream(ctx context.Context) error {
	return a.forwardStream(ctx, a.send)
}

// resumeStream resumes the stream after the last verified event.
func (a *engineAttempt) resumeStream(ctx context.Context) error {
	a.outcome.Resumes++
	return a.forwardStream(ctx, func(ctx context.Context) (*link.Exchange, error) {
		header := requestHeader(nil, a.call.AttemptID)
		header.Set(lastEventHeader, formatEventID(a.lastEvent))
		exchange, err := a.link.Send(ctx, link.Request{
			Method:        http.MethodGet,
			Path:          requestPath(a.call.AttemptID) + "/stream",
			Header:        header,
			NewConnection: true,
		})
		if err != nil {
			return nil, fmt.Errorf("resume stream: %w", err)
		}
		if exchange.Status == http.StatusNotFound {
			exchange.Close()
			return nil, errStreamGone
		}
		return exchange, nil
	})
}

// forwardStream opens an exchange and forwards its events until the stream ends.
func (a *engineAttempt) forwardStream(ctx context.Context, open func(context.Context) (*link.Exchange, error)) error {
	ctx, w, stop := withWatchdog(ctx, a.progressTimeout())
	defer stop()
	exchange, err := open(ctx)
	if err != nil {
		return err
	}
	if err := a.checkHead(exchange, eventStreamType); err != nil {
		return err
	}
	defer exchange.Close()
	f := &streamForwarder{
		attempt:  a,
		head:     responseHead(exchange),
		watchdog: w,
		reader:   newEventReader(exchange.Body),
		opened:   time.Now(),
		deadline: time.Now().Add(a.progressTimeout()),
	}
	defer f.reader.close()
	if err := f.run(); err != nil {
		return withContextCause(ctx, err)
	}
	return nil
}

// withContextCause adds the cause of the context's end to an error, so that an
// expired watchdog can be distinguished from a broken connection.
func withContextCause(ctx context.Context, err error) error {
	if ctx.Err() == nil || isFinal(err) {
		return err
	}
	return fmt.Errorf("%w: %w", context.Cause(ctx), err)
}

// responseHead returns the part of a response's head that the caller receives.
func responseHead(exchange *link.Exchange) Head {
	return Head{Status: exchange.Status, Header: EndToEnd(exchange.Header)}
}

// streamForwarder forwards the events of one exchange to the sink.
type streamForwarder struct {
	attempt  *engineAttempt
	head     Head
	watchdog *watchdog
	reader   *eventReader

	// opened is when the head of the response arrived. deadline is the time by
	// which the next progress must be made.
	opened   time.Time
	deadline time.Time
}

// run forwards events until the stream is complete.
func (f *streamForwarder) run() error {
	for {
		done, err := f.forwardBuffered()
		if err != nil {
			return err
		}
		if done {
			return f.flush()
		}
		f.watchdog.arm(f.deadline)
		err = f.reader.fill()
		f.watchdog.disarm()
		if err != nil {
			return fmt.Errorf("read stream: %w", err)
		}
	}
}

// forwardBuffered forwards the events in the buffer and reports whether the
// [DONE] event has come.
func (f *streamForwarder) forwardBuffered() (bool, error) {
	a := f.attempt
	forwarded := false
	for {
		raw, ok := f.reader.next()
		if !ok {
			break
		}
		if raw.id != a.lastEvent+1 {
			return false, fmt.Errorf("event %d after %d: %w", raw.id, a.lastEvent, ErrMismatch)
		}
		event := Event{Kind: kindOf(raw.data), Number: raw.id, Raw: raw.raw}
		if event.Kind == KindDone {
			return true, f.finish(event)
		}
		if err := f.forward(event, raw.data); err != nil {
			return false, err
		}
		forwarded = true
	}
	if !forwarded {
		return false, nil
	}
	if err := a.sink.Flush(); err != nil {
		return false, fmt.Errorf("%w: %w", ErrCallerGone, err)
	}
	a.recordProgress(f.opened, time.Now())
	f.deadline = a.lastProgress.Add(a.progressTimeout())
	return false, nil
}

// forward records one event and delivers it to the sink.
func (f *streamForwarder) forward(event Event, data []byte) error {
	a := f.attempt
	a.lastEvent = event.Number
	switch event.Kind {
	case KindToken:
		a.outcome.Tokens++
	case KindFinish:
		a.finishReasonSeen = true
		a.recordUsage(data)
	case KindUsage:
		a.recordUsage(data)
	}
	return a.deliver(f.head, event)
}

// recordUsage stores the token counts of an event that has them.
func (a *engineAttempt) recordUsage(data []byte) {
	if hasNonNullValue(data, usageKey) {
		a.outcome.Usage = parseUsage(data)
	}
}

// deliver passes an event to the sink, preceded by the head if it is the first
// event.
func (a *engineAttempt) deliver(head Head, event Event) error {
	if !a.outcome.ResponseStarted {
		a.outcome.ResponseStarted = true
		a.outcome.Status = head.Status
		if err := a.sink.Begin(head); err != nil {
			return fmt.Errorf("%w: %w", ErrCallerGone, err)
		}
	}
	a.outcome.Events++
	if err := a.sink.Event(event); err != nil {
		return fmt.Errorf("%w: %w", ErrCallerGone, err)
	}
	return nil
}

// finish checks that a finish reason preceded the [DONE] event and that nothing
// follows it, then forwards it. A connection that breaks after the event does not
// make the response incomplete.
func (f *streamForwarder) finish(event Event) error {
	if !f.attempt.finishReasonSeen {
		return ErrNoFinishReason
	}
	event.Raw = append([]byte(nil), event.Raw...)
	if err := f.flush(); err != nil {
		return err
	}
	f.watchdog.arm(time.Now().Add(f.attempt.progressTimeout()))
	for f.reader.onlyBlankLines() && f.reader.fill() == nil {
	}
	f.watchdog.disarm()
	if !f.reader.onlyBlankLines() {
		return fmt.Errorf("data after the [DONE] event: %w", ErrMismatch)
	}
	return f.forward(event, nil)
}

// flush makes the sink send what it has received so far.
func (f *streamForwarder) flush() error {
	if err := f.attempt.sink.Flush(); err != nil {
		return fmt.Errorf("%w: %w", ErrCallerGone, err)
	}
	return nil
}
