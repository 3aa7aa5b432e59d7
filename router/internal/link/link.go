// Package link is the path from this router to one backend server: its
// connections, the latency to it and the signs of silence. A link makes single
// exchanges and never repeats one: it knows for each failed exchange whether a
// byte of it can have reached the server. The package imports the standard
// library only.
package link

import (
	"context"
	"crypto/tls"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	defaultConnect  = time.Second
	defaultIdle     = 64
	defaultIdleTime = 30 * time.Second

	keepAliveIdle     = 5 * time.Second
	keepAliveInterval = time.Second
	keepAliveCount    = 3

	// maxHeader bounds the headers of an answer, in bytes.
	maxHeader = 64 << 10
)

// Dial opens a connection. It has the form that net.Dialer has.
type Dial func(ctx context.Context, network, address string) (net.Conn, error)

// Config describes a link. Zero fields get defaults.
type Config struct {
	// Address is the IP address and port of the backend server.
	Address string

	// Dial opens connections. The default dials TCP with keepalive probes.
	Dial Dial

	// ConnectTimeout bounds the time for opening a connection.
	ConnectTimeout time.Duration

	// MaxIdle is the largest number of unused connections that are kept.
	MaxIdle int

	// IdleTimeout is how long an unused connection is kept.
	IdleTimeout time.Duration
}

// State is what a link knows of its path.
type State struct {
	// Latency is the smoothed round-trip time and Deviation its smoothed
	// mean deviation. Both are zero before the first sample.
	Latency   time.Duration
	Deviation time.Duration

	// Silent counts the connections that were left because they went silent
	// since the server answered last on any connection.
	Silent int

	// Failures counts the exchanges that failed since the server answered
	// last on any connection.
	Failures int

	// Answered is when the server answered last.
	Answered time.Time

	// Epoch is the server's epoch in its last answer. It changes when the
	// server has forgotten which attempts it ran. Empty means that the server
	// has not told one.
	Epoch string
}

// Link is the path to one backend server. Its methods are safe for concurrent
// use. Close must be called to give up its idle connections.
type Link struct {
	config Config
	pooled *http.Transport
	fresh  *http.Transport

	// mu guards the fields below.
	mu       sync.Mutex
	estimate estimate
	state    State
}

// New returns a link. No connection is opened before the first exchange.
func New(config Config) *Link {
	l := &Link{config: withDefaults(config)}
	l.pooled = l.transport()
	l.fresh = l.transport()
	l.fresh.DisableKeepAlives = true
	return l
}

// State returns what the link knows.
func (l *Link) State() State {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.state
	s.Latency, s.Deviation = l.estimate.mean, l.estimate.deviation
	return s
}

// Address returns the address of the backend server.
func (l *Link) Address() string {
	return l.config.Address
}

// RecordSilence notes that a connection went silent. What made one connection silent
// may have hit the others, so the unused ones are closed. Connections in use
// have progress deadlines of their own.
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
	l.estimate.add(d)
}

// Close closes the unused connections. Exchanges in progress are not affected.
func (l *Link) Close() {
	l.pooled.CloseIdleConnections()
	l.fresh.CloseIdleConnections()
}

// answered notes an answer of the server.
func (l *Link) answered(epoch string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.state.Answered = time.Now()
	l.state.Silent, l.state.Failures = 0, 0
	if epoch != "" {
		l.state.Epoch = epoch
	}
}

// failed notes an exchange without an answer.
func (l *Link) failed() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.state.Failures++
}

// transport returns a transport that speaks HTTP/1.1 only, without a proxy and
// without compression of its own.
func (l *Link) transport() *http.Transport {
	return &http.Transport{
		DialContext:            l.dial,
		DisableCompression:     true,
		MaxIdleConns:           l.config.MaxIdle,
		MaxIdleConnsPerHost:    l.config.MaxIdle,
		IdleConnTimeout:        l.config.IdleTimeout,
		MaxResponseHeaderBytes: maxHeader,
		TLSNextProto:           map[string]func(string, *tls.Conn) http.RoundTripper{},
	}
}

// dial opens a counted connection and takes its time as a latency sample.
func (l *Link) dial(ctx context.Context, network, address string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, l.config.ConnectTimeout)
	defer cancel()
	begun := time.Now()
	inner, err := l.config.Dial(ctx, network, address)
	if err != nil {
		return nil, fmt.Errorf("connect to %s: %w", address, err)
	}
	l.ObserveRoundTrip(time.Since(begun))
	return &conn{Conn: inner}, nil
}

// withDefaults fills in the zero fields of config.
func withDefaults(config Config) Config {
	if config.ConnectTimeout == 0 {
		config.ConnectTimeout = defaultConnect
	}
	if config.MaxIdle == 0 {
		config.MaxIdle = defaultIdle
	}
	if config.IdleTimeout == 0 {
		config.IdleTimeout = defaultIdleTime
	}
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
