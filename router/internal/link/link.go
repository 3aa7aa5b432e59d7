// Package link makes HTTP exchanges with one backend server. A link manages the
// connections to the server, estimates the round-trip time, and counts failures
// and silent connections. It never sends a request twice, and reports for each
// failed exchange whether a byte of it may have reached the server. The package
// imports the standard library and the error library only.
package link

import (
	"cmp"
	"context"
	"crypto/tls"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	"snipetally.example/coordination/response"
)

const (
	defaultConnectTimeout = time.Second
	defaultMaxIdle        = 64
	defaultIdleTimeout    = 30 * time.Second

	keepAliveIdle     = 5 * time.Second
	keepAliveInterval = time.Second
	keepAliveCount    = 3

	// maxHeaderBytes bounds the headers of a response.
	maxHeaderBytes = 64 << 10
)

// Dial opens a connection. Its signature is that of net.Dialer.DialContext.
type Dial func(ctx context.Context, network, address string) (net.Conn, error)

// Config configures a Link. Zero fields get defaults.
type Config struct {
	// Address is the IP address and port of the backend server.
	Address string

	// Dial opens connections. The default dials TCP with keepalive probes.
	Dial Dial

	// ConnectTimeout bounds the time for opening a connection.
	ConnectTimeout time.Duration

	// MaxIdle is the maximum number of idle connections that are kept.
	MaxIdle int

	// IdleTimeout is how long an idle connection is kept.
	IdleTimeout time.Duration
}

// State holds what a link has observed of its server and connections.
type State struct {
	// Latency is the smoothed round-trip time and Deviation its smoothed mean
	// deviation. Both are zero before the first sample.
	Latency   time.Duration
	Deviation time.Duration

	// Silent counts the connections that were given up because they went silent,
	// since the server last answered on any connection.
	Silent int

	// Failures counts the exchanges that failed since the server last answered
	// on any connection.
	Failures int

	// Answered is when the server last answered.
	Answered time.Time

	// Epoch is the last epoch that the server sent in a response. It changes when
	// the server has forgotten which attempts it ran. It is empty if the server
	// has not sent one.
	Epoch string
}

// Link makes exchanges with one backend server. Its methods are safe for
// concurrent use. Close must be called to close its idle connections.
type Link struct {
	config Config

	// pooled reuses connections. unpooled opens a new one for each exchange.
	pooled   *http.Transport
	unpooled *http.Transport

	// mu guards the fields below.
	mu    sync.Mutex
	rtt   rttEstimate
	state State
}

// New returns a link. No connection is opened before the first exchange.
func New(config Config) *Link {
	l := &Link{config: withDefaults(config)}
	l.pooled = l.transport()
	l.unpooled = l.transport()
	l.unpooled.DisableKeepAlives = true
	return l
}

// State returns the current state of the link.
func (l *Link) State() State {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.state
	s.Latency, s.Deviation = l.rtt.mean, l.rtt.deviation
	return s
}

// Address returns the address of the backend server.
func (l *Link) Address() string {
	return l.config.Address
}

// RecordSilence records that a connection went silent. The cause may affect the
// other connections too, so the idle ones are closed. Connections in use have
// their own progress timeouts.
func (l *Link) RecordSilence() {
	l.mu.Lock()
	l.state.Silent++
	l.mu.Unlock()
	l.pooled.CloseIdleConnections()
}

// ObserveRoundTrip adds a sample of the round-trip time.
func (l *Link) ObserveRoundTrip(d time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.rtt.add(d)
}

// Close closes the idle connections. It does not affect exchanges in progress.
func (l *Link) Close() {
	l.pooled.CloseIdleConnections()
	l.unpooled.CloseIdleConnections()
}

// recordResponse records that the server answered, and its epoch unless empty.
func (l *Link) recordResponse(epoch string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.state.Answered = time.Now()
	l.state.Silent, l.state.Failures = 0, 0
	if epoch != "" {
		l.state.Epoch = epoch
	}
}

// recordFailure records an exchange without a response.
func (l *Link) recordFailure() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.state.Failures++
}

// transport returns a transport that uses HTTP/1.1 only, no proxy, and no
// transparent compression.
func (l *Link) transport() *http.Transport {
	return &http.Transport{
		DialContext:            l.dial,
		DisableCompression:     true,
		MaxIdleConns:           l.config.MaxIdle,
		MaxIdleConnsPerHost:    l.config.MaxIdle,
		IdleConnTimeout:        l.config.IdleTimeout,
		MaxResponseHeaderBytes: maxHeaderBytes,
		TLSNextProto:           map[string]func(string, *tls.Conn) http.RoundTripper{},
	}
}

// dial opens a counting connection and takes the time to connect as a sample of
// the round-trip time.
func (l *Link) dial(ctx context.Context, network, address string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, l.config.ConnectTimeout)
	defer cancel()
	start := time.Now()
	inner, err := response.Checked(response.DialFunc(l.config.Dial))(ctx, network, address)
	if err != nil {
		return nil, fmt.Errorf("connect to %s: %w", address, err)
	}
	l.ObserveRoundTrip(time.Since(start))
	return &conn{Conn: inner}, nil
}

// withDefaults sets the zero fields of config to their defaults.
func withDefaults(config Config) Config {
	config.ConnectTimeout = cmp.Or(config.ConnectTimeout, defaultConnectTimeout)
	config.MaxIdle = cmp.Or(config.MaxIdle, defaultMaxIdle)
	config.IdleTimeout = cmp.Or(config.IdleTimeout, defaultIdleTimeout)
	if config.Dial == nil {
		dialer := &net.Dialer{KeepAliveConfig: net.KeepAliveConfig{
			Enable:   true,
			Idle:     keepAliveIdle,
			Interval: keepAliveInterval,
			Count:    keepAliveCount,
		}}
		config.Dial = dialer.DialContext
	}
	return config
}
