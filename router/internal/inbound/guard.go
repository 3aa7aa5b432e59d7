// Package inbound bounds what callers and other routers hold of a process through the connections
// that it accepts, whatever they send or leave unread: connections, the heads and bodies of
// requests, and responses. A Guard decides that for all addresses of the process.
//
// What is held is bounded by resource. If there is no room, the connection that has waited longest
// for its peer and holds some of the resource is closed, as a peer that behaves sends its request
// at once and reads its response. Requests that wait for nothing from their peers are never cut
// off. If no connection can be closed, what needs the room is refused.
package inbound

import (
	"container/list"
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/juju/errors"
)

// Resource is something that connections hold of the process.
type Resource uint8

const (
	// Connections counts connections. Each one has a descriptor, buffers and a goroutine.
	Connections Resource = iota

	// Heads is the memory for heads that are longer than most, parsed, in bytes.
	Heads

	// Bodies is the memory for the bodies of requests, in bytes.
	Bodies

	// Responses is the memory for responses until the peer has read them, in bytes.
	Responses

	resourceCount
)

// resourceNames are the names in logs and metrics, in the order of the constants.
var resourceNames = [resourceCount]string{"connections", "heads", "bodies", "responses"}

// String returns the name for logs and metrics.
func (r Resource) String() string { return resourceNames[r] }

// Resources returns all resources.
func Resources() []Resource { return []Resource{Connections, Heads, Bodies, Responses} }

const (
	// ErrClosedForOthers means that a connection was closed, as it waited for its peer and others
	// needed what it held.
	ErrClosedForOthers = errors.ConstError("connection closed to make room for others")

	// errNoRoom means that nothing could be closed to make room.
	errNoRoom = errors.ConstError("no room for what a peer sent")
)

const (
	// smallHold is the number of bytes of a resource up to which a connection may use all of it.
	// Those that hold more leave the rest of largeShare, so that a few of them don't keep out all
	// others.
	smallHold  = 32 << 10
	largeShare = 0.75

	// crowdedShare is the fraction of the connections from which on they end with their requests.
	crowdedShare = 0.9

	// admitTime is how long a new connection waits for room, and admitPollInterval the interval at
	// which it looks for it.
	admitTime         = 250 * time.Millisecond
	admitPollInterval = 5 * time.Millisecond

	// writeTime is how long the peer may take to read a part of a response before the connection
	// counts as waiting for it.
	writeTime = 250 * time.Millisecond

	// patience is how long a connection may wait for its peer before a large body or response of
	// another one can take its place. It keeps long uploads from ending each other.
	patience = time.Second
)

// Guard decides what the connections of a process hold. Its methods are safe for concurrent use.
type Guard struct {
	limits Limits

	// report is called when a connection was closed or refused for lack of a resource, without a
	// lock.
	report func(r Resource, err error)

	// mu guards the fields below and the fields of connections that say so. It is a leaf.
	mu   sync.Mutex
	held [resourceCount]int64

	// waiting are the connections that wait for their peers, the longest one first.
	waiting *list.List
}

// NewGuard returns a guard without connections. The report function must not block.
func NewGuard(limits Limits, report func(r Resource, err error)) *Guard {
	return &Guard{limits: limits, report: report, waiting: list.New()}
}

// Held returns how much of a resource is held.
func (g *Guard) Held(r Resource) int64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.held[r]
}

// admit takes a new connection in. If there is no room for it, it waits for some time, as requests
// end soon. It returns false if there is none then.
func (g *Guard) admit(c *Conn) bool {
	for end := time.Now().Add(admitTime); ; time.Sleep(admitPollInterval) {
		last := !time.Now().Before(end)
		closed, ok := g.tryReserve(c, Connections, 1)
		if !ok && !last {
			continue
		}
		g.reportReserve(Connections, closed, ok)
		if ok {
			c.setActivity(func(*Conn) {})
		}
		return ok
	}
}

// crowded reports whether connections take so much of what they may that they are to end with
// their requests.
func (g *Guard) crowded() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	limit := g.limits[Connections]
	return limit > 0 && float64(g.held[Connections]) > crowdedShare*float64(limit)
}

