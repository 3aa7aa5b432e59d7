package relay

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"

	"github.com/juju/errors"

	"snipetally.example/router/internal/placement"
)

const (
	// errBodyTooLong means that a body exceeds the plan's limit.
	errBodyTooLong = errors.ConstError("body too long")

	// errBodyMemory means that the bodies of concurrent requests use up the
	// memory reserved for bodies.
	errBodyMemory = errors.ConstError("no memory left for request bodies")

	// bodyChunk is the number of bytes reserved and read at a time for a body
	// of unknown length.
	bodyChunk = 64 << 10
)

// exchange handles one request of a caller. It belongs to the goroutine that
// serves the request.
type exchange struct {
	relay     *relay
	writer    http.ResponseWriter
	request   *http.Request
	arrivedAt time.Time

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

	// reservedBytes is the part of the relay's body memory that the body takes.
	reservedBytes int64

	service          string
	placementRequest placement.Request
	deadline         time.Time

	// tried are the backend servers that were picked for the request, and
	// executions is the number of those that may have run it.
	tried      []string
	executions int

	// choice is the balancer's last choice of a server.
	choice placement.Choice

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

	// kvCopy is the KV cache that the next attempt starts from, if the run was
	// migrated.
	kvCopy KVCopy

	// fallback is the error response of a server that ran the request. It is
	// sent if no other server gives a better response.
	fallback *bufferedResponse
}

// serve answers the request.
func (x *exchange) serve() {
	r := x.relay
	r.metrics.requests.Inc(1)
	if !x.admit() {
		return
	}
	defer x.releaseBody()
	if err := x.readBody(); err != nil {
		x.handleBodyError(err)
		return
	}
	x.prepare()
	ctx, cancel := context.WithDeadline(x.request.Context(), x.deadline)
	defer cancel()
	x.runAttempts(ctx)
}

// admit determines the class and the team of the request. If the request may
// not run, it answers it and returns false.
func (x *exchange) admit() bool {
	r := x.relay
	var parseErr error
	x.info, parseErr = r.options.codec.ParseRequest(x.request.Header)
	x.index = r.index.Load()
	if x.index == nil {
		x.refuseStalePlan("no plan")
		return false
	}
	if r.refusesRequests() {
		x.refuse("stopping", otherRouterDelay)
		return false
	}
	x.requestTarget = x.request.RequestURI
	if !strings.HasPrefix(x.requestTarget, "/") {
		x.requestTarget = x.request.URL.RequestURI()
	}
	path, _, _ := strings.Cut(x.requestTarget, "?")
	x.class = x.index.class(x.request.Host, path)
	if x.class == nil {
		return x.rejectUnknown(http.StatusNotFound, "no class")
	}
	if limit := x.index.plan.Limits.MaxHeaderBytes; limit > 0 && headerSize(x.request) > limit {
		x.reject(http.StatusRequestHeaderFieldsTooLarge, "header too long")
		return false
	}
	if parseErr != nil {
		x.reject(http.StatusBadRequest, parseErr.Error())
		return false
	}
	return x.authorize()
}

// headerSize returns the size of a request's head as encoded in HTTP/1.1, in
// bytes.
func headerSize(request *http.Request) int {
	size := len(request.Method) + len(request.RequestURI) + len(request.Proto) + len(request.Host) + headFraming
	for name, values := range request.Header {
		for _, value := range values {
			size += len(name) + len(value) + len(": \r\n")
		}
	}
	return size
}

// headFraming is the number of separator bytes in the request line, around the
// Host header and at the end of a head.
const headFraming = len("  \r\n") + len("Host: \r\n") + len("\r\n")

// authorize determines the team of a request that needs an API key. It accepts
// no key while the router can't know whether keys were revoked. If the request
// may not run, it answers it and returns false.
func (x *exchange) authorize() bool {
	if x.class.Public || len(x.index.plan.Teams) == 0 {
		return true
	}
	if x.relay.planOlderThan(keyAgeFraction) {
		x.refuseStalePlan("plan outdated")
		return false
	}
	team, ok := x.index.teamsByKey[x.info.APIKey]
	if !ok {
		return x.rejectUnknown(http.StatusUnauthorized, "unknown key")
	}
	x.team = team
	return true
}

// rejectUnknown answers a request for something that the plan lacks. If the
// plan is stale, a newer one may have it, so the caller is asked to retry. It
// always returns false.
func (x *exchange) rejectUnknown(status int, reason string) bool {
	if x.relay.planOlderThan(keyAgeFraction) {
		x.refuseStalePlan("plan outdated")
		return false
	}
	x.reject(status, reason)
	return false
}

