// Package remote is a table.Table over the HTTP protocol of the platform's
// table service. It imports package table and the standard library.
package remote

import (
	"bytes"
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
	defaultTimeout  = 5 * time.Second
	defaultResponse = 16 << 20
)

// ErrMalformedResponse says that an answer did not follow the protocol. It comes with
// table.ErrUncertain.
const ErrMalformedResponse = errors.ConstError("malformed table answer")

// Settings configure a Table. Zero fields other than URL take defaults.
type Settings struct {
	// URL is the address of the service, for example http://10.0.0.1:7000.
	URL string

	// Timeout bounds a call whose context has no deadline.
	Timeout time.Duration

	// MaxResponseBytes bounds the body of an answer.
	MaxResponseBytes int64
}

// Table is a table service reached over HTTP. It sends each call at most once.
// After a call without a proper answer it drops its idle connections, so that
// the next call does not use one that has gone silent.
type Table struct {
	url      string
	timeout  time.Duration
	response int64
	client   *http.Client
}

var _ table.Table = (*Table)(nil)

// New returns a table. Close ends its idle connections.
func New(settings Settings) *Table {
	t := &Table{
		url:      strings.TrimSuffix(settings.URL, "/"),
		timeout:  settings.Timeout,
		response: settings.MaxResponseBytes,
		client:   newClient(),
	}
	if t.timeout == 0 {
		t.timeout = defaultTimeout
	}
	if t.response == 0 {
		t.response = defaultResponse
	}
	return t
}

// Close closes idle connections.
func (t *Table) Close() {
	t.client.CloseIdleConnections()
}

// Read implements table.Table. Errors wrap ErrUnavailable or ErrUncertain.
func (t *Table) Read(ctx context.Context, keys ...string) ([]table.Row, error) {
	var answer rowsAnswer
	if err := t.call(ctx, "/read", readRequest{Keys: keys}, &answer); err != nil {
		return nil, fmt.Errorf("read rows: %w", err)
	}
	if len(answer.Rows) != len(keys) {
		return nil, fmt.Errorf("read rows: %w: %w: %d rows for %d keys",
			table.ErrUncertain, ErrMalformedResponse, len(answer.Rows), len(keys))
	}
	return decodeRows(answer.Rows), nil
}

// List implements table.Table. Errors wrap ErrUnavailable or ErrUncertain.
func (t *Table) List(ctx context.Context, r table.Range) ([]table.Row, error) {
	var answer rowsAnswer
	body := listRequest{Prefix: r.Prefix, After: r.After, Limit: r.Limit}
	if err := t.call(ctx, "/list", body, &answer); err != nil {
		return nil, fmt.Errorf("list rows: %w", err)
	}
	return decodeRows(answer.Rows), nil
}

// Commit implements table.Table.
func (t *Table) Commit(ctx context.Context, tx table.Transaction) error {
	if err := t.call(ctx, "/commit", encodeCommit(tx), nil); err != nil {
		return fmt.Errorf("commit: %w", err)
	}
	return nil
}

// call posts body and decodes the answer into target, unless that is nil.
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
	if err := status(response.StatusCode); err != nil || target == nil {
		t.drain(response.Body)
		return err
	}
	if err := t.decode(response.Body, target); err != nil {
		t.client.CloseIdleConnections()
		return err
	}
	return nil
}

// send sends one request once. An error wraps table.ErrUnavailable if no
// connection was had, so that no byte can have left.
func (t *Table) send(ctx context.Context, path string, body []byte) (*http.Response, error) {
	var connected atomic.Bool
	traced := httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	})
	request, err := http.NewRequestWithContext(traced, http.MethodPost, t.url+path, bytes.NewReader(body))
	if err != nil {
		return nil, fmt.Errorf("%w: make request: %w", table.ErrUnavailable, err)
	}
	// Without GetBody the transport cannot send the request a second time.
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

// status maps the status of an answer to an error.
func status(code int) error {
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

// decode reads a bounded body.
func (t *Table) decode(body io.Reader, target any) error {
	data, err := io.ReadAll(io.LimitReader(body, t.response+1))
	if err != nil {
		return fmt.Errorf("%w: read body: %w", table.ErrUncertain, err)
	}
	if int64(len(data)) > t.response {
		return fmt.Errorf("%w: %w: over %d bytes", table.ErrUncertain, ErrMalformedResponse, t.response)
	}
	if err := json.Unmarshal(data, target); err != nil {
		return fmt.Errorf("%w: %w: %w", table.ErrUncertain, ErrMalformedResponse, err)
	}
	return nil
}

// drain reads a short rest of a body, so that its connection can be used again.
func (t *Table) drain(body io.Reader) {
	_, _ = io.Copy(io.Discard, io.LimitReader(body, headerBytes))
}
