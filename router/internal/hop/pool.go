package hop

import (
	"net/netip"
	"sync"
	"time"
)

// Pool keeps idle connections to one backend server. Its methods are safe for
// concurrent use.
type Pool struct {
	address string

	// local is the address that connections come from, or invalid for any.
	local netip.Addr

	// mu guards the fields below.
	mu     sync.Mutex
	idle   []*conn
	closed bool
}

// NewPool returns an empty pool for connections to the address.
func NewPool(address string) *Pool {
	return &Pool{address: address}
}

// NewPoolFrom returns an empty pool for connections to the address that come from a local
// address.
func NewPoolFrom(local netip.Addr, address string) *Pool {
	return &Pool{address: address, local: local}
}

// get returns the most recently used idle connection, or nil. Connections that
// have expired or on which something has arrived are closed.
func (p *Pool) get(now time.Time) *conn {
	for {
		c := p.pop()
		if c == nil {
			return nil
		}
		if now.Before(c.expires) && c.usable() {
			c.reused = true
			return c
		}
		_ = c.Close()
	}
}

// pop removes and returns the most recently used idle connection, or nil.
func (p *Pool) pop() *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.idle) == 0 {
		return nil
	}
	c := p.idle[len(p.idle)-1]
	p.idle = p.idle[:len(p.idle)-1]
	return c
}

// put keeps an idle connection for a time, and closes expired ones. If the time
// is not positive or the pool is closed, it closes the connection.
func (p *Pool) put(c *conn, idleTime time.Duration) {
	now := time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	if idleTime <= 0 || p.closed {
		_ = c.Close()
		return
	}
	p.dropExpired(now)
	c.expires = now.Add(idleTime)
	p.idle = append(p.idle, c)
}

// dropExpired closes the connections that have expired. The caller holds p.mu.
func (p *Pool) dropExpired(now time.Time) {
	kept := p.idle[:0]
	for _, c := range p.idle {
		if now.Before(c.expires) {
			kept = append(kept, c)
			continue
		}
		_ = c.Close()
	}
	p.idle = kept
}

// CloseIdle closes the idle connections. It is called after a connection
// failed, as the others may be broken for the same reason.
func (p *Pool) CloseIdle() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.idle {
		_ = c.Close()
	}
	p.idle = nil
}

// Close closes the idle connections and keeps no further ones. Exchanges in
// progress are not affected.
func (p *Pool) Close() {
	p.mu.Lock()
	p.closed = true
	p.mu.Unlock()
	p.CloseIdle()
}
