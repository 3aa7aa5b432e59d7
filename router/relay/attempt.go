package relay

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"time"

	"github.com/juju/errors"

	"snipetally.example/router/internal/hop"
	"snipetally.example/router/internal/inbound"
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

	// errRunStopped means that a stream without a length ended after its engine had been ordered
	// to stop the run for a migration.
	errRunStopped = errors.ConstError("run was stopped")

	// errTruncated means that a response ended early or exceeded a size limit.
	errTruncated = errors.ConstError("response truncated")

	// maxBufferedBytes bounds the body of a response that is buffered
	// completely before it is forwarded, in bytes.
	maxBufferedBytes = 1 << 20
)

// attemptResult is the result of an attempt at a backend server.
type attemptResult uint8

const (
	// answered means that the caller has the complete response.
	answered attemptResult = iota

	// notExecuted means that the request did not run on that server and never
	// will.
	notExecuted

	// notSent means that no byte of the request reached the server.
	notSent

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
var resultNames = [...]string{"answered", "unexecuted", "unsent", "broken", "failing", "gone"}

// String returns the name for logs.
func (r attemptResult) String() string { return resultNames[r] }

// bufferedResponse is a response that was read to its end.
type bufferedResponse struct {
	status int
	header http.Header
	body   []byte
}

// attempt sends the request to the server of a place and relays the response. It
// completes the reservation. If the attempt was given up as its server is silent,
// it returns the place for the next one.
func (p *proxiedRequest) attempt(ctx context.Context, at *place) (attemptResult, *place, error) {
	p.recordChoice(at)
	target, ok := p.target(at)
	if !ok {
		at.reservation.Done(time.Now(), placement.Canceled)
		return notSent, nil, fmt.Errorf("server %s: %w", p.choice.Server, errors.NotFound)
	}
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	p.relay.streams.add(p, target.ID)
	defer p.relay.streams.remove(p)
	watch := p.watch(ctx, target.ID, at.reservation, cancel)
	result, err := p.exchange(ctx, at, target, watch)
	if connectionBroke(ctx, result, err) {
		p.recordBroken(target)
	}
	return result, watch.finish(), err
}

// target returns the server of a place, and false if it is gone. One that a run was migrated
// to or stopped at may have left the list, and then has a pool of its own.
func (p *proxiedRequest) target(at *place) (*backendServer, bool) {
	target, ok := (*p.relay.servers.Load())[at.choice.Server]
	at.reopened = at.server != nil && (!ok || !target.replaces(at.server))
	if at.reopened {
		return at.server.reopened(), true
	}
	return target, ok
}

// exchange makes the exchange of an attempt with a server.
func (p *proxiedRequest) exchange(ctx context.Context, at *place, target *backendServer, watch *watchdog) (attemptResult, error) {
	reservation := at.reservation
	if at.reopened {
		defer target.pool.Close()
	}
	target.usage.unanswered.Add(1)
	contact := p.relay.contacts.Begin(time.Now(), target.ID, reservation.ExpectedLatency())
	response, err := target.pool.Send(ctx, p.hopRequest(ctx, at, target))
	target.usage.unanswered.Add(-1)
	if err != nil {
		p.relay.endContact(ctx, contact, err)
		at.ending = sendErrorEnding(ctx, err)
		result, err := p.handleSendError(ctx, reservation, target, err)
		p.relay.logAtBrittle(target, result, p.written == 1)
		return result, err
	}
	defer response.Close()
	contact.Answered(time.Now(), !response.Reused)
	p.countWritten()
	p.observeStatements(target, response)
	target.usage.answering.Add(1)
	defer target.usage.answering.Add(-1)
	result, err := p.relayResponse(response, reservation, watch)
	at.ending = responseEnding(ctx, result, response.Status)
	reservation.Done(time.Now(), p.placementOutcome(ctx, result, response))
	p.relay.logAtBrittle(target, result, p.written == 1)
	if result != notExecuted {
		p.countExecution()
		p.runStopped = false
	}
	if result == answered || result == serverError {
		p.relay.quarantine.ReportEnd(p.run)
	}
	return result, err
}

// recordChoice records the choice of a server for the next attempt.
func (p *proxiedRequest) recordChoice(at *place) {
	p.choice, p.chosenAt, p.listAge, p.kvCopy = at.choice, at.chosenAt, at.listAge, at.kvCopy
	if !slices.Contains(p.tried, at.choice.Server) {
		p.tried = append(p.tried, at.choice.Server)
	}
	p.sendDelay, p.started, p.crashCheck = 0, false, nil
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
		if restTime(response) > 0 {
			return placement.Canceled // It is sound, and says when it has room again.
		}
		return placement.Rejected
	case incomplete, serverError:
		if ctx.Err() != nil && !errors.Is(context.Cause(ctx), errStalled) {
			return placement.Canceled
		}
		return placement.Failed
	case notSent, callerGone:
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
	case canceled, isWithheld(err):
		reservation.Done(time.Now(), placement.Canceled)
	case !maybeSent:
		reservation.Done(time.Now(), placement.Unreachable)
	default:
		reservation.Done(time.Now(), placement.Failed)
		target.pool.CloseIdle()
	}
	if !maybeSent {
		return notSent, err
	}
	p.countWritten()
	p.countExecution()
	return incomplete, err
}

