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
	// IdleTimeout is the time after which an unused connection is closed.
	IdleTimeout = 15 * time.Second

	// maxClients bounds the clients that are kept. Addresses of VMs that were
	// replaced go with the rest when it is reached.
	maxClients = 2048
)

// NewTransport returns a transport for calls between routers. A connection
// that stays unused is closed, and each connection comes up within a second or
// fails.
func NewTransport() *http.Transport {
	const connect = time.Second
	const perPeer = 4
	dialer := &net.Dialer{Timeout: connect, KeepAlive: IdleTimeout}
	return &http.Transport{
		DialContext:           dialer.DialContext,
		IdleConnTimeout:       IdleTimeout,
		MaxIdleConnsPerHost:   1,
		MaxConnsPerHost:       perPeer,
		ResponseHeaderTimeout: deadline,
		DisableCompression:    true,
	}
}

// closer is a round tripper that keeps connections.
type closer interface {
	CloseIdleConnections()
}

// Client calls other routers. It implements the transports of packages
// membership and spread and is safe for concurrent use.
type Client struct {
	http   http.Client
	scheme string

	// mu guards clients, which are kept by address.
	mu      sync.Mutex
	clients map[string]Peer
}

// deadline bounds a call whose context has none.
const deadline = 5 * time.Second

// NewClient returns a client that calls through a round tripper. The caller's
// round tripper adds the Authorization header, if the server asks for one.
// Scheme is http or https.
func NewClient(tripper http.RoundTripper, scheme string) *Client {
	return &Client{http: http.Client{Transport: tripper}, scheme: scheme, clients: make(map[string]Peer)}
}

// Close closes the connections that are not in use.
func (c *Client) Close() {
	c.http.CloseIdleConnections()
}

// client returns the client for an address, which is an IP address and a port.
func (c *Client) client(address string) Peer {
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

// call runs one call within a deadline. If the call ran out of time, idle
// connections are closed, because one that went silent would fail the next
// call as well.
func (c *Client) call(ctx context.Context, f func(context.Context) error) error {
	ctx, cancel := context.WithTimeout(ctx, deadline)
	defer cancel()
	err := f(ctx)
	if err != nil && ctx.Err() != nil {
		if idle, ok := c.http.Transport.(closer); ok {
			idle.CloseIdleConnections()
		}
	}
	return err
}

// Exchange implements membership.Transport.
func (c *Client) Exchange(ctx context.Context, address string, m membership.Message) (membership.Message, error) {
	var answer membership.Message
	err := c.call(ctx, func(ctx context.Context) error {
		w, err := c.client(address).Exchange(ctx, messageToWire(m))
		if err != nil {
			return fmt.Errorf("exchange with %s: %w", address, err)
		}
		answer = messageFromWire(w)
		return nil
	})
	return answer, err
}

// Relay implements membership.Transport.
func (c *Client) Relay(ctx context.Context, address string, target membership.Target) error {
	return c.call(ctx, func(ctx context.Context) error {
		request := &RelayRequest{Name: target.Name, Address: target.Address}
		if _, err := c.client(address).Relay(ctx, request); err != nil {
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
		if _, err := c.client(address).Push(ctx, request); err != nil {
			return fmt.Errorf("push to %s: %w", address, err)
		}
		return nil
	})
}

// Pull implements spread.Transport.
func (c *Client) Pull(ctx context.Context, address string, after uint64) (spread.Delta, error) {
	var delta spread.Delta
	err := c.call(ctx, func(ctx context.Context) error {
		w, err := c.client(address).Pull(ctx, &PullRequest{After: after})
		if err != nil {
			return fmt.Errorf("pull from %s: %w", address, err)
		}
		delta = deltaFromWire(w)
		return nil
	})
	return delta, err
}
