// Package object is a client of the platform's object store, which holds large
// responses. It imports the standard library and the error library only.
package object

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"time"

	"github.com/juju/errors"

	"snipetally.example/coordination/response"
)

// maxObjectBytes bounds the size of an object that is read.
const maxObjectBytes = 32 << 20

const (
	// ErrNotFound means that the object does not exist.
	ErrNotFound = errors.ConstError("object not found")

	// ErrInvalidResponse means that the object store failed the call or sent a
	// response that can't be used.
	ErrInvalidResponse = errors.ConstError("invalid response from the object store")
)

// Store is an HTTP client of the object store. Its methods are safe for
// concurrent use.
type Store struct {
	baseURL string
	timeout time.Duration
	client  *http.Client
}

// NewStore returns a client of the store at address, an IP address and a port.
// Each call ends within timeout. Each call opens its own connection, because calls
// are rare and idle connections can fail silently.
func NewStore(address string, timeout time.Duration) *Store {
	return &Store{
		baseURL: "http://" + address + "/objects/",
		timeout: timeout,
		client:  &http.Client{Transport: &http.Transport{DialContext: response.Checked((&net.Dialer{}).DialContext), DisableKeepAlives: true}},
	}
}

// Put stores an object. It is idempotent.
func (s *Store) Put(ctx context.Context, name string, data []byte) error {
	if _, err := s.call(ctx, http.MethodPut, name, data); err != nil {
		return fmt.Errorf("put object: %w", err)
	}
	return nil
}

// Get returns an object. The error wraps ErrNotFound if the object does not
// exist.
func (s *Store) Get(ctx context.Context, name string) ([]byte, error) {
	data, err := s.call(ctx, http.MethodGet, name, nil)
	if err != nil {
		return nil, fmt.Errorf("get object: %w", err)
	}
	return data, nil
}

// call sends one request and returns the body of the response.
func (s *Store) call(ctx context.Context, method, name string, body []byte) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, s.timeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, s.baseURL+url.PathEscape(name), bytes.NewReader(body))
	if err != nil {
		return nil, fmt.Errorf("create request: %w", err)
	}
	response, err := s.client.Do(request)
	if err != nil {
		return nil, fmt.Errorf("call object store: %w", err)
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode == http.StatusNotFound {
		return nil, ErrNotFound
	}
	if response.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("status %d: %w", response.StatusCode, ErrInvalidResponse)
	}
	data, err := io.ReadAll(io.LimitReader(response.Body, maxObjectBytes+1))
	if err != nil {
		return nil, fmt.Errorf("read response: %w", err)
	}
	if len(data) > maxObjectBytes {
		return nil, fmt.Errorf("object is larger than %d bytes: %w", maxObjectBytes, ErrInvalidResponse)
	}
	return data, nil
}