// isWithheld reports whether a request was not written for a reason that is none of the server's links.
func isWithheld(err error) bool {
	for _, reason := range []error{errServerLeaving, errQuarantined, placement.ErrLimited, errStopping} {
		if errors.Is(err, reason) {
			return true
		}
	}
	return false
}

// relayResponse forwards a response to the caller. A server error is kept as
// fallback instead, as another server may give a better response.
func (p *proxiedRequest) relayResponse(response *hop.Response, reservation *placement.Reservation, watch *watchdog) (attemptResult, error) {
	info := p.relay.options.codec.ParseResponse(response.Status, response.Header)
	success := isSuccess(response.Status)
	switch {
	case success && !info.Signed:
		return incomplete, errUnsigned
	case success && p.class.Kind == Stream:
		return p.relayStream(response, reservation, watch)
	}
	notRun := info.NotExecuted && !success // A success contradicts the statement and is taken for what it is.
	buffered, err := p.bufferResponse(response, watch)
	switch {
	case notRun:
		return notExecuted, nil
	case err != nil:
		return incomplete, err
	case !success && p.headWritten: // The caller would find the error in the middle of its stream.
		return serverError, nil
	case truthful(response.Status, true) != response.Status:
		return serverError, fmt.Errorf("%w: status %d", errBrokenPromise, response.Status)
	case !success && response.Status >= http.StatusInternalServerError:
		p.fallback = buffered
		return serverError, nil
	}
	p.recordStart(reservation)
	p.recordFirstByte()
	if err := p.writeBuffered(buffered); err != nil {
		return callerGone, err
	}
	return answered, nil
}

// recordStart records that the attempt delivered an event or a complete response.
func (p *proxiedRequest) recordStart(reservation *placement.Reservation) {
	if reservation == nil { // Another router makes the attempt and records it.
		p.started = true
		return
	}
	reservation.RecordFirstEvent(time.Now())
	if !p.started && len(p.run.Parts) > 0 {
		p.relay.quarantine.ReportStart(p.run)
	}
	p.started = true
}

// bufferResponse reads a response to its end. Its body is held until the request ends.
func (p *proxiedRequest) bufferResponse(response *hop.Response, watch *watchdog) (*bufferedResponse, error) {
	body := p.newBuffer(inbound.Responses, maxBufferedBytes+1, freeResponseBytes) // Room in which the end is found.
	if err := body.readAll(watchedReader{response: response, watch: watch}); err != nil {
		body.release()
		return nil, fmt.Errorf("%w: %w", errTruncated, err)
	}
	return &bufferedResponse{status: response.Status, header: response.Header, body: body.data}, nil
}

// recordFirstByte records the time to the first byte of the response.
func (p *proxiedRequest) recordFirstByte() {
	if p.timeToFirstByte == 0 {
		p.timeToFirstByte = time.Since(p.arrivedAt)
		p.relay.metrics.recordFirstByte(p.timeToFirstByte)
	}
}
