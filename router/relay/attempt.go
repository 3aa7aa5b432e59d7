package relay

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/juju/errors"

	"snipetally.example/router/internal/hop"
	"snipetally.example/router/internal/link"
	"snipetally.example/router/internal/placement"
)

const (
	// errStalled is the cancellation cause of an attempt that was given up for a
	// successor, as its server made no progress.
	errStalled = errors.ConstError("server stalled")

	// errUnsigned means that a successful response lacks a backend server's
	// signature.
	errUnsigned = errors.ConstError("response without signature")

	// errServerLeaving means that a server stopped accepting requests after it
	// was chosen.
	errServerLeaving = errors.ConstError("server is leaving")

	// errTruncated means that a response ended early or exceeded a size limit.
	errTruncated = errors.ConstError("response truncated")

	// maxBufferedBytes bounds the body of a response that is buffered
	// completely before it is forwarded, in bytes.
	maxBufferedBytes = 1 << 20

	// maxRejections is the number of rejections by servers after which a
	// request is given up.
	maxRejections = 3

	// minAttemptTime is the least time before the deadline that is worth
	// another attempt.
	minAttemptTime = 5 * time.Millisecond
)

// attemptResult is the result of an attempt at a backend server.
type attemptResult uint8

const (
	// answered means that the caller has the complete response.
	answered attemptResult = iota

	// notExecuted means that the request did not run on that server and never
	// will.
	notExecuted

	// incomplete means that the request may have run and the caller has no
	// complete response.
	incomplete

	// serverError means that the server ran the request and answered with an
	// error. The response is kept as fallback.
	serverError

	// callerGone means that the caller disconnected or can't be written to.
	callerGone
)

// resultNames are the names of the results in logs and metrics, in the order of
// the constants.
var resultNames = [...]string{"answered", "unexecuted", "broken", "failing", "gone"}

// String returns the name for logs.
func (r attemptResult) String() string { return resultNames[r] }

// bufferedResponse is a response that was read to its end.
type bufferedResponse struct {
	status int
	header http.Header
	body   []byte
}

// runAttempts makes attempts until one is answered or the request is given up.
func (p *proxiedRequest) runAttempts(ctx context.Context) {
	defer p.dropMigration()
	var next *successor
	for {
		reservation, ok := p.reserve(ctx, next)
		if !ok {
			return
		}
		var result attemptResult
		var err error
		result, next, err = p.attempt(ctx, reservation)
		p.countAttempt(result)
		switch {
		case result == answered:
			p.releaseSuccessor(next)
			p.recordServed()
			return
		case result == callerGone, p.request.Context().Err() != nil:
			p.releaseSuccessor(next)
			p.abortAbandoned()
			return
		case next == nil:
			next = p.awaitMigration(ctx)
		}
		if next != nil {
			p.countRetry(true)
			p.logRetry(result, err)
			continue
		}
		if reason := p.stopReason(ctx); reason != "" {
			p.logLastAttempt(result, err)
			p.finishUnanswered(ctx, reason)
			return
		}
		p.logRetry(result, err)
	}
}

// reserve returns the reservation for the next attempt: that of a successor, or
// one at a server that is chosen now. If there is none, it answers the request
// and returns false.
func (p *proxiedRequest) reserve(ctx context.Context, next *successor) (*placement.Reservation, bool) {
	p.kvCopy = KVCopy{}
	if next != nil {
		p.kvCopy = next.kvCopy
		p.recordChoice(next.choice, next.chosenAt, next.listAge)
		return next.reservation, true
	}
	p.askLoads(ctx, p.tried)
	reservation, choice, err := p.pick()
	if err != nil {
		p.handleNoServer(ctx, choice, err)
		return nil, false
	}
	p.recordChoice(choice, time.Now(), p.relay.serversAge())
	return reservation, true
}

// pick chooses a server that was not tried. A request that may have run can't be
// refused, so if all servers were tried, another one than the last is tried again.
func (p *proxiedRequest) pick() (*placement.Reservation, placement.Choice, error) {
	reservation, choice, err := p.relay.balancer.Pick(time.Now(), p.placementRequest, p.tried)
	if p.executions == 0 || !errors.Is(err, placement.ErrNoServer) {
		return reservation, choice, err
	}
	return p.relay.balancer.Pick(time.Now(), p.placementRequest, p.tried[len(p.tried)-1:])
}

