// Package uplink finds out whether this router is cut off from the backend servers, while
// other routers reach them.
//
// A failed exchange alone does not tell a router's link from its server: Contacts collects what
// all exchanges show. A Monitor looks at it, asks some servers itself once there is a reason, and
// compares with what other routers hear at the same time. Servers that all stand still are
// silent for every router, and are not taken for a cut.
package uplink

import (
	"sync"
	"sync/atomic"
	"time"
)

const (
	// minOverdue is the least time that an exchange waits for its response, while no server is
	// heard, before that is a reason for suspicion. One that is expected to take long waits
	// overdueFactor times as long as expected.
	minOverdue    = 200 * time.Millisecond
	overdueFactor = 2

	// recentlyHeard is the time in which a byte from any server outweighs the failure of a
	// single one.
	recentlyHeard = 200 * time.Millisecond
)

// Contacts records what a router's exchanges with backend servers show of its links. Its
// methods are safe for concurrent use.
type Contacts struct {
	start time.Time

	// heardAt is when the last byte arrived from any server, since start, in nanoseconds. It
	// is zero before the first one.
	heardAt atomic.Int64

	// mu guards the fields below. waiting are the exchanges without a response, and failing the
	// servers whose connections failed since a new connection brought a response.
	mu      sync.Mutex
	waiting map[*Exchange]struct{}
	failing map[string]struct{}
}

// Exchange is an exchange with a server that waits for its response.
type Exchange struct {
	contacts *Contacts
	server   string
	begunAt  time.Time
	expected time.Duration
}

// NewContacts returns contacts without any exchange.
func NewContacts(now time.Time) *Contacts {
	return &Contacts{start: now, waiting: make(map[*Exchange]struct{}), failing: make(map[string]struct{})}
}

// Begin records that an exchange with a server begins, whose response is expected after a
// time. The exchange has to be ended by one of its methods.
func (c *Contacts) Begin(now time.Time, server string, expected time.Duration) *Exchange {
	x := &Exchange{contacts: c, server: server, begunAt: now, expected: expected}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.waiting[x] = struct{}{}
	return x
}

// Answered ends the exchange with a response. fresh says that it came on a new connection.
func (x *Exchange) Answered(now time.Time, fresh bool) {
	x.Cancel()
	x.contacts.Heard(now)
	if fresh {
		x.contacts.clearFailures()
	}
}

// Failed ends the exchange as its connection could not be made or broke without a response.
func (x *Exchange) Failed() {
	x.Cancel()
	x.contacts.fail(x.server)
}

// Cancel ends the exchange without telling anything about the link. It has no effect on one
// that has ended.
func (x *Exchange) Cancel() {
	x.contacts.mu.Lock()
	defer x.contacts.mu.Unlock()
	delete(x.contacts.waiting, x)
}

// Heard records that bytes arrived from a server.
func (c *Contacts) Heard(now time.Time) { c.heardAt.Store(int64(now.Sub(c.start))) }

// HeardAt returns when the last byte arrived from any server, and false before the first one.
func (c *Contacts) HeardAt() (time.Time, bool) {
	since := c.heardAt.Load()
	return c.start.Add(time.Duration(since)), since != 0
}

// clearFailures forgets failures, as a new connection brought a response.
func (c *Contacts) clearFailures() {
	c.mu.Lock()
	defer c.mu.Unlock()
	clear(c.failing)
}

// fail records that a connection to a server failed.
func (c *Contacts) fail(server string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.failing[server] = struct{}{}
}

// Failing returns the number of servers whose connections failed since a new connection
// brought a response.
func (c *Contacts) Failing() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.failing)
}

// isFailing reports whether the connections of a server failed.
func (c *Contacts) isFailing(server string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	_, failing := c.failing[server]
	return failing
}

// suspicious reports whether the link itself may be the reason of what exchanges show: one is
// overdue and no server was heard since it began, or connections failed.
func (c *Contacts) suspicious(now time.Time) bool {
	heardAt, _ := c.HeardAt()
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.failing) > 1 || len(c.failing) == 1 && now.Sub(heardAt) > recentlyHeard {
		return true
	}
	if now.Sub(heardAt) < minOverdue {
		return false
	}
	for x := range c.waiting {
		if !heardAt.After(x.begunAt) && now.Sub(x.begunAt) >= max(minOverdue, overdueFactor*x.expected) {
			return true
		}
	}
	return false
}