// readBody reads the whole body, so that it can be sent again and so that the
// HTTP server notices when the caller disconnects. The memory that it reserves
// is returned by releaseBody.
func (x *exchange) readBody() error {
	x.hasBody = x.request.ContentLength > 0 || len(x.request.TransferEncoding) > 0 ||
		x.request.Header.Get("Content-Length") != ""
	limit := x.index.plan.Limits.MaxBodyBytes
	length := x.request.ContentLength
	if limit > 0 && length > limit {
		return errBodyTooLong
	}
	if length < 0 {
		return x.readUnknownLength(limit)
	}
	if err := x.reserveBody(length); err != nil {
		return err
	}
	x.body = make([]byte, length)
	if _, err := io.ReadFull(x.request.Body, x.body); err != nil {
		return fmt.Errorf("read body: %w", err)
	}
	return nil
}

// readUnknownLength reads a body of unknown length.
func (x *exchange) readUnknownLength(limit int64) error {
	for {
		if err := x.reserveBody(bodyChunk); err != nil {
			return err
		}
		var chunk bytes.Buffer
		n, err := io.CopyN(&chunk, x.request.Body, bodyChunk)
		x.body = append(x.body, chunk.Bytes()...)
		switch {
		case limit > 0 && int64(len(x.body)) > limit:
			return errBodyTooLong
		case errors.Is(err, io.EOF):
			return nil
		case err != nil:
			return fmt.Errorf("read body after %d bytes: %w", n, err)
		}
	}
}

// reserveBody reserves memory for n bytes of the body. On failure the
// reservation stays until releaseBody.
func (x *exchange) reserveBody(n int64) error {
	x.reservedBytes += n
	if held := x.relay.bodyBytes.Add(n); x.relay.options.maxBodyMemory > 0 && held > x.relay.options.maxBodyMemory {
		return errBodyMemory
	}
	return nil
}

// releaseBody returns the memory reserved for the body.
func (x *exchange) releaseBody() { x.relay.bodyBytes.Add(-x.reservedBytes) }

// handleBodyError answers a request whose body could not be read.
func (x *exchange) handleBodyError(err error) {
	if errors.Is(err, errBodyTooLong) {
		x.reject(http.StatusRequestEntityTooLarge, err.Error())
		return
	}
	if errors.Is(err, errBodyMemory) {
		x.refuse(err.Error(), shortRetryDelay)
		return
	}
	if x.request.Context().Err() != nil {
		x.abortAbandoned()
		return
	}
	x.reject(http.StatusBadRequest, err.Error())
}

// prepare computes the deadline and what the choice of a server depends on, and
// counts the request in the retry budget.
func (x *exchange) prepare() {
	timeout := x.class.Timeout
	if x.info.Timeout > 0 && (timeout <= 0 || x.info.Timeout < timeout) {
		timeout = x.info.Timeout
	}
	if timeout <= 0 {
		timeout = defaultTimeout
	}
	x.deadline = x.arrivedAt.Add(timeout)
	x.rank = x.index.ranks[priorityOf(x.class, x.team)]
	x.service = pickService(x.class.Splits)
	x.lastEventID = x.request.Header.Get("Last-Event-Id")
	x.placementRequest = placement.Request{
		Service:      x.service,
		PromptTokens: x.info.PromptTokens,
		OutputTokens: x.info.MaxOutputTokens,
		Target:       x.class.TargetLatency,
		Priority:     x.rank,
	}
	if x.info.ExpectedOutputTokens > 0 {
		x.placementRequest.OutputTokens = x.info.ExpectedOutputTokens
	}
	for _, part := range x.info.Parts {
		x.placementRequest.Parts = append(x.placementRequest.Parts, placement.Part(part))
	}
	x.relay.retryBudget.RecordRequest(x.arrivedAt, x.service)
}

// defaultTimeout applies to a request if neither its caller nor its class sets
// a timeout.
const defaultTimeout = 60 * time.Second

// pickService picks a service at random by the weights.
func pickService(splits []Split) string {
	total := 0
	for _, s := range splits {
		total += max(s.Weight, 0)
	}
	if total == 0 {
		if len(splits) == 0 {
			return ""
		}
		return splits[0].Service
	}
	n := rand.IntN(total)
	for _, s := range splits {
		if n -= max(s.Weight, 0); n < 0 {
			return s.Service
		}
	}
	return ""
}
