package relay

import (
	"context"
	"fmt"
	"net/http"
	"net/netip"
	"time"

	"github.com/juju/errors"

	"snipetally.example/router/internal/handover"
	"snipetally.example/router/internal/hop"
	"snipetally.example/router/internal/inbound"
	"snipetally.example/router/internal/link"
	"snipetally.example/router/internal/uplink"
)

const (
	// errOutOfReach means that no server answers this router, and that no other router takes
	// the request.
	errOutOfReach = errors.ConstError("servers out of reach")

	// verdictWait is how long a request that could not be sent waits for the reason.
	verdictWait = 400 * time.Millisecond

	// maxCutOffReady is how long a router may be cut off from the servers before callers are
	// sent to others, if these reach them.
	maxCutOffReady = 500 * time.Millisecond
)

// cutOff reports whether the router has been cut off from the servers for so long that callers
// should go to others, which reach them.
func (r *relay) cutOff() bool { return r.uplink.CutOffFor(time.Now()) > maxCutOffReady }

// outOfReach reports whether no server answers the router on new connections.
func (r *relay) outOfReach() bool {
	state := r.uplink.State()
	return state == uplink.CutOff || state == uplink.Silent
}

// awaitVerdict waits until it is known whether servers or the router's links are the reason that
// the request could not be sent. It waits once, and not for a request that goes no further.
func (p *proxiedRequest) awaitVerdict(ctx context.Context) {
	if p.handedOver != nil || p.verdictAwaited {
		return
	}
	p.verdictAwaited = p.relay.uplink.AwaitVerdict(ctx, verdictWait) != uplink.Reached
}

// mayGoElsewhere reports whether another router may run the request.
func (p *proxiedRequest) mayGoElsewhere() bool {
	return p.handedOver == nil && p.relay.uplink.State() == uplink.CutOff
}

// elsewhere returns the place of an attempt by another router if this one is cut off from the
// servers. It returns nil if servers are to be tried from here, and an error if that is useless
// and no other router takes requests. A request that came from a router goes no further.
func (p *proxiedRequest) elsewhere() (*place, error) {
	r := p.relay
	state := r.uplink.State()
	if state == uplink.Reached || state == uplink.Suspected {
		return nil, nil //nolint:nilnil // No place elsewhere is needed.
	}
	if p.mayGoElsewhere() && len(r.peerRouters.candidates(time.Now())) > 0 {
		return &place{elsewhere: true}, nil
	}
	if r.uplink.HeardSinceChange() {
		return nil, nil //nolint:nilnil // Connections that were open before still serve.
	}
	return nil, errOutOfReach
}

// runElsewhere has another router run the request, and answers it. Each router is offered the
// request once, and what one of them has taken goes to no other: it may run there.
func (p *proxiedRequest) runElsewhere(ctx context.Context) {
	copied := int64(len(p.body))
	if !p.conn.Reserve(inbound.Bodies, copied) {
		p.retryAfter = shortRetryDelay
		p.finishUnanswered(ctx, string(errNoMemory))
		return
	}
	defer p.conn.Release(inbound.Bodies, copied)
	data, err := handover.Encode(handover.Request{
		Method: p.request.Method, Target: p.requestTarget, Host: p.request.Host, Header: endToEnd(p.request.Header),
		Body: p.body, HasBody: p.hasBody, Timeout: time.Until(p.deadline), Service: p.service,
		Executions: p.executions, LastEventID: p.lastEventID, PlanVersion: p.index.plan.Version,
	})
	if err != nil {
		p.relay.options.log.Request(time.Now(), err).Str("request", p.info.AttemptID).Msg("request not handed over")
		p.finishUnanswered(ctx, err.Error())
		return
	}
	for _, peer := range p.relay.peerRouters.candidates(time.Now()) {
		if ctx.Err() != nil || !p.mayBegin() {
			break
		}
		p.peer = peer.Addr()
		result, taken, err := p.handOver(ctx, peer, data)
		if taken {
			p.finishElsewhere(ctx, result, err)
			return
		}
		p.relay.peerRouters.recordDecline(time.Now(), peer)
		p.relay.metrics.handoversDeclined.Inc(1)
		p.relay.options.log.Request(time.Now(), err).Str("request", p.info.AttemptID).Str("router", p.peer.String()).
			Msg("hand-over declined")
	}
	if !p.mayBegin() {
		p.retryAfter = otherRouterDelay
		p.finishUnanswered(ctx, string(errStopping))
		return
	}
	p.retryAfter = max(p.retryAfter, shortRetryDelay)
	p.finishUnanswered(ctx, string(errOutOfReach))
}

// handOver offers the request to a router and relays the response. taken is false if that router
// did not take it, so that it did not run there.
func (p *proxiedRequest) handOver(ctx context.Context, peer netip.AddrPort, data []byte) (result attemptResult, taken bool, err error) {
	response, err := p.relay.peerRouters.pool(peer).Send(ctx, hop.Request{
		Method: http.MethodPost, Target: handover.Path, Host: peer.String(), Body: data, HasBody: true,
		Header: http.Header{"Content-Type": {handover.ContentType}},
		BeforeWrite: func() error {
			if !p.mayBegin() {
				return errStopping
			}
			return nil
		},
		Matches: func(http.Header, bool) bool { return true },
	})
	if err != nil {
		var exchangeErr *link.ExchangeError
		if errors.As(err, &exchangeErr) && !exchangeErr.MaybeSent {
			return notSent, false, err
		}
		p.relay.metrics.handovers.Inc(1)
		p.executions++
		return incomplete, true, err
	}
	defer response.Close()
	outcome := handover.Outcome(response.Header.Get(handover.OutcomeHeader))
	response.Header.Del(handover.OutcomeHeader)
	if outcome == handover.Declined {
		return notExecuted, false, nil
	}
	p.relay.metrics.handovers.Inc(1)
	result, err = p.relayHandedOver(response, outcome)
	if result != notExecuted {
		p.executions++
	}
	return result, true, err
}

// relayHandedOver forwards the response of a router that has taken the request. What that router
// itself answered is kept for the end of the request.
func (p *proxiedRequest) relayHandedOver(response *hop.Response, outcome handover.Outcome) (attemptResult, error) {
	switch outcome {
	case handover.Relayed:
		return p.relayResponse(response, nil, nil)
	case handover.Refused, handover.Ended:
	default:
		return incomplete, fmt.Errorf("outcome %q of a hand-over: %w", outcome, errors.NotValid)
	}
	buffered, err := p.bufferResponse(response, nil)
	if err != nil {
		return incomplete, err
	}
	if outcome == handover.Refused {
		if wait := retryAfterOf(response.Header); wait > 0 {
			p.retryAfter = min(wait, time.Until(p.deadline))
		}
		if promisesNotRun(buffered.status) {
			return notExecuted, nil
		}
	}
	if !p.headWritten {
		p.fallback = buffered
	}
	return serverError, nil
}

// finishElsewhere ends a request that another router has taken.
func (p *proxiedRequest) finishElsewhere(ctx context.Context, result attemptResult, err error) {
	switch {
	case result == answered:
		p.recordServed()
	case result == callerGone, p.request.Context().Err() != nil:
		p.abortAbandoned()
	default:
		p.logLastAttempt(result, err)
		p.finishUnanswered(ctx, "not served by another router")
	}
}
