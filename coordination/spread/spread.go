// Package spread replicates revisions of the settings to every router. Each
// router polls the table at an interval that keeps the reads of all routers
// together within a budget. The first router that learns of a revision pushes
// its number to a few others, and a router that lacks it pulls the entries from
// the router that announced it. Revision numbers also travel on the membership
// probes, so that no router depends on a push.
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

// Delta leads from one revision to a newer one. It holds either the entries
// that follow the older revision, without gaps, or a snapshot and the entries
// that follow the snapshot. It is empty if there is nothing newer.
type Delta struct {
	Snapshot *revision.Snapshot
	Entries  []revision.Entry
}

// Source reads the revision log in the table.
type Source interface {
	// Head returns the newest revision. It takes one read.
	Head(ctx context.Context) (uint64, error)

	// Since returns the delta from revision after to the newest.
	Since(ctx context.Context, after uint64) (Delta, error)
}

// Announcement says that a revision is in force at a process.
type Announcement struct {
	Name        string
	Address     string
	Incarnation uint64
	Revision    uint64
}

// Transport carries revisions between routers. Each call honors the deadline of
// its context. Implementations must be safe for concurrent use.
type Transport interface {
	// Push announces a revision to the router at address.
	Push(ctx context.Context, address string, a Announcement) error

	// Pull asks the router at address for the delta from revision after to its
	// own.
	Pull(ctx context.Context, address string, after uint64) (Delta, error)
}

// Membership is the part of *membership.Node that this package uses.
type Membership interface {
	View() *membership.View
	Listed() []membership.VM
	Reachability() membership.Reachability
}

// Installer puts settings in force.
type Installer interface {
	// Install returns once all requests that start from then on run under the
	// snapshot. If it returns an error, the router stays at the previous
	// revision and the installation is retried.
	Install(ctx context.Context, snapshot *revision.Snapshot) error
}

// Hint is the payload that the replicator adds to membership probes.
type Hint struct {
	// Revision is the revision in force at the sender, zero if it has none.
	Revision uint64

	// Fresh says that the sender knew the newest revision at some time. Age is
	// how long ago it last did.
	Fresh bool
	Age   time.Duration

	// RosterHash is the hash of the live members in the sender's view. Lags
	// follows the order of these members.
	RosterHash uint64

	// Base is the highest revision confirmed by a live member.
	Base uint64

	// Lags holds one byte for each live member: by how many revisions its
	// confirmed revision is behind Base, or unknownLag, which is 255.
	Lags []byte
}

// Codec encodes and decodes hints.
type Codec interface {
	Encode(h Hint) []byte
	Decode(raw []byte) (Hint, error)
}

// Config identifies a router and sets the timing of its replicator. Zero values
// take the default given with each field.
type Config struct {
	Self      Announcement
	Source    Source
	Transport Transport
	Installer Installer
	Codec     Codec

	// ReadsPerSecond is the number of reads of the table's head per second that all
	// routers make together. ReadsPerSecond of entries come on top, about ten for a
	// change among many routers. Default 40.
	ReadsPerSecond float64

	// MinPollInterval is the minimum time between two polls. Default 500 ms.
	MinPollInterval time.Duration

	// Fanout is the number of routers that a revision is pushed to. Default 3.
	Fanout int

	// PushInterval is the minimum time between two rounds of pushes, so that a
	// burst of changes is announced in one round. Default 250 ms.
	PushInterval time.Duration

	// CallTimeout bounds each call to the table or to a peer. Default 2 s.
	CallTimeout time.Duration

	// EntryLogBytes is the size of the entries that are kept for routers that
	// are a few revisions behind. Default 1 MiB.
	EntryLogBytes int
}

// setDefaults replaces values that are not positive by their defaults.
func (c *Config) setDefaults() {
	c.ReadsPerSecond = orDefault(c.ReadsPerSecond, 40)
	c.MinPollInterval = orDefault(c.MinPollInterval, 500*time.Millisecond)
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

// pollInterval returns the time between two polls of one router among n.
func (c *Config) pollInterval(n int) time.Duration {
	return max(c.MinPollInterval, time.Duration(float64(n)/c.ReadsPerSecond*float64(time.Second)))
}
