package relay

import (
	"context"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"strings"
	"time"

	"snipetally.example/router/internal/handover"
	"snipetally.example/router/internal/inbound"
	"snipetally.example/router/internal/placement"
	"snipetally.example/router/internal/quarantine"
)

// proxiedRequest handles one request of a caller with all attempts at backend
// servers that it takes. It belongs to the goroutine that serves the request.
// Migrations run in other goroutines and read only fields that don't change
// after prepare.
type proxiedRequest struct {
	relay     *relay
	writer    http.ResponseWriter
	request   *http.Request
	arrivedAt time.Time

	// conn is the connection that the request came on. It holds the memory of the request.
	conn *inbound.Conn

	index *planIndex
	class *Class
	team  *Team
	info  RequestInfo

	// rank is the priority rank of the request among all ranks that the plan
	// defines; 0 is the most important.
	rank int

	// requestTarget is the path with the query as the caller sent it. hasBody
	// says that the request had a body, which may be empty.
	requestTarget string
	body          []byte
	hasBody       bool

	// buffers hold the body, and the responses that were read for the request.
	buffers []*buffer

	// run is what the quarantine knows of the request.
	run quarantine.Run

	// crashCheck is closed when it is known whether the server of the last attempt
	// ended. It is nil if the attempt did not break.
	crashCheck <-chan struct{}

	service          string
	placementRequest placement.Request
	deadline         time.Time

	// readAt is when the request had arrived as a whole.
	readAt time.Time

	// tried are the backend servers that were picked for the request. executions
	// is the number of attempts that may have run it, and rejections that of those
	// that a server rejected.
	tried      []string
	executions int
	rejections int

	// written is the number of attempts of which a byte may have reached a server.
	written int

	// choice is the balancer's last choice of a server, chosenAt when it was
	// made, and listAge the age of the list of servers at that moment.
	choice   placement.Choice
	chosenAt time.Time
	listAge  time.Duration

	// started says that the last attempt delivered an event, or a complete
	// response that is no stream.
	started bool

	// sendDelay is the time from the last choice to the first byte written to
	// the server, or zero if none was written.
	sendDelay time.Duration

	// sentAt is the time on the clock at which the last attempt was written to its server.
	sentAt time.Duration

	// headWritten says that the head of a response was sent to the caller.
	// lastEventID is the ID of the last event that the caller has.
	headWritten bool
	lastEventID string

	// timeToFirstByte is the time from the arrival of the request to the first
	// byte of the response.
	timeToFirstByte time.Duration

	// lastEventAt is when events were last sent to the caller, and longestGap
	// the longest pause between two of them.
	lastEventAt time.Time
	longestGap  time.Duration

	// gapBacklog is the number of prompt tokens estimated to be queued at the
	// server when the longest pause ended, if it was longer than the class
	// tolerates.
	gapBacklog int

	// kvCopy is the KV cache that the next attempt starts from, if the run was
	// migrated.
	kvCopy KVCopy

	// runStopped says that the run of the request was stopped for a migration and has not gone on.
	runStopped bool

	// retryAfter is how much later the caller is asked to retry if the request is
	// refused for lack of a server.
	retryAfter time.Duration

	// peer is the address of the router that the request was handed over to or came from, if any.
	// handedOver is what came with it in the latter case.
	peer       netip.Addr
	handedOver *handover.Request

	// verdictAwaited says that the request has waited for the reason why it could not be sent.
	verdictAwaited bool

	// fallback is the error response of a server that ran the request. It is
	// sent if no other server gives a better response.
	fallback *bufferedResponse
}

// serve answers the request.
func (p *proxiedRequest) serve() {
	r := p.relay
	p.count(r.metrics.requests)
	if !p.admit() {
		return
	}
	defer p.releaseBuffers()
	if p.handedOver != nil {
		p.body, p.hasBody = p.handedOver.Body, p.handedOver.HasBody
	} else if err := p.readBody(); err != nil {
		p.handleBodyError(err)
		return
	}
	p.readAt = time.Now()
	p.prepare()
	if p.isQuarantined(false) {
		p.relay.metrics.quarantined.Inc(1)
		p.refuse(string(errQuarantined), p.retryAfter)
		return
	}
	ctx, cancel := context.WithDeadline(p.request.Context(), p.deadline)
	defer cancel()
	defer p.recordRunTime()
	p.runAttempts(ctx)
}

