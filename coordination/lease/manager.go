// Package lease implements leases in the platform's table service. A lease has
// one holder at a time and a fencing token that increases with each new holder.
// The package imports packages table and pause, the protobuf runtime,
// golang.org/x/sync and the standard library.
//
// A holder counts the duration of its lease from before it sent the write that
// acquired or renewed it. A successor counts from after it read the row, and
// takes the lease once the row has stayed unchanged for the duration in the row
// plus a margin. No clock is compared with that of another VM. Only the rates
// of the clocks must agree to within the margin.
package lease

import (
	"cmp"
	"context"
	"crypto/rand"
	"fmt"
	mathrand "math/rand/v2"
	"time"

	"github.com/juju/errors"

	"snipetally.example/coordination/pause"
	"snipetally.example/coordination/table"
)

const (
	defaultDuration     = 10 * time.Second
	defaultMargin       = 2 * time.Second
	defaultPollInterval = time.Second
	defaultCallTimeout  = 2 * time.Second

	// ErrHeld means that another process holds the lease.
	ErrHeld = errors.ConstError("lease held by another")

	// ErrLost means that the lease ended or was taken over.
	ErrLost = errors.ConstError("lease lost")
)

// Config configures a Manager. Zero fields other than Holder get defaults.
// All processes must use the same Margin.
type Config struct {
	// Prefix is the prefix of the row keys.
	Prefix string

	// Holder is the name of the process, for operators to read.
	Holder string

	// Duration is how long a lease is valid after a write.
	Duration time.Duration

	// Margin is how much longer than its duration a successor observes an
	// unchanged row. It covers clocks that run at different rates and the time
	// between the check of a lease and the arrival of a command that is sent
	// under it.
	Margin time.Duration

	// PollInterval is the mean time between two reads of the row of a lease
	// that another process holds.
	PollInterval time.Duration

	// CallTimeout bounds each call to the table.
	CallTimeout time.Duration
}

// Manager acquires leases. It is safe for concurrent use.
type Manager struct {
	table  table.Table
	config Config
}

// NewManager returns a manager of leases in the table.
func NewManager(t table.Table, config Config) *Manager {
	config.Prefix = cmp.Or(config.Prefix, "lease/")
	config.Duration = cmp.Or(config.Duration, defaultDuration)
	config.Margin = cmp.Or(config.Margin, defaultMargin)
	config.PollInterval = cmp.Or(config.PollInterval, defaultPollInterval)
	config.CallTimeout = cmp.Or(config.CallTimeout, defaultCallTimeout)
	return &Manager{table: t, config: config}
}

// Acquire waits until it acquires the lease or ctx ends. It retries after
// failures of the table. The error wraps that of ctx and the last failure.
func (m *Manager) Acquire(ctx context.Context, name string) (*Lease, error) {
	observed := observation{}
	var last error
	for {
		l, err := m.tryAcquire(ctx, name, &observed)
		if err == nil {
			return l, nil
		}
		last = err
		// Jitter keeps waiting processes from reading the row at the same time.
		wait := m.config.PollInterval*3/4 + mathrand.N(m.config.PollInterval/2)
		if !pause.For(ctx, wait) {
			return nil, fmt.Errorf("acquire lease %q: %w: %w", name, ctx.Err(), last)
		}
	}
}

// observation is what a successor has observed of a row.
type observation struct {
	version uint64
	since   ClockReading
	seen    bool
}

// expired reports whether the row has stayed unchanged for its duration plus
// the margin. If the row has changed, the observation starts again. The clocks
// were read as before and after around the read of the row. The time is counted
// from after the first read of this version until before the current read.
func (o *observation) expired(r row, before, after ClockReading, margin time.Duration) bool {
	if !o.seen || o.version != r.version {
		*o = observation{version: r.version, since: after, seen: true}
		return false
	}
	return o.since.MinElapsed(before) >= r.duration+margin
}

// tryAcquire reads the row once and takes the lease if it is free or has
// expired.
func (m *Manager) tryAcquire(ctx context.Context, name string, observed *observation) (*Lease, error) {
	before := ReadClocks()
	old, err := m.read(ctx, name)
	if err != nil {
		return nil, err
	}
	if old.holder != "" && !observed.expired(old, before, ReadClocks(), m.config.Margin) {
		return nil, fmt.Errorf("%w: %q", ErrHeld, old.holder)
	}
	next := row{holder: m.config.Holder, fence: old.fence + 1, duration: m.config.Duration}
	validFrom := ReadClocks()
	version, err := m.replace(ctx, name, old.version, next)
	if err != nil {
		return nil, err
	}
	l := &Lease{manager: m, name: name, fence: next.fence, waited: old.holder != "" || old.fence == 0}
	l.acquiredAt = validFrom
	l.validFrom, l.version = validFrom, version
	return l, nil
}

// read reads the row of a lease.
func (m *Manager) read(ctx context.Context, name string) (row, error) {
	ctx, cancel := context.WithTimeout(ctx, m.config.CallTimeout)
	defer cancel()
	rows, err := m.table.Read(ctx, m.config.Prefix+name)
	if err != nil {
		return row{}, fmt.Errorf("read lease: %w", err)
	}
	return decode(rows[0].Value, rows[0].Version)
}

// replace writes the row if it still has the given version, and returns the new
// version. It reports success only after it has read its own nonce back, which
// also covers a write whose response was lost. A write that takes effect later
// than that is not used: its row counts as held until it expires.
func (m *Manager) replace(ctx context.Context, name string, version uint64, next row) (uint64, error) {
	next.nonce = rand.Text()
	value, err := encode(next)
	if err != nil {
		return 0, err
	}
	key := m.config.Prefix + name
	commitCtx, cancel := context.WithTimeout(ctx, m.config.CallTimeout)
	defer cancel()
	err = m.table.Commit(commitCtx, table.Transaction{
		Checks: []table.Check{{Key: key, Version: version}},
		Writes: []table.Write{{Key: key, Value: value}},
	})
	notApplied := errors.Is(err, table.ErrConflict) || errors.Is(err, table.ErrUnavailable)
	if err != nil && notApplied && !errors.Is(err, table.ErrUncertain) {
		return 0, fmt.Errorf("write lease: %w", err)
	}
	current, readErr := m.read(ctx, name)
	if readErr != nil {
		return 0, fmt.Errorf("read back: %w", readErr)
	}
	if current.nonce != next.nonce {
		return 0, fmt.Errorf("write lease: %w: %w", table.ErrConflict, ErrHeld)
	}
	return current.version, nil
}
