package hop

import (
	"sync"
	"time"
)

// Pool keeps the unused connections to one backend server. Its methods are
// safe for concurrent use.
type Pool struct {
	address string

	// mu guards the fields below.
	mu     sync.Mutex
	idle   []*conn
	closed bool
}

// NewPool returns a pool without connections.
func NewPool(address string) *Pool {
	return &Pool{address: address}
}

// take returns the unused connection that was used last, or nil. A connection
// that is past its time or on which something has come is closed.
func (p *Pool) take(now time.Time) *conn {
	for {
		c := p.pop()
		if c == nil {
			return nil
		}
		if now.Before(c.expires) && c.quiet() {
			c.reused = true
			return c
		}
		_ = c.Close()
	}
}

// pop removes the connection that was used last.
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

// put keeps a connection for a time.
func (p *Pool) put(c *conn, keep time.Duration) {
	now := time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	if keep <= 0 || p.closed {
		_ = c.Close()
		return
	}
	p.dropExpired(now)
	c.expires = now.Add(keep)
	p.idle = append(p.idle, c)
}

// dropExpired closes the connections past their time. The caller holds p.mu.
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

// CloseIdle closes the unused connections. What silenced one connection may have
// silenced the others.
func (p *Pool) CloseIdle() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.idle {
		_ = c.Close()
	}
	p.idle = nil
}

// Close closes the unused connections and keeps no further ones. Exchanges in
// progress are not affected.
func (p *Pool) Close() {
	p.mu.Lock()
	p.closed = true
	p.mu.Unlock()
	p.CloseIdle()
}