// reserve takes an amount of a resource for a connection, and closes others if it has to. It
// returns false, and takes nothing, if that does not help.
func (g *Guard) reserve(c *Conn, r Resource, amount int64) bool {
	closed, ok := g.tryReserve(c, r, amount)
	g.reportReserve(r, closed, ok)
	return ok
}

// reportReserve reports how many connections were closed for a reservation, and whether it failed.
func (g *Guard) reportReserve(r Resource, closed int, ok bool) {
	for range closed {
		g.report(r, ErrClosedForOthers)
	}
	if !ok {
		g.report(r, errNoRoom)
	}
}

// tryReserve is reserve without the reports. It returns the number of connections that it closed.
func (g *Guard) tryReserve(c *Conn, r Resource, amount int64) (closed int, ok bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if c.closed {
		return 0, false
	}
	small := r == Connections || c.held[r]+amount <= smallHold
	limit := g.limits[r]
	if !small {
		limit = int64(largeShare * float64(limit))
	}
	for g.limits[r] > 0 && g.held[r]+amount > limit {
		other := g.longestWaiting(c, r, small)
		if other == nil {
			return closed, false
		}
		g.evict(other)
		closed++
	}
	g.held[r] += amount
	c.held[r] += amount
	return closed, true
}

// longestWaiting returns the connection that has waited longest for its peer among those that
// hold some of a resource, or nil. Unless it is for a small hold, or for heads, it has waited for
// some time. The caller holds g.mu.
func (g *Guard) longestWaiting(except *Conn, r Resource, small bool) *Conn {
	for e := g.waiting.Front(); e != nil; e = e.Next() {
		c := e.Value.(*Conn)
		waited := time.Since(c.waitsSince)
		if !small && r != Heads && waited < patience {
			return nil // The others have waited for less.
		}
		responding := c.handling && !c.readingBody && waited < writeTime
		if c != except && c.held[r] > 0 && !responding {
			return c
		}
	}
	return nil
}

// evict closes a connection and gives back what it holds. The memory follows once its goroutine
// has ended. The caller holds g.mu.
func (g *Guard) evict(c *Conn) {
	c.evicted = true
	if c.unread() > 0 {
		_ = c.SetLinger(0) // What the peer does not read would stay in the socket.
	}
	g.remove(c)
	_ = c.TCPConn.Close() // Reads and writes in progress fail; the server closes it again.
}

// evictLongestWaiting closes a connection to free its descriptor. It returns false if none waits.
func (g *Guard) evictLongestWaiting() bool {
	g.mu.Lock()
	c := g.longestWaiting(nil, Connections, true)
	if c != nil {
		g.evict(c)
	}
	g.mu.Unlock()
	if c != nil {
		g.report(Connections, ErrClosedForOthers)
	}
	return c != nil
}

// release gives back an amount of a resource.
func (g *Guard) release(c *Conn, r Resource, amount int64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.releaseLocked(c, r, amount)
}

// releaseLocked gives back an amount of a resource, at most what the connection holds: it may have
// been closed for others meanwhile. The caller holds g.mu.
func (g *Guard) releaseLocked(c *Conn, r Resource, amount int64) {
	amount = min(amount, c.held[r])
	g.held[r] -= amount
	c.held[r] -= amount
}

// remove gives back all that a connection holds. The caller holds g.mu.
func (g *Guard) remove(c *Conn) {
	c.closed = true
	g.proceed(c)
	for _, r := range Resources() {
		g.releaseLocked(c, r, c.held[r])
	}
}

// wait records that a connection waits for its peer from now on, unless it does already. The caller
// holds g.mu.
func (g *Guard) wait(c *Conn) {
	if c.place == nil && !c.closed {
		c.waitsSince = time.Now()
		c.place = g.waiting.PushBack(c)
	}
}

// proceed records that a connection does not wait for its peer. The caller holds g.mu.
func (g *Guard) proceed(c *Conn) {
	if c.place != nil {
		g.waiting.Remove(c.place)
		c.place = nil
	}
}

// refusedError is the error of a read whose peer was refused. The server does not answer it.
func refusedError(c net.Conn) error {
	return &net.OpError{Op: "read", Net: "tcp", Source: c.LocalAddr(), Addr: c.RemoteAddr(), Err: fmt.Errorf("head refused: %w", errNoRoom)}
}
