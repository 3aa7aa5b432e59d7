package attempt

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"
	"time"

	"snipetally.example/router/internal/link"
)

// reportedState is the state of an attempt as its server reports it.
type reportedState string

// The states that the status protocol defines.
const (
	reportedQueued   reportedState = "queued"
	reportedRunning  reportedState = "running"
	reportedDone     reportedState = "done"
	reportedCanceled reportedState = "cancelled" //nolint:misspell // The protocol spells it so.
	reportedAbsent   reportedState = "absent"
)

// maxStatusBody bounds the response to a status query, in bytes.
const maxStatusBody = 4 << 10

// statusReply is a server's response to a status query.
type statusReply struct {
	state  reportedState
	tokens int
	epoch  string
}

// statusBody is the JSON body of a status response.
type statusBody struct {
	State  reportedState `json:"state"`
	Tokens int           `json:"tokens"`
}

// provesNotRun reports whether the reply proves that an attempt did not run and
// will not run. A server that restarted after the attempt was sent can't prove
// it; a server whose epoch still equals epoch, the one from before the attempt,
// can.
func (s statusReply) provesNotRun(epoch string) bool {
	return s.state == reportedAbsent && epoch != "" && s.epoch == epoch
}

// queryStatus queries the status of an attempt at path, with each try on a new
// connection. A server that does not know the attempt refuses it from then on.
func queryStatus(ctx context.Context, l *link.Link, path, attempt string) (statusReply, error) {
	timeout := controlTimeout(l.State())
	var err error
	for range maxStatusTries {
		var s statusReply
		if s, err = queryStatusOnce(ctx, l, path, attempt, timeout); err == nil {
			return s, nil
		}
		if ctx.Err() != nil {
			break
		}
		timeout *= 2
	}
	return statusReply{}, fmt.Errorf("query status: %w", err)
}

// queryStatusOnce sends one status query and waits up to timeout for the
// response.
func queryStatusOnce(ctx context.Context, l *link.Link, path, attempt string, timeout time.Duration) (statusReply, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	start := time.Now()
	exchange, err := l.Send(ctx, link.Request{
		Method:        http.MethodGet,
		Path:          path,
		Header:        requestHeader(nil, attempt),
		NewConnection: true,
	})
	if err != nil {
		return statusReply{}, err
	}
	defer exchange.Close()
	body, err := exchange.ReadAll(maxStatusBody)
	if err != nil {
		return statusReply{}, err
	}
	l.ObserveRoundTrip(time.Since(start) / 2)
	if exchange.Status != http.StatusOK || exchange.Header.Get(attemptHeader) != attempt {
		return statusReply{}, fmt.Errorf("status query answered with HTTP %d: %w", exchange.Status, ErrMismatch)
	}
	var parsed statusBody
	if err := json.Unmarshal(body, &parsed); err != nil {
		return statusReply{}, fmt.Errorf("parse status: %w", err)
	}
	return statusReply{state: parsed.State, tokens: parsed.Tokens, epoch: exchange.Header.Get(epochHeader)}, nil
}

// cancelOnce sends one cancel call for an attempt and reports whether the
// server answered it with 200. The timeout doubles with each try, which counts
// from 0.
func (r *Runner) cancelOnce(l *link.Link, attempt string, try int) bool {
	ctx, cancel := context.WithTimeout(r.ctx, controlTimeout(l.State())<<try)
	defer cancel()
	exchange, err := l.Send(ctx, link.Request{
		Method:        http.MethodDelete,
		Path:          requestPath(attempt),
		Header:        requestHeader(nil, attempt),
		NewConnection: true,
	})
	if err != nil {
		return false
	}
	exchange.Close()
	return exchange.Status == http.StatusOK
}

// requestPath returns the status and cancel path of an attempt on an engine.
func requestPath(attempt string) string {
	return "/v1/requests/" + url.PathEscape(attempt)
}

// servicePath returns the status path of an attempt on a plain service.
func servicePath(attempt string) string {
	return "/attempts/" + url.PathEscape(attempt)
}