// admit determines the class and the team of the request. If the request may
// not run, it answers it and returns false.
func (p *proxiedRequest) admit() bool {
	r := p.relay
	var parseErr error
	p.info, parseErr = r.options.codec.ParseRequest(p.request.Header)
	if p.handedOver != nil {
		p.info.Timeout = p.handedOver.Timeout
	}
	p.index = r.index.Load()
	if p.index == nil {
		p.refuseStalePlan("no plan")
		return false
	}
	if r.planOutdated() {
		p.refuseStalePlan("newer plan lost")
		return false
	}
	if r.refusesRequests() {
		p.refuse(string(errStopping), otherRouterDelay)
		return false
	}
	p.requestTarget = p.request.RequestURI
	if !strings.HasPrefix(p.requestTarget, "/") {
		p.requestTarget = p.request.URL.RequestURI()
	}
	path, _, _ := strings.Cut(p.requestTarget, "?")
	p.class = p.index.class(p.request.Host, path)
	if p.class == nil {
		return p.rejectUnknown(http.StatusNotFound, "no class")
	}
	if limit := p.index.plan.Limits.MaxHeaderBytes; limit > 0 && p.handedOver == nil && p.conn.HeadBytes() > limit {
		p.reject(http.StatusRequestHeaderFieldsTooLarge, "header too long")
		return false
	}
	if parseErr != nil {
		p.reject(http.StatusBadRequest, parseErr.Error())
		return false
	}
	return p.authorize()
}

// authorize determines the team of a request that needs an API key. It accepts
// no key while the router can't know whether keys were revoked. If the request
// may not run, it answers it and returns false.
func (p *proxiedRequest) authorize() bool {
	if p.class.Public || !p.index.keysRequired {
		return true
	}
	if p.relay.planOlderThan(keyAgeFraction) {
		p.refuseStalePlan("plan outdated")
		return false
	}
	if p.relay.mayMissRevocations() {
		p.refuseStalePlan("newer plan may be lost")
		return false
	}
	team, ok := p.index.teamsByKey[p.info.APIKey]
	if !ok {
		return p.rejectUnknown(http.StatusUnauthorized, "unknown key")
	}
	p.team = team
	return true
}

// rejectUnknown answers a request for something that the plan lacks. If the
// plan is stale, or others have a newer one, that may have it, so the caller is
// asked to retry. It always returns false.
func (p *proxiedRequest) rejectUnknown(status int, reason string) bool {
	switch {
	case p.relay.planOlderThan(keyAgeFraction):
		p.refuseStalePlan("plan outdated")
	case p.relay.options.planMissingFor() > 0:
		p.refuseStalePlan("newer plan missing")
	default:
		p.reject(status, reason)
	}
	return false
}

// prepare computes the deadline and what the choice of a server depends on, and
// counts the request in the retry budget.
func (p *proxiedRequest) prepare() {
	timeout := p.class.Timeout
	if p.info.Timeout > 0 && (timeout <= 0 || p.info.Timeout < timeout) {
		timeout = p.info.Timeout
	}
	if timeout <= 0 {
		timeout = defaultTimeout
	}
	p.deadline = p.arrivedAt.Add(timeout)
	p.retryAfter = shortRetryDelay
	p.rank = p.index.ranks[priorityOf(p.class, p.team)]
	p.service = pickService(p.class.Splits)
	p.lastEventID = p.request.Header.Get("Last-Event-Id")
	if p.handedOver != nil {
		p.applyHandover()
	}
	p.placementRequest = placement.Request{
		Service:      p.service,
		PromptTokens: p.info.PromptTokens,
		OutputTokens: p.info.MaxOutputTokens,
		Class:        p.class.Name,
		Target:       p.class.TargetLatency,
		Gap:          p.class.TargetGap,
		Draw:         rand.Uint64(),
		Priority:     p.rank,
		Level:        rankLevel(p.rank, len(p.index.ranks)),
	}
	if p.info.ExpectedOutputTokens > 0 {
		p.placementRequest.OutputTokens = p.expectedOutputTokens()
	}
	for _, part := range p.info.Parts {
		p.placementRequest.Parts = append(p.placementRequest.Parts, placement.Part(part))
	}
	p.prepareRun()
	if p.handedOver == nil { // The router that it comes from counts it.
		p.relay.retryBudget.RecordRequest(p.arrivedAt, p.service)
	}
}

// expectedOutputTokens returns the caller's estimate of the length of the response, which is often far off, at
// most the limit that it sets.
func (p *proxiedRequest) expectedOutputTokens() int {
	if p.info.MaxOutputTokens > 0 {
		return min(p.info.ExpectedOutputTokens, p.info.MaxOutputTokens)
	}
	return p.info.ExpectedOutputTokens
}

// sharedParts returns the parts of the prompt that other requests may have too.
func (p *proxiedRequest) sharedParts() []PromptPart {
	return p.info.Parts[:max(len(p.info.Parts)-1, 0)]
}

// defaultTimeout applies to a request if neither its caller nor its class sets
// a timeout.
const defaultTimeout = 60 * time.Second

// pickService picks a service at random by the weights.
func pickService(splits []Split) string {
	total := 0.0
	for _, s := range splits {
		total += max(float64(s.Weight), 0)
	}
	n := rand.Float64() * total
	for _, s := range splits {
		if n -= max(float64(s.Weight), 0); n < 0 {
			return s.Service
		}
	}
	if len(splits) == 0 {
		return ""
	}
	return splits[0].Service
}
