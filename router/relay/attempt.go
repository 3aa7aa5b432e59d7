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
	// errStalled is the cancellation cause of an attempt whose server made no
	// progress.
	errStalled = errors.ConstError("server stalled")

	// errUnsigned means that a successful response lacks a backend server's
	// signature.
	errUnsigned = errors.ConstError("response without signature")

	// errTruncated means that a response ended early or exceeded a size limit.
	errTruncated = errors.ConstError("response truncated")

	// maxBufferedBytes bounds the body of a response that is buffered
	// completely before it is forwarded, in bytes.
	maxBufferedBytes = 1 << 20

	// maxRejections is the number of rejections by servers after which a
	// request is given up.
	maxRejections = 3

	// stallFactor and stallTargetFactor bound how long a request waits for the
	// start of its response before its server counts as stalled. They multiply
	// the expected time and the latency target of the request's class; the
	// longer of the two applies.
	stallFactor       = 8
	stallTargetFactor = 2

	// gapFactor and gapFloor bound the pause between events of a stream: a
	// multiple of the class's target gap, but at least the floor.
	gapFactor = 4
	gapFloor  = 800 * time.Millisecond

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
func (x *exchange) runAttempts(ctx context.Context) {
	defer x.dropMigration()
	for {
		reservation, choice, err := x.relay.balancer.Pick(time.Now(), x.placementRequest, x.tried)
		if err != nil {
			x.handleNoServer(ctx, choice, err)
			return
		}
		x.choice = choice
		x.tried = append(x.tried, choice.Server)
		result, err := x.attempt(ctx, reservation)
		x.countAttempt(result)
		switch {
		case result == answered:
			x.recordServed()
			return
		case result == callerGone, x.request.Context().Err() != nil:
			x.abortAbandoned()
			return
		}
		if x.continueMigrated(ctx) {
			return
		}
		if reason := x.stopReason(ctx, result); reason != "" {
			x.logLastAttempt(result, err)
			x.finishUnanswered(ctx, reason)
			return
		}
		x.logRetry(result, err)
	}
}

// handleNoServer ends a request for which there is no server, or none that can
// answer in time.
func (x *exchange) handleNoServer(ctx context.Context, choice placement.Choice, err error) {
	if errors.Is(err, placement.ErrBusy) && !x.headWritten && x.executions == 0 {
		x.choice = choice
		x.refuse(err.Error(), max(choice.ExcessWait, shortRetryDelay))
		return
	}
	x.finishUnanswered(ctx, err.Error())
}

// stopReason returns why no further attempt is made, or an empty string. In the
// latter case it takes a retry from the budget.
func (x *exchange) stopReason(ctx context.Context, result attemptResult) string {
	switch {
	case ctx.Err() != nil || time.Until(x.deadline) < minAttemptTime:
		return "out of time"
	case result != notExecuted && !x.class.Retryable():
		return "may have run"
	case x.executions >= max(x.class.MaxAttempts, 1):
		return "attempts used up"
	case len(x.tried)-x.executions >= maxRejections:
		return "rejected"
	case !x.relay.retryBudget.Take(time.Now(), x.service):
		x.countRetry(false)
		return "retry budget used up"
	}
	x.countRetry(true)
	x.relay.metrics.retries.Inc(1)
	return ""
}

// attempt sends the request to the chosen server and relays the response. It
// completes the reservation.
func (x *exchange) attempt(ctx context.Context, reservation *placement.Reservation) (attemptResult, error) {
	target, ok := (*x.relay.servers.Load())[x.choice.Server]
	if !ok {
		reservation.Done(time.Now(), placement.Canceled)
		return notExecuted, fmt.Errorf("server %s: %w", x.choice.Server, errors.NotFound)
	}
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	x.relay.streams.add(x, target.ID)
	defer x.relay.streams.remove(x)
	watch := x.watch(reservation, cancel)
	defer watch.stop()
	response, err := target.pool.Send(ctx, x.hopRequest(target))
	if err != nil {
		return x.handleSendError(ctx, reservation, target, err)
	}
	defer response.Close()
	result, err := x.relayResponse(response, reservation, watch)
	reservation.Done(time.Now(), x.placementOutcome(ctx, result, response))
	if result != notExecuted {
		x.executions++
	}
	return result, err
}

// placementOutcome maps the result of an attempt to the outcome that the
// balancer learns from.
func (x *exchange) placementOutcome(ctx context.Context, result attemptResult, response *hop.Response) placement.Outcome {
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
func (x *exchange) handleSendError(ctx context.Context, reservation *placement.Reservation, target *backendServer, err error) (attemptResult, error) {
	var exchangeErr *link.ExchangeError
	maybeSent := !errors.As(err, &exchangeErr) || exchangeErr.MaybeSent
	canceled := ctx.Err() != nil && !errors.Is(context.Cause(ctx), errStalled)
	switch {
	case canceled:
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
	x.executions++
	return incomplete, err
}

// hopRequest builds the request for a server.
func (x *exchange) hopRequest(target *backendServer) hop.Request {
	header := x.relay.options.codec.ForwardHeader(endToEnd(x.request.Header), ForwardInfo{
		InstanceID:  target.ID,
		Timeout:     time.Until(x.deadline),
		Team:        x.teamName(),
		Rank:        x.rank,
		RankCount:   len(x.index.ranks),
		LastEventID: x.lastEventID,
		KVCopy:      x.kvCopy,
	})
	return hop.Request{
		Method:  x.request.Method,
		Target:  x.requestTarget,
		Host:    x.request.Host,
		Header:  header,
		Body:    x.body,
		HasBody: x.hasBody,
		Matches: func(header http.Header) bool {
			info := x.relay.options.codec.ParseResponse(0, header)
			return info.AttemptID == x.info.AttemptID || (info.AttemptID == "" && !info.Signed)
		},
	}
}

// teamName returns the name of the caller's team, or an empty string.
func (x *exchange) teamName() string {
	if x.team == nil {
		return ""
	}
	return x.team.Name
}

// relayResponse forwards a response to the caller. A server error is kept as
// fallback instead, as another server may give a better response.
func (x *exchange) relayResponse(response *hop.Response, reservation *placement.Reservation, watch *watchdog) (attemptResult, error) {
	info := x.relay.options.codec.ParseResponse(response.Status, response.Header)
	success := response.Status >= 200 && response.Status < 300
	switch {
	case success && !info.Signed:
		return incomplete, errUnsigned
	case success && x.class.Kind == Stream:
		return x.relayStream(response, reservation, watch)
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
		x.fallback = buffered
		return serverError, nil
	}
	reservation.RecordFirstEvent(time.Now())
	x.recordFirstByte()
	if err := x.writeBuffered(buffered); err != nil {
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
func (x *exchange) recordFirstByte() {
	if x.timeToFirstByte == 0 {
		x.timeToFirstByte = time.Since(x.arrivedAt)
		x.relay.metrics.recordFirstByte(x.timeToFirstByte)
	}
}
