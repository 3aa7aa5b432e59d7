// Package spread carries revisions of the settings to every router. Each
// router polls the table at an interval that keeps the reads of all routers
// within a budget; the first that learns of a revision pushes its number to a
// few others, and whoever lacks it pulls the entries from the router that told
// of it. Numbers also travel on the probes of the membership, so that nobody
// depends on a push.
//
// A router never goes back to a lower revision. The package imports packages
// membership and revision.
package spread

import (
	"context"
	"time"

	"snipetally.example/coordination/membership"
	"snipetally.example/coordination/revision"
)

// Delta is what leads from one revision to a newer one: either the entries
// that follow it, without gaps, or a snapshot and the entries that follow the
// snapshot. It is empty if there is nothing newer.
type Delta struct {
	Snapshot *revision.Snapshot
	Entries  []revision.Entry
}

// Source is the log in the table.
type Source interface {
	// Head returns the newest revision. It costs one read.
	Head(ctx context.Context) (uint64, error)

	// Since returns what leads from revision after to the newest.
	Since(ctx context.Context, after uint64) (Delta, error)
}

// Announcement tells that a process has a revision in force.
type Announcement struct {
	Name        string
	Address     string
	Incarnation uint64
	Revision    uint64
}

// Transport carries revisions between routers. Each call honors the deadline
// of its context. Implementations are safe for concurrent use.
type Transport interface {
	// Push tells the router at address of a revision.
	Push(ctx context.Context, address string, a Announcement) error

	// Pull asks the router at address for what leads from revision after to
	// its own.
	Pull(ctx context.Context, address string, after uint64) (Delta, error)
}

// Membership is the membership as this package uses it.
type Membership interface {
	Members() *membership.View
	Listed() []membership.VM
	Reach() membership.Reachability
}

// Installer puts settings in force. It returns when requests that start from
// then on run under the snapshot. An error leaves the router at the revision
// before, and the installation is tried again.
type Installer interface {
	Install(ctx context.Context, snapshot *revision.Snapshot) error
}

// Hint is what travels on the probes of the membership.
type Hint struct {
	// Revision is the revision in force at the sender, zero if it has none.
	Revision uint64

	// Fresh says that the sender has known the newest revision, Age ago.
	Fresh bool
	Age   time.Duration

	// RosterHash is the roster of the sender's view. The lags below follow the
	// order of its live members.
	RosterHash uint64

	// Base is the highest revision confirmed by a live member.
	Base uint64

	// Lags holds one byte for each live member: how far its confirmed revision
	// is behind Base, or unknownLag.
	Lags []byte
}

// Codec turns hints to bytes and back.
type Codec interface {
	Encode(h Hint) []byte
	Decode(raw []byte) (Hint, error)
}

// Config says who a spreader is and how it keeps time. Zero values take the
// defaults given with each.
type Config struct {
	Self      Announcement
	Source    Source
	Transport Transport
	Installer Installer
	Codec     Codec

	// Reads is the number of reads a second of the table's head that all
	// routers together make. Reads of entries come on top, about ten for a
	// change among many routers. Default 40.
	Reads float64

	// Least is the least time between two polls. Default 500 ms.
	Least time.Duration

	// Fanout is the number of routers that a revision is pushed to. Default 3.
	Fanout int

	// PushInterval is the least time between two rounds of pushes, so that a burst
	// of changes goes in one. Default 250 ms.
	PushInterval time.Duration

	// CallTimeout bounds each call to the table or to a peer. Default 2 s.
	CallTimeout time.Duration

	// EntryLogBytes is the number of bytes of entries kept for routers that are behind
	// by a few revisions. Default 1 MiB.
	EntryLogBytes int
}

// fill sets the defaults.
func (c *Config) fill() {
	c.Reads = orDefault(c.Reads, 40)
	c.Least = orDefault(c.Least, 500*time.Millisecond)
	c.Fanout = orDefault(c.Fanout, 3)
	c.PushInterval = orDefault(c.PushInterval, 250*time.Millisecond)
	c.CallTimeout = orDefault(c.CallTimeout, 2*time.Second)
	c.EntryLogBytes = orDefault(c.EntryLogBytes, 1<<20)
}

// orDefault returns v, or fallback if v is not positive.
func orDefault[N int | float64 | time.Duration](v, fallback N) N {
	if v <= 0 {
		return fallback
	}
	return v
}

// interval returns the time between two polls among n routers.
func (c *Config) interval(n int) time.Duration {
	return max(c.Least, time.Duration(float64(n)/c.Reads*float64(time.Second)))
}
