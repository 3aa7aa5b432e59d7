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

// state is where an attempt stands on its server.
type state string

// The states of the protocol.
const (
	stateQueued   state = "queued"
	stateRunning  state = "running"
	stateDone     state = "done"
	stateCanceled state = "cancelled" //nolint:misspell // The protocol spells it so.
	stateAbsent   state = "absent"
)

// maxStatus bounds the answer to a status call, in bytes.
const maxStatus = 4 << 10

// status is a server's answer on an attempt.
type status struct {
	state  state
	tokens int
	epoch  string
}

// statusBody is a status on the wire.
type statusBody struct {
	State  state `json:"state"`
	Tokens int   `json:"tokens"`
}

// notRun reports whether the status proves that an attempt did not run and
// will not run. A server that restarted after the attempt was sent does not
// know; one that has the epoch it had before does.
func (s status) notRun(epoch string) bool {
	return s.state == stateAbsent && epoch != "" && s.epoch == epoch
}

// ask asks for the status of an attempt at path, on a new connection each time.
// A server that had no such attempt refuses it from then on.
func ask(ctx context.Context, l *link.Link, path, attempt string) (status, error) {
	limit := control(l.State())
	var err error
	for range statusTries {
		var s status
		if s, err = askOnce(ctx, l, path, attempt, limit); err == nil {
			return s, nil
		}
		if ctx.Err() != nil {
			break
		}
		limit *= 2
	}
	return status{}, fmt.Errorf("ask for status: %w", err)
}

// askOnce asks once and waits for the answer no longer than limit.
func askOnce(ctx context.Context, l *link.Link, path, attempt string, limit time.Duration) (status, error) {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	begun := time.Now()
	exchange, err := l.Send(ctx, link.Request{
		Method:        http.MethodGet,
		Path:          path,
		Header:        outgoing(nil, attempt),
		NewConnection: true,
	})
	if err != nil {
		return status{}, err
	}
	defer exchange.Close()
	body, err := exchange.ReadAll(maxStatus)
	if err != nil {
		return status{}, err
	}
	l.ObserveRoundTrip(time.Since(begun) / 2)
	if exchange.Status != http.StatusOK || exchange.Header.Get(attemptHeader) != attempt {
		return status{}, fmt.Errorf("status answer %d: %w", exchange.Status, ErrMismatch)
	}
	var answer statusBody
	if err := json.Unmarshal(body, &answer); err != nil {
		return status{}, fmt.Errorf("read status: %w", err)
	}
	return status{state: answer.State, tokens: answer.Tokens, epoch: exchange.Header.Get(epochHeader)}, nil
}

// cancelOnce cancels an attempt and reports whether the server took the call.
func (r *Runner) cancelOnce(l *link.Link, attempt string, try int) bool {
	ctx, cancel := context.WithTimeout(r.ctx, control(l.State())<<try)
	defer cancel()
	exchange, err := l.Send(ctx, link.Request{
		Method:        http.MethodDelete,
		Path:          requestPath(attempt),
		Header:        outgoing(nil, attempt),
		NewConnection: true,
	})
	if err != nil {
		return false
	}
	exchange.Close()
	return exchange.Status == http.StatusOK
}

// requestPath returns the path of an attempt on an engine.
func requestPath(attempt string) string {
	return "/v1/requests/" + url.PathEscape(attempt)
}

// servicePath returns the path of an attempt on a plain service.
func servicePath(attempt string) string {
	return "/attempts/" + url.PathEscape(attempt)
}
