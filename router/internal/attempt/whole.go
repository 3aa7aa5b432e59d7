package attempt

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"snipetally.example/router/internal/link"
)

// wholeAnswer is a verified answer that was not streamed, or why there is none.
type wholeAnswer struct {
	head Head
	body []byte
	err  error
}

// whole runs a request with an answer in one piece. Nothing of it can be seen
// before its end, so the engine is asked whether it makes progress. If the
// connection fails, the answer is put together from the engine's stream.
func (a *engineAttempt) whole(ctx context.Context) error {
	answer := a.await(ctx)
	if answer.err == nil {
		return a.giveWhole(answer)
	}
	err := answer.err
	if over(err) {
		return err
	}
	if err = a.locate(ctx, err); err != nil {
		return err
	}
	return a.rebuild(ctx)
}

// await fetches the answer in a goroutine of its own, which has ended when
// await returns, and watches over it.
func (a *engineAttempt) await(ctx context.Context) wholeAnswer {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(context.Canceled)
	fetched := make(chan wholeAnswer, 1)
	go func() { fetched <- a.fetch(ctx) }()
	begun := time.Now()
	timer := time.NewTimer(a.deadline())
	defer timer.Stop()
	for {
		select {
		case answer := <-fetched:
			return answer
		case <-timer.C:
		}
		next, err := a.lookAfter(ctx, time.Since(begun))
		if err != nil {
			cancel(err)
			return <-fetched
		}
		timer.Reset(next)
	}
}

// lookAfter asks the engine about an answer that is overdue. It returns the
// time until it should be asked again, or why the connection should be left.
// An attempt that makes progress is asked after again when it has run for twice
// the time, so that the calls stay few.
func (a *engineAttempt) lookAfter(ctx context.Context, waited time.Duration) (time.Duration, error) {
	s, err := ask(ctx, a.link, requestPath(a.call.AttemptID), a.call.AttemptID)
	if err != nil {
		return 0, ErrNoProgress
	}
	moved := s.tokens > a.made
	a.made = s.tokens
	switch {
	case s.state == stateQueued, s.state == stateRunning && moved:
		a.misses = 0
		return max(waited, a.deadline()), nil
	case s.state == stateRunning:
		a.misses++
		if a.misses > patience {
			return 0, &ended{run: RunYes, reason: Stalled, err: ErrNoProgress}
		}
		return a.deadline(), nil
	case s.state == stateDone && !a.overdue:
		a.overdue = true
		return control(a.link.State()), nil
	}
	return 0, ErrNoProgress
}

// fetch sends the request and reads and verifies its answer.
func (a *engineAttempt) fetch(ctx context.Context) wholeAnswer {
	exchange, err := a.send(ctx)
	if err == nil {
		err = a.check(exchange, jsonBody)
	}
	if err != nil {
		return wholeAnswer{err: err}
	}
	defer exchange.Close()
	body, err := exchange.ReadAll(a.runner.config.MaxResponseBytes)
	if err == nil {
		err = verifyWhole(exchange, body)
	}
	if err != nil {
		return wholeAnswer{err: withCause(ctx, err)}
	}
	return wholeAnswer{head: head(exchange), body: body}
}

// verifyWhole checks that a body is complete JSON with its finish mark.
func verifyWhole(exchange *link.Exchange, body []byte) error {
	if exchange.ContentLength < 0 {
		return fmt.Errorf("no declared length: %w", ErrMismatch)
	}
	if !json.Valid(body) {
		return fmt.Errorf("answer is not JSON: %w", ErrMismatch)
	}
	if !hasValue(body, finishMark) {
		return ErrNoFinishReason
	}
	return nil
}

// giveWhole passes a whole answer to the caller.
func (a *engineAttempt) giveWhole(answer wholeAnswer) error {
	a.outcome.Usage = parseUsage(answer.body)
	a.outcome.Tokens = a.outcome.Usage.Output
	if err := a.give(answer.head, Event{Kind: KindBody, Number: 1, Raw: answer.body}); err != nil {
		return err
	}
	if err := a.sink.Flush(); err != nil {
		return fmt.Errorf("%w: %w", ErrCallerGone, err)
	}
	return nil
}
