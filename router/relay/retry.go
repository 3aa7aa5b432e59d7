package relay

import (
	"context"
	"time"

	"github.com/juju/errors"

	"snipetally.example/router/internal/placement"
)

const (
	// maxRejections is the number of servers without room, or that could not be
	// reached, after which a request that has not run is refused.
	maxRejections = 3

	// maxRejectionsAfterRun is the number of servers without room after which a
	// request is given up that may have run. It can't be refused, so that giving
	// it up loses it. Servers that can't be reached cost nothing and don't count.
	maxRejectionsAfterRun = 8

	// retriedServerDelay is how long a request waits before it goes to a server
	// that it was tried at before.
	retriedServerDelay = 100 * time.Millisecond

	// retryWait is how long a stream that has begun waits for a retry in the
	// budget, and retryPollInterval the time between two looks. Callers wait at
	// least twice as long for an event.
	retryWait         = time.Second
	retryPollInterval = 50 * time.Millisecond

	// minAttemptTime is the least time before the deadline that is worth
	// another attempt.
	minAttemptTime = 5 * time.Millisecond
)

// runAttempts makes attempts until one is answered or the request is given up.
func (p *proxiedRequest) runAttempts(ctx context.Context) {
	defer p.dropMigration()
	next, err := p.choosePlace(ctx)
	if err != nil {
		p.finishUnanswered(ctx, err.Error())
		return
	}
	for next != nil {
		if next.elsewhere {
			p.runElsewhere(ctx)
			return
		}
		result, replacement, err := p.attempt(ctx, next)
		p.countAttempt(result)
		switch {
		case result == answered:
			p.releasePlace(replacement)
			p.recordServed()
			return
		case result == callerGone, p.request.Context().Err() != nil:
			p.releasePlace(replacement)
			p.abortAbandoned()
			return
		}
		next = p.placeAfter(ctx, next, result, replacement, err)
	}
}

// placeAfter returns the place for the next attempt after one at a place that
// failed or was replaced. If there is none, it answers the request and returns nil.
func (p *proxiedRequest) placeAfter(ctx context.Context, last *place, result attemptResult, replacement *place, err error) *place {
	p.countRejection(result)
	next, reason := replacement, ""
	if next == nil {
		next = p.awaitMigration(ctx)
	}
	if next == nil {
		next = p.placeAfterRejection(ctx, last, result)
	}
	if next == nil {
		next, reason = p.retry(ctx, result)
	}
	if next == nil {
		if p.runStopped {
			p.relay.metrics.stranded.Inc(1)
			reason = errRunStopped.Error() + ": " + reason
		}
		p.logLastAttempt(result, err)
		p.finishUnanswered(ctx, reason)
		return nil
	}
	p.countRetry(true)
	p.logRetry(result, err)
	return next
}

// countRejection counts an attempt that was rejected or, before the request has
// run, could not be sent.
func (p *proxiedRequest) countRejection(result attemptResult) {
	if result == notExecuted || result == notSent && p.executions == 0 {
		p.rejections++
	}
}

// placeAfterRejection returns a place at the source of a migrated run that its
// destination did not accept, or nil. What the destination rejected takes a retry.
func (p *proxiedRequest) placeAfterRejection(ctx context.Context, last *place, result attemptResult) *place {
	if result != notExecuted && result != notSent {
		return nil
	}
	back := p.placeAtSource(last)
	if back != nil && result == notExecuted && !p.takeRetry(ctx, result) {
		back.reservation.Done(time.Now(), placement.Canceled)
		return nil
	}
	return back
}

// retry returns a place for an attempt after one that failed, or the reason why
// there is none. It takes a retry from the budget, which limits what arrives at
// servers, only once it has a place and if the last attempt has sent something.
func (p *proxiedRequest) retry(ctx context.Context, last attemptResult) (*place, string) {
	p.awaitCrashCheck(ctx)
	if last == notSent {
		p.awaitVerdict(ctx)
	}
	if reason := p.stopReason(ctx); reason != "" {
		return nil, reason
	}
	next, err := p.choosePlace(ctx)
	if err != nil {
		return nil, err.Error()
	}
	if last != notSent && !p.takeRetry(ctx, last) {
		next.release(time.Now())
		p.countRetry(false)
		return nil, "retry budget used up"
	}
	return next, ""
}

// awaitCrashCheck waits until it is known whether the server of the last attempt ended,
// if the attempt broke.
func (p *proxiedRequest) awaitCrashCheck(ctx context.Context) {
	if p.crashCheck == nil {
		return
	}
	select {
	case <-p.crashCheck:
	case <-ctx.Done():
	}
}

