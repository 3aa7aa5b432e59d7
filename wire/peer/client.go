package peer

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	"snipetally.example/coordination/membership"
	"snipetally.example/coordination/spread"
)

const (
	// IdleTimeout is the time after which an idle connection is closed. It is also
	// the interval of TCP keep-alives.
	IdleTimeout = 15 * time.Second

	// maxClients bounds the cached clients. When it is reached, the whole cache is
	// cleared, which also drops the addresses of replaced VMs.
	maxClients = 2048
)

// NewTransport returns a transport for calls between routers. It closes idle
// connections after IdleTimeout, and gives up connecting after a second.
func NewTransport() *http.Transport {
	const connectTimeout = time.Second
	const maxConnsPerHost = 4
	dialer := &net.Dialer{Timeout: connectTimeout, KeepAlive: IdleTimeout}
	return &http.Transport{
		DialContext:           dialer.DialContext,
		IdleConnTimeout:       IdleTimeout,
		MaxIdleConnsPerHost:   1,
		MaxConnsPerHost:       maxConnsPerHost,
		ResponseHeaderTimeout: callTimeout,
		DisableCompression:    true,
	}
}

// idleCloser is a round tripper that keeps idle connections.
type idleCloser interface {
	CloseIdleConnections()
}

// Client calls other routers. It implements the transports of packages
// membership and spread and is safe for concurrent use.
type Client struct {
	http   http.Client
	scheme string

	// mu guards clients, which holds clients by address.
	mu      sync.Mutex
	clients map[string]Peer
}

// callTimeout bounds every call. A context with an earlier deadline bounds it
// further.
const callTimeout = 5 * time.Second

// NewClient returns a client that calls other routers through transport, which
// must add the Authorization header if the server requires one. Scheme is http
// or https.
func NewClient(transport http.RoundTripper, scheme string) *Client {
	return &Client{http: http.Client{Transport: transport}, scheme: scheme, clients: make(map[string]Peer)}
}

// Close closes idle connections.
func (c *Client) Close() {
	c.http.CloseIdleConnections()
}

// clientFor returns the cached client for an address, an IP address and a port,
// or makes one.
func (c *Client) clientFor(address string) Peer {
	c.mu.Lock()
	defer c.mu.Unlock()
	if client, ok := c.clients[address]; ok {
		return client
	}
	if len(c.clients) >= maxClients {
		clear(c.clients)
	}
	client := NewPeerProtobufClient(c.scheme+"://"+address, &c.http)
	c.clients[address] = client
	return client
}

// call runs one call with callTimeout. If the call fails after its context
// ended, idle connections are closed, because a dead one would make the next
// call fail as well.
func (c *Client) call(ctx context.Context, run func(context.Context) error) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	err := run(ctx)
	if err != nil && ctx.Err() != nil {
		if transport, ok := c.http.Transport.(idleCloser); ok {
			transport.CloseIdleConnections()
		}
	}
	return err
}

// Exchange implements membership.Transport.
func (c *Client) Exchange(ctx context.Context, address string, m membership.Message) (membership.Message, error) {
	var reply membership.Message
	err := c.call(ctx, func(ctx context.Context) error {
		w, err := c.clientFor(address).Exchange(ctx, messageToWire(m))
		if err != nil {
			return fmt.Errorf("exchange with %s: %w", address, err)
		}
		reply = messageFromWire(w)
		return nil
	})
	return reply, err
}

// Relay implements membership.Transport.
func (c *Client) Relay(ctx context.Context, address string, target membership.Target) error {
	return c.call(ctx, func(ctx context.Context) error {
		request := &RelayRequest{Name: target.Name, Address: target.Address}
		if _, err := c.clientFor(address).Relay(ctx, request); err != nil {
			return fmt.Errorf("relay by %s: %w", address, err)
		}
		return nil
	})
}

// Push implements spread.Transport.
func (c *Client) Push(ctx context.Context, address string, a spread.Announcement) error {
	return c.call(ctx, func(ctx context.Context) error {
		request := &PushRequest{
			Name: a.Name, Address: a.Address, Incarnation: a.Incarnation, Revision: a.Revision,
		}
		if _, err := c.clientFor(address).Push(ctx, request); err != nil {
			return fmt.Errorf("push to %s: %w", address, err)
		}
		return nil
	})
}

// Pull implements spread.Transport.
func (c *Client) Pull(ctx context.Context, address string, after uint64) (spread.Delta, error) {
	var delta spread.Delta
	err := c.call(ctx, func(ctx context.Context) error {
		w, err := c.clientFor(address).Pull(ctx, &PullRequest{After: after})
		if err != nil {
			return fmt.Errorf("pull from %s: %w", address, err)
		}
		delta = deltaFromWire(w)
		return nil
	})
	return delta, err
}
