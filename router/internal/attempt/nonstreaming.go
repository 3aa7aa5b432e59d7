package attempt

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"snipetally.example/router/internal/link"
)

// fetchResult is a verified non-streaming response, or the error for which there
// is none.
type fetchResult struct {
	head Head
	body []byte
	err  error
}

// runNonStreaming runs a request for a non-streaming response. Its progress can't
// be observed before its end, so the engine is queried for it. If the connection
// fails, the response is assembled from the engine's stream.
func (a *engineAttempt) runNonStreaming(ctx context.Context) error {
	result := a.awaitResponse(ctx)
	if result.err == nil {
		return a.deliverBody(result)
	}
	err := result.err
	if isFinal(err) {
		return err
	}
	if err = a.checkResumable(ctx, err); err != nil {
		return err
	}
	return a.assembleFromStream(ctx)
}

// awaitResponse fetches the response in a goroutine, which has ended when
// awaitResponse returns, and checks the progress meanwhile.
func (a *engineAttempt) awaitResponse(ctx context.Context) fetchResult {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(context.Canceled)
	fetched := make(chan fetchResult, 1)
	go func() { fetched <- a.fetch(ctx) }()
	start := time.Now()
	timer := time.NewTimer(a.progressTimeout())
	defer timer.Stop()
	for {
		select {
		case result := <-fetched:
			return result
		case <-timer.C:
		}
		next, err := a.checkProgress(ctx, time.Since(start))
		if err != nil {
			cancel(err)
			return <-fetched
		}
		timer.Reset(next)
	}
}

// checkProgress queries the engine about a response that is overdue. It returns
// the time until the next query, or an error if the connection should be given
// up. An attempt that makes progress is queried again when it has run for twice
// as long, to keep the number of queries low.
func (a *engineAttempt) checkProgress(ctx context.Context, waited time.Duration) (time.Duration, error) {
	s, err := queryStatus(ctx, a.link, requestPath(a.call.AttemptID), a.call.AttemptID)
	if err != nil {
		return 0, ErrNoProgress
	}
	progressed := s.tokens > a.reportedTokens
	a.reportedTokens = s.tokens
	switch {
	case s.state == reportedQueued, s.state == reportedRunning && progressed:
		a.missedDeadlines = 0
		return max(waited, a.progressTimeout()), nil
	case s.state == reportedRunning:
		a.missedDeadlines++
		if a.missedDeadlines > maxWithoutProgress {
			return 0, &finalError{run: RunYes, reason: Stalled, err: ErrNoProgress}
		}
		return a.progressTimeout(), nil
	case s.state == reportedDone && !a.doneReported:
		a.doneReported = true
		return controlTimeout(a.link.State()), nil
	}
	return 0, ErrNoProgress
}

// fetch sends the request and reads and verifies its response.
func (a *engineAttempt) fetch(ctx context.Context) fetchResult {
	exchange, err := a.send(ctx)
	if err == nil {
		err = a.checkHead(exchange, jsonType)
	}
	if err != nil {
		return fetchResult{err: err}
	}
	defer exchange.Close()
	body, err := exchange.ReadAll(a.runner.config.MaxResponseBytes)
	if err == nil {
		err = verifyBody(exchange, body)
	}
	if err != nil {
		return fetchResult{err: withContextCause(ctx, err)}
	}
	return fetchResult{head: responseHead(exchange), body: body}
}

// verifyBody checks that a body has a declared length and is valid JSON with a
// finish reason.
func verifyBody(exchange *link.Exchange, body []byte) error {
	if exchange.ContentLength < 0 {
		return fmt.Errorf("response without declared length: %w", ErrMismatch)
	}
	if !json.Valid(body) {
		return fmt.Errorf("response is not JSON: %w", ErrMismatch)
	}
	if !hasNonNullValue(body, finishReasonKey) {
		return ErrNoFinishReason
	}
	return nil
}

// deliverBody passes a complete response to the sink.
func (a *engineAttempt) deliverBody(result fetchResult) error {
	a.outcome.Usage = parseUsage(result.body)
	a.outcome.Tokens = a.outcome.Usage.Output
	if err := a.deliver(result.head, Event{Kind: KindBody, Number: 1, Raw: result.body}); err != nil {
		return err
	}
	if err := a.sink.Flush(); err != nil {
		return fmt.Errorf("%w: %w", ErrCallerGone, err)
	}
	return nil
}
