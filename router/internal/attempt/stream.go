package attempt

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"github.com/juju/errors"

	"snipetally.example/router/internal/link"
)

// stream runs a request with a streamed answer.
func (a *engineAttempt) stream(ctx context.Context) error {
	err := a.first(ctx)
	for err != nil {
		if over(err) {
			return err
		}
		if err = a.locate(ctx, err); err != nil {
			return err
		}
		err = a.resume(ctx)
	}
	return nil
}

// over reports whether nothing is left to do after an error.
func over(err error) bool {
	var end *ended
	return errors.As(err, &end) || errors.Is(err, ErrCallerGone)
}

// first sends the request and follows its stream.
func (a *engineAttempt) first(ctx context.Context) error {
	return a.follow(ctx, a.send)
}

// resume takes the stream up again after the last event that was verified.
func (a *engineAttempt) resume(ctx context.Context) error {
	a.outcome.Resumes++
	return a.follow(ctx, func(ctx context.Context) (*link.Exchange, error) {
		header := outgoing(nil, a.call.AttemptID)
		header.Set(lastEventHeader, lastEvent(a.last))
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
			return nil, errGone
		}
		return exchange, nil
	})
}

// follow opens an exchange and passes its events on until the stream ends.
func (a *engineAttempt) follow(ctx context.Context, open func(context.Context) (*link.Exchange, error)) error {
	ctx, guard, stop := watch(ctx, a.deadline())
	defer stop()
	exchange, err := open(ctx)
	if err != nil {
		return err
	}
	if err := a.check(exchange, eventStream); err != nil {
		return err
	}
	defer exchange.Close()
	f := &follower{
		attempt: a,
		head:    head(exchange),
		guard:   guard,
		reader:  newEventReader(exchange.Body),
		opened:  time.Now(),
		due:     time.Now().Add(a.deadline()),
	}
	defer f.reader.close()
	if err := f.run(); err != nil {
		return withCause(ctx, err)
	}
	return nil
}

// withCause adds the reason for which the context ended, so that the watchdog's
// work is told from a broken connection.
func withCause(ctx context.Context, err error) error {
	if ctx.Err() == nil || over(err) {
		return err
	}
	return fmt.Errorf("%w: %w", context.Cause(ctx), err)
}

// head returns what the caller is told of an answer's head.
func head(exchange *link.Exchange) Head {
	return Head{Status: exchange.Status, Header: EndToEnd(exchange.Header)}
}

// follower passes the events of one exchange on.
type follower struct {
	attempt *engineAttempt
	head    Head
	guard   *watchdog
	reader  *eventReader

	// opened is when the head of the answer came, due when the next progress
	// must have been made.
	opened time.Time
	due    time.Time
}

// run passes events on until the stream has ended as a whole one.
func (f *follower) run() error {
	for {
		done, err := f.deliver()
		if err != nil {
			return err
		}
		if done {
			return f.finish()
		}
		f.guard.arm(f.due)
		err = f.reader.fill()
		f.guard.disarm()
		if err != nil {
			return fmt.Errorf("read stream: %w", err)
		}
	}
}

// deliver passes on what was read and reports whether the end mark came.
func (f *follower) deliver() (bool, error) {
	a := f.attempt
	delivered := false
	for {
		raw, ok := f.reader.next()
		if !ok {
			break
		}
		if raw.id != a.last+1 {
			return false, fmt.Errorf("event %d after %d: %w", raw.id, a.last, ErrMismatch)
		}
		event := Event{Kind: kind(raw.data), Number: raw.id, Raw: raw.raw}
		if event.Kind == KindDone {
			return true, f.close(event)
		}
		if err := f.pass(event, raw.data); err != nil {
			return false, err
		}
		delivered = true
	}
	if !delivered {
		return false, nil
	}
	if err := a.sink.Flush(); err != nil {
		return false, fmt.Errorf("%w: %w", ErrCallerGone, err)
	}
	a.advanced(f.opened, time.Now())
	f.due = a.progressed.Add(a.deadline())
	return false, nil
}

// pass gives one event to the caller.
func (f *follower) pass(event Event, data []byte) error {
	a := f.attempt
	a.last = event.Number
	switch event.Kind {
	case KindToken:
		a.outcome.Tokens++
	case KindFinish:
		a.finished = true
		a.noteUsage(data)
	case KindUsage:
		a.noteUsage(data)
	}
	return a.give(f.head, event)
}

// noteUsage takes the token count of an event that has one.
func (a *engineAttempt) noteUsage(data []byte) {
	if hasValue(data, usageMark) {
		a.outcome.Usage = parseUsage(data)
	}
}

// give passes an event to the sink, after the head if it is the first one.
func (a *engineAttempt) give(head Head, event Event) error {
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

// close checks that the end mark may come now and that nothing follows it. A
// connection that breaks after the mark takes nothing from the answer.
func (f *follower) close(event Event) error {
	if !f.attempt.finished {
		return ErrNoFinishReason
	}
	event.Raw = append([]byte(nil), event.Raw...)
	if err := f.finish(); err != nil {
		return err
	}
	f.guard.arm(time.Now().Add(f.attempt.deadline()))
	for f.reader.blank() && f.reader.fill() == nil {
	}
	f.guard.disarm()
	if !f.reader.blank() {
		return fmt.Errorf("bytes after the end mark: %w", ErrMismatch)
	}
	return f.pass(event, nil)
}

// finish sends what was given to the sink so far.
func (f *follower) finish() error {
	if err := f.attempt.sink.Flush(); err != nil {
		return fmt.Errorf("%w: %w", ErrCallerGone, err)
	}
	return nil
}
