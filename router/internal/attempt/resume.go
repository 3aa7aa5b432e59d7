package attempt

import (
	"context"
	"fmt"
	"time"

	"github.com/juju/errors"

	"snipetally.example/coordination/pause"
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