// recordChoice records the choice of a server for the next attempt, when it was
// made, and the age that the list of servers had.
func (p *proxiedRequest) recordChoice(choice placement.Choice, at time.Time, listAge time.Duration) {
	p.choice, p.chosenAt, p.listAge = choice, at, listAge
	p.tried = append(p.tried, choice.Server)
	p.sendDelay = 0
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

// handleNoServer ends a request for which there is no server, or none that can
// answer in time.
func (p *proxiedRequest) handleNoServer(ctx context.Context, choice placement.Choice, err error) {
	if errors.Is(err, placement.ErrBusy) && !p.headWritten && p.executions == 0 {
		p.choice = choice
		p.refuse(err.Error(), max(choice.ExcessWait, shortRetryDelay))
		return
	}
	p.finishUnanswered(ctx, err.Error())
}

// stopReason returns why no further attempt is made, or an empty string. In the
// latter case it takes a retry from the budget.
func (p *proxiedRequest) stopReason(ctx context.Context) string {
	switch {
	case ctx.Err() != nil || time.Until(p.deadline) < minAttemptTime:
		return "out of time"
	case p.executions > 0 && !p.class.Retryable():
		return "may have run"
	case p.executions >= max(p.class.MaxAttempts, 1):
		return "attempts used up"
	case len(p.tried)-p.executions >= maxRejections:
		return "rejected"
	case !p.relay.retryBudget.Take(time.Now(), p.service):
		p.countRetry(false)
		return "retry budget used up"
	}
	p.countRetry(true)
	return ""
}

// attempt sends the request to the chosen server and relays the response. It
// completes the reservation. If the attempt was given up as its server is silent,
// it returns the place for the next one.
func (p *proxiedRequest) attempt(ctx context.Context, reservation *placement.Reservation) (attemptResult, *successor, error) {
	target, ok := (*p.relay.servers.Load())[p.choice.Server]
	if !ok {
		reservation.Done(time.Now(), placement.Canceled)
		return notExecuted, nil, fmt.Errorf("server %s: %w", p.choice.Server, errors.NotFound)
	}
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	p.relay.streams.add(p, target.ID)
	defer p.relay.streams.remove(p)
	watch := p.watch(ctx, target.ID, reservation, cancel)
	result, err := p.exchange(ctx, target, reservation, watch)
	return result, watch.finish(), err
}

// exchange makes the exchange of an attempt with a server.
func (p *proxiedRequest) exchange(ctx context.Context, target *backendServer, reservation *placement.Reservation, watch *watchdog) (attemptResult, error) {
	target.usage.unanswered.Add(1)
	response, err := target.pool.Send(ctx, p.hopRequest(target))
	target.usage.unanswered.Add(-1)
	if err != nil {
		return p.handleSendError(ctx, reservation, target, err)
	}
	defer response.Close()
	target.usage.answering.Add(1)
	defer target.usage.answering.Add(-1)
	result, err := p.relayResponse(response, reservation, watch)
	reservation.Done(time.Now(), p.placementOutcome(ctx, result, response))
	if result != notExecuted {
		p.countExecution()
	}
	return result, err
}

// countExecution counts a run of the request. A run that was migrated counts once.
func (p *proxiedRequest) countExecution() {
	if p.kvCopy.Handle == "" {
		p.executions++
	}
}

// placementOutcome maps the result of an attempt to the outcome that the
// balancer learns from.
func (p *proxiedRequest) placementOutcome(ctx context.Context, result attemptResult, response *hop.Response) placement.Outcome {
	switch result {
	case answered:
		return placement.Served
	case notExecuted:
		if response.Status == http.StatusMisdirectedRequest {
			return placement.Unreachable
		}
		return placement.Rejected
	case incomplete, serverError:
		if ctx.Err() != nil && !errors.Is(context.Cause(ctx), errStalled) {
			return placement.Canceled
		}
		return placement.Failed
	case callerGone:
	}
	return placement.Canceled
}

// handleSendError classifies an attempt that got no response and completes its
// reservation.
func (p *proxiedRequest) handleSendError(ctx context.Context, reservation *placement.Reservation, target *backendServer, err error) (attemptResult, error) {
	var exchangeErr *link.ExchangeError
	maybeSent := !errors.As(err, &exchangeErr) || exchangeErr.MaybeSent
	canceled := ctx.Err() != nil && !errors.Is(context.Cause(ctx), errStalled)
	if errors.Is(ctx.Err(), context.DeadlineExceeded) && exchangeErr != nil && exchangeErr.Reused {
		target.pool.CloseIdle() // Other kept connections may be silent as well.
	}
	switch {
	case canceled, errors.Is(err, errServerLeaving):
		reservation.Done(time.Now(), placement.Canceled)
	case !maybeSent:
		reservation.Done(time.Now(), placement.Unreachable)
	default:
		reservation.Done(time.Now(), placement.Failed)
		target.pool.CloseIdle()
	}
	if !maybeSent {
		return notExecuted, err
	}
	p.countExecution()
	return incomplete, err
}

// hopRequest builds the request for a server.
func (p *proxiedRequest) hopRequest(target *backendServer) hop.Request {
	header := p.relay.options.codec.ForwardHeader(endToEnd(p.request.Header), ForwardInfo{
		InstanceID:  target.ID,
		Timeout:     time.Until(p.deadline),
		Team:        p.teamName(),
		Rank:        p.rank,
		RankCount:   len(p.index.ranks),
		LastEventID: p.lastEventID,
		KVCopy:      p.kvCopy,
	})
	return hop.Request{
		Method:  p.request.Method,
		Target:  p.requestTarget,
		Host:    p.request.Host,
		Header:  header,
		Body:    p.body,
		HasBody: p.hasBody,
		BeforeWrite: func() error {
			if !p.relay.accepts(target) {
				return errServerLeaving
			}
			p.sendDelay = time.Since(p.chosenAt)
			return nil
		},
		Matches: func(header http.Header) bool {
			info := p.relay.options.codec.ParseResponse(0, header)
			return info.AttemptID == p.info.AttemptID || (info.AttemptID == "" && !info.Signed)
		},
	}
}

// teamName returns the name of the caller's team, or an empty string.
func (p *proxiedRequest) teamName() string {
	if p.team == nil {
		return ""
	}
	return p.team.Name
}

// relayResponse forwards a response to the caller. A server error is kept as
// fallback instead, as another server may give a better response.
func (p *proxiedRequest) relayResponse(response *hop.Response, reservation *placement.Reservation, watch *watchdog) (attemptResult, error) {
	info := p.relay.options.codec.ParseResponse(response.Status, response.Header)
	success := response.Status >= 200 && response.Status < 300
	switch {
	case success && !info.Signed:
		return incomplete, errUnsigned
	case success && p.class.Kind == Stream:
		return p.relayStream(response, reservation, watch)
	}
	buffered, err := bufferResponse(response)
	if err != nil {
		if info.NotExecuted {
			return notExecuted, nil
		}
		return incomplete, err
	}
	switch {
	case info.NotExecuted:
		return notExecuted, nil
	case !success && response.Status >= http.StatusInternalServerError:
		p.fallback = buffered
		return serverError, nil
	}
	reservation.RecordFirstEvent(time.Now())
	p.recordFirstByte()
	if err := p.writeBuffered(buffered); err != nil {
		return callerGone, err
	}
	return answered, nil
}

// bufferResponse reads a response to its end.
func bufferResponse(response *hop.Response) (*bufferedResponse, error) {
	var body bytes.Buffer
	n, err := io.Copy(&body, io.LimitReader(response, maxBufferedBytes+1))
	if err != nil {
		return nil, fmt.Errorf("%w: %w", errTruncated, err)
	}
	if n > maxBufferedBytes {
		return nil, fmt.Errorf("%w: over %d bytes", errTruncated, maxBufferedBytes)
	}
	return &bufferedResponse{status: response.Status, header: response.Header, body: body.Bytes()}, nil
}

// recordFirstByte records the time to the first byte of the response.
func (p *proxiedRequest) recordFirstByte() {
	if p.timeToFirstByte == 0 {
		p.timeToFirstByte = time.Since(p.arrivedAt)
		p.relay.metrics.recordFirstByte(p.timeToFirstByte)
	}
}
