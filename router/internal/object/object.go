// Package object keeps large answers in the platform's object store. It imports
// the standard library and the error library.
package object

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"time"

	"github.com/juju/errors"
)

// maxObject bounds the size of an object in bytes.
const maxObject = 32 << 20

const (
	// ErrNotFound says that there is no such object.
	ErrNotFound = errors.ConstError("no such object")

	// ErrInvalidResponse says that the object store's answer can't be used.
	ErrInvalidResponse = errors.ConstError("unusable answer of the object store")
)

// Store is the object store reached over HTTP. Its methods are safe for
// concurrent use.
type Store struct {
	base    string
	timeout time.Duration
	client  *http.Client
}

// NewStore returns the store at an address, which is an IP address and a port.
// Each call ends within timeout. Each call opens a connection of its own, since
// calls are rare and idle connections go silent.
func NewStore(address string, timeout time.Duration) *Store {
	return &Store{
		base:    "http://" + address + "/objects/",
		timeout: timeout,
		client:  &http.Client{Transport: &http.Transport{DisableKeepAlives: true}},
	}
}

// Put stores an object. Storing the same object again has no further effect.
func (s *Store) Put(ctx context.Context, name string, data []byte) error {
	if _, err := s.call(ctx, http.MethodPut, name, data); err != nil {
		return fmt.Errorf("put object: %w", err)
	}
	return nil
}

// Get returns an object. The error wraps ErrMissing if there is none.
func (s *Store) Get(ctx context.Context, name string) ([]byte, error) {
	data, err := s.call(ctx, http.MethodGet, name, nil)
	if err != nil {
		return nil, fmt.Errorf("get object: %w", err)
	}
	return data, nil
}

// call makes one call and returns the body of its answer.
func (s *Store) call(ctx context.Context, method, name string, body []byte) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, s.timeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, s.base+url.PathEscape(name), bytes.NewReader(body))
	if err != nil {
		return nil, fmt.Errorf("make request: %w", err)
	}
	response, err := s.client.Do(request)
	if err != nil {
		return nil, fmt.Errorf("call store: %w", err)
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode == http.StatusNotFound {
		return nil, ErrNotFound
	}
	if response.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("status %d: %w", response.StatusCode, ErrInvalidResponse)
	}
	data, err := io.ReadAll(io.LimitReader(response.Body, maxObject+1))
	if err != nil {
		return nil, fmt.Errorf("read answer: %w", err)
	}
	if len(data) > maxObject {
		return nil, fmt.Errorf("object above %d bytes: %w", maxObject, ErrInvalidResponse)
	}
	return data, nil
}