// takeRetry takes a retry from the budget after an attempt. A stream that has begun waits
// for one, as its caller can't be told to come back.
func (p *proxiedRequest) takeRetry(ctx context.Context, last attemptResult) bool {
	if last == notExecuted && p.executions == 0 {
		return p.take(time.Now(), p.relay.retryBudget.TakeRejected)
	}
	waitEnd := time.Now()
	if p.headWritten {
		waitEnd = waitEnd.Add(retryWait)
	}
	for !p.take(time.Now(), p.relay.retryBudget.Take) {
		if ctx.Err() != nil || time.Now().Add(retryPollInterval).After(waitEnd) {
			return false
		}
		sleep(ctx, retryPollInterval)
	}
	return true
}

// stopReason returns why no further attempt may be made, or an empty string.
func (p *proxiedRequest) stopReason(ctx context.Context) string {
	limit := maxRejections
	switch {
	case p.executions > 0:
		limit = maxRejectionsAfterRun
	case p.mayNotFit():
		limit = 1 // Other servers would most likely reject it, too.
	}
	switch {
	case ctx.Err() != nil || time.Until(p.deadline) < minAttemptTime:
		return "out of time"
	case p.executions > 0 && !p.class.Retryable():
		return "may have run"
	case p.executions >= max(p.class.MaxAttempts, 1):
		return "attempts used up"
	case p.rejections >= limit && !p.mayGoElsewhere():
		return "rejected"
	case !p.mayBegin():
		p.retryAfter = otherRouterDelay
		return string(errStopping)
	case p.isQuarantined(false):
		return string(errQuarantined)
	case p.executions > 0 && p.isSuspected():
		return "request suspected"
	}
	return ""
}

// mayNotFit reports whether a server may lack the memory for the request with a response of the length that its
// caller allows.
func (p *proxiedRequest) mayNotFit() bool {
	service, ok := p.index.servicesByName[p.service]
	return ok && service.CacheTokens > 0 && int64(p.info.PromptTokens)+int64(p.info.MaxOutputTokens) > service.CacheTokens
}

// choosePlace reserves a place for the next attempt. The error says why there is none, and
// retryAfter how much later the caller is asked to retry if it is refused for that.
func (p *proxiedRequest) choosePlace(ctx context.Context) (*place, error) {
	ctx, cancel := p.untilTooLate(ctx)
	defer cancel()
	next, err := p.reservePlace(ctx)
	if p.mayBegin() {
		return next, err
	}
	if next != nil {
		next.release(time.Now())
	}
	p.retryAfter = otherRouterDelay
	return nil, errStopping
}

// reservePlace reserves a place at a server that was not tried. If all servers were
// tried, a request that may have run goes to one of them again. The error says
// why there is no place; if all servers are busy, it sets how much later the
// caller is asked to retry.
func (p *proxiedRequest) reservePlace(ctx context.Context) (*place, error) {
	if next, err := p.elsewhere(); next != nil || err != nil {
		p.retryAfter = longRetryDelay
		return next, err
	}
	request := p.placementRequest
	request.Admitted = p.executions > 0
	p.askLoads(ctx, p.tried)
	next, choice, err := p.pick(ctx, request, p.tried)
	if p.executions > 0 && errors.Is(err, placement.ErrNoServer) {
		sleep(ctx, retriedServerDelay)
		next, choice, err = p.pick(ctx, request, nil)
	}
	if errors.Is(err, placement.ErrLimited) {
		next, choice, err = p.awaitPermit(ctx, request, choice.LimitWait)
	}
	switch {
	case errors.Is(err, placement.ErrBusy):
		p.choice, p.retryAfter = choice, max(choice.ExcessWait, shortRetryDelay)
	case errors.Is(err, placement.ErrTooLarge):
		p.retryAfter = tooLargeRetryDelay
	case errors.Is(err, placement.ErrLimited):
		p.retryAfter = p.relay.paceRefusal(p.service, choice.LimitWait)
		p.relay.metrics.unpermitted.Inc(1)
	}
	return next, err
}

// askLoads updates the loads of the engines that are considered for the request
// after it was tried at some servers.
func (p *proxiedRequest) askLoads(ctx context.Context, tried []string) {
	ask := p.relay.options.askLoads
	if ask == nil || p.class.Kind != Stream {
		return
	}
	if servers := p.relay.balancer.Candidates(time.Now(), p.placementRequest, tried); len(servers) > 0 {
		ask(ctx, servers)
	}
}
