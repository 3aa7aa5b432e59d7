// Package remote implements table.Table over the HTTP protocol of the
// platform's table service. It imports package table, the error library and the
// standard library.
package remote

import (
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"strings"
	"sync/atomic"
	"time"

	"github.com/juju/errors"

	"snipetally.example/coordination/table"
)

const (
	defaultTimeout          = 5 * time.Second
	defaultMaxResponseBytes = 16 << 20
)

// ErrMalformedResponse means that a response did not follow the protocol.
// Errors that wrap it also wrap table.ErrUncertain.
const ErrMalformedResponse = errors.ConstError("malformed table answer")

// Config configures a Table. Zero fields other than URL take defaults.
type Config struct {
	// URL is the address of the service, for example http://10.0.0.1:7000.
	URL string

	// Timeout bounds a call whose context has no deadline.
	Timeout time.Duration

	// MaxResponseBytes bounds the body of a response.
	MaxResponseBytes int64
}

// Table calls a table service over HTTP. It sends each request at most once.
// After a call without a valid response it closes its idle connections, so that
// the next call does not use a broken one.
type Table struct {
	url              string
	timeout          time.Duration
	maxResponseBytes int64
	client           *http.Client
}

var _ table.Table = (*Table)(nil)

// New returns a Table. Close closes its idle connections.
func New(config Config) *Table {
	return &Table{
		url:              strings.TrimSuffix(config.URL, "/"),
		timeout:          cmp.Or(config.Timeout, defaultTimeout),
		maxResponseBytes: cmp.Or(config.MaxResponseBytes, defaultMaxResponseBytes),
		client:           newClient(),
	}
}

// Close closes idle connections.
func (t *Table) Close() {
	t.client.CloseIdleConnections()
}

// Read implements table.Table. Errors wrap ErrUnavailable or ErrUncertain.
func (t *Table) Read(ctx context.Context, keys ...string) ([]table.Row, error) {
	var response rowsResponse
	if err := t.call(ctx, "/read", readRequest{Keys: keys}, &response); err != nil {
		return nil, fmt.Errorf("read rows: %w", err)
	}
	if len(response.Rows) != len(keys) {
		return nil, fmt.Errorf("read rows: %w: %w: %d rows for %d keys",
			table.ErrUncertain, ErrMalformedResponse, len(response.Rows), len(keys))
	}
	return decodeRows(response.Rows), nil
}

// List implements table.Table. Errors wrap ErrUnavailable or ErrUncertain.
func (t *Table) List(ctx context.Context, r table.Range) ([]table.Row, error) {
	var response rowsResponse
	request := listRequest{Prefix: r.Prefix, After: r.After, Limit: r.Limit}
	if err := t.call(ctx, "/list", request, &response); err != nil {
		return nil, fmt.Errorf("list rows: %w", err)
	}
	return decodeRows(response.Rows), nil
}

// Commit implements table.Table.
func (t *Table) Commit(ctx context.Context, tx table.Transaction) error {
	if err := t.call(ctx, "/commit", encodeCommit(tx), nil); err != nil {
		return fmt.Errorf("commit: %w", err)
	}
	return nil
}

// call posts body as JSON and decodes the response into target, unless target
// is nil.
func (t *Table) call(ctx context.Context, path string, body, target any) error {
	encoded, err := json.Marshal(body)
	if err != nil {
		return fmt.Errorf("%w: encode: %w", table.ErrUnavailable, err)
	}
	if _, ok := ctx.Deadline(); !ok {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, t.timeout)
		defer cancel()
	}
	response, err := t.send(ctx, path, encoded)
	if err != nil {
		t.client.CloseIdleConnections()
		return err
	}
	defer func() { _ = response.Body.Close() }()
	if err := statusError(response.StatusCode); err != nil || target == nil {
		t.discardBody(response.Body)
		return err
	}
	if err := t.decode(response.Body, target); err != nil {
		t.client.CloseIdleConnections()
		return err
	}
	return nil
}

// send sends a request at most once. The error wraps table.ErrUnavailable if no
// connection was obtained, so that no byte can have been sent, and
// table.ErrUncertain otherwise.
func (t *Table) send(ctx context.Context, path string, body []byte) (*http.Response, error) {
	var connected atomic.Bool
	traced := httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	})
	request, err := http.NewRequestWithContext(traced, http.MethodPost, t.url+path, bytes.NewReader(body))
	if err != nil {
		return nil, fmt.Errorf("%w: make request: %w", table.ErrUnavailable, err)
	}
	// Without GetBody the transport cannot resend the request.
	request.GetBody = nil
	request.Header.Set("Content-Type", "application/json")
	response, err := t.client.Do(request)
	if err == nil {
		return response, nil
	}
	if connected.Load() {
		return nil, fmt.Errorf("%w: %w", table.ErrUncertain, err)
	}
	return nil, fmt.Errorf("%w: %w", table.ErrUnavailable, err)
}

// statusError maps the status code of a response to an error.
func statusError(code int) error {
	switch code {
	case http.StatusOK:
		return nil
	case http.StatusConflict:
		return table.ErrConflict
	case http.StatusServiceUnavailable:
		return table.ErrUnavailable
	default:
		return fmt.Errorf("%w: status %d", table.ErrUncertain, code)
	}
}

// decode decodes a body of at most maxResponseBytes into target.
func (t *Table) decode(body io.Reader, target any) error {
	data, err := io.ReadAll(io.LimitReader(body, t.maxResponseBytes+1))
	if err != nil {
		return fmt.Errorf("%w: read body: %w", table.ErrUncertain, err)
	}
	if int64(len(data)) > t.maxResponseBytes {
		return fmt.Errorf("%w: %w: over %d bytes", table.ErrUncertain, ErrMalformedResponse, t.maxResponseBytes)
	}
	if err := json.Unmarshal(data, target); err != nil {
		return fmt.Errorf("%w: %w: %w", table.ErrUncertain, ErrMalformedResponse, err)
	}
	return nil
}

// discardBody reads the rest of a body, up to maxHeaderBytes, so that its
// connection can be reused.
func (t *Table) discardBody(body io.Reader) {
	_, _ = io.Copy(io.Discard, io.LimitReader(body, maxHeaderBytes))
}
