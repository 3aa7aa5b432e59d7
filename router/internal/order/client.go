package order

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"snipetally.example/coordination/response"
	"snipetally.example/router/internal/backend"
)

const (
	dialTimeout      = time.Second
	maxResponseBytes = 1 << 20
)

// orderBody and stateBody are the JSON bodies of the engine protocol.
type (
	orderBody struct {
		Fence uint64 `json:"fence"`
		Kind  string `json:"kind"`
		Name  string `json:"name"`
	}

	stateBody struct {
		Fence  uint64   `json:"fence"`
		Models []string `json:"models"`
		Role   string   `json:"role"`
	}
)

// Client calls engines over HTTP. It opens a new connection for each call,
// since a reused one may have died silently, and sends each order once.
type Client struct {
	client *http.Client
}

var _ Engines = (*Client)(nil)

// NewClient returns a client without open connections.
func NewClient() *Client {
	return &Client{client: &http.Client{
		Transport: &http.Transport{
			DialContext:       response.Checked((&net.Dialer{Timeout: dialTimeout}).DialContext),
			DisableKeepAlives: true,
		},
		CheckRedirect: func(*http.Request, []*http.Request) error {
			return http.ErrUseLastResponse
		},
	}}
}

// Send implements Engines.
func (c *Client) Send(ctx context.Context, server backend.Server, o Order) error {
	body, err := json.Marshal(orderBody{Fence: o.Fence, Kind: o.Kind.String(), Name: o.Name})
	if err != nil {
		return fmt.Errorf("encode order: %w", err)
	}
	status, _, err := c.call(ctx, http.MethodPost, server, body)
	if err != nil {
		return err
	}
	switch {
	case status >= 200 && status < 300:
		return nil
	case status == http.StatusConflict:
		return ErrFenced
	case status >= 400 && status < 500:
		return fmt.Errorf("%w: status %d", ErrRefused, status)
	default:
		return fmt.Errorf("%w: status %d", ErrUncertain, status)
	}
}

// ReadState implements Engines.
func (c *Client) ReadState(ctx context.Context, server backend.Server) (EngineState, error) {
	status, data, err := c.call(ctx, http.MethodGet, server, nil)
	if err != nil {
		return EngineState{}, err
	}
	if status != http.StatusOK {
		return EngineState{}, fmt.Errorf("%w: status %d", ErrUncertain, status)
	}
	var body stateBody
	if err := json.Unmarshal(data, &body); err != nil {
		return EngineState{}, fmt.Errorf("%w: %w", ErrUncertain, err)
	}
	return EngineState(body), nil
}

// call sends one request to /orders and reads at most maxResponseBytes of the
// response.
func (c *Client) call(ctx context.Context, method string, server backend.Server, body []byte) (int, []byte, error) {
	request, err := http.NewRequestWithContext(ctx, method, "http://"+server.Address+"/orders", bytes.NewReader(body))
	if err != nil {
		return 0, nil, fmt.Errorf("create request: %w", err)
	}
	request.GetBody = nil
	request.Header.Set("Content-Type", "application/json")
	response, err := c.client.Do(request)
	if err != nil {
		return 0, nil, fmt.Errorf("%w: %w", ErrUncertain, err)
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes))
	if err != nil {
		return 0, nil, fmt.Errorf("%w: %w", ErrUncertain, err)
	}
	return response.StatusCode, data, nil
}
