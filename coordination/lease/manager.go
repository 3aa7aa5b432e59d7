// Package lease keeps leases in the platform's table service. A lease has one
// holder at a time and a fencing number that rises with each new holder. The
// package imports package table, the protobuf runtime, golang.org/x/sync and
// the standard library.
//
// A holder counts its lease from before it sent the write that gained or
// renewed it. A successor counts from after it saw the row, and takes the lease
// once the row stayed unchanged for the duration in the row and a margin. No
// clock is compared with that of another VM; only the rates of the clocks must
// agree to within the margin.
package lease

import (
	"context"
	"crypto/rand"
	"fmt"
	mathrand "math/rand/v2"
	"time"

	"github.com/juju/errors"

	"snipetally.example/coordination/table"
)

const (
	defaultDuration = 10 * time.Second
	defaultMargin   = 2 * time.Second
	defaultPoll     = time.Second
	defaultCall     = 2 * time.Second

	// ErrHeld says that another holds the lease.
	ErrHeld = errors.ConstError("lease held by another")

	// ErrLost says that the lease ended or was taken over.
	ErrLost = errors.ConstError("lease lost")
)

// Settings configure a Manager. Zero fields other than Holder take defaults.
// All processes use the same Margin.
type Settings struct {
	// Prefix starts the keys of the rows.
	Prefix string

	// Holder names the process, for operators to read.
	Holder string

	// Duration is how long a lease lasts after a write.
	Duration time.Duration

	// Margin is how much longer than its duration a successor watches an
	// unchanged row. It covers clocks that run at different rates and the time
	// between the check of a lease and the arrival of an order.
	Margin time.Duration

	// PollInterval is the mean time between two looks at a row that is held, each of
	// which is one read of the table.
	PollInterval time.Duration

	// CallTimeout bounds each call of the table.
	CallTimeout time.Duration
}

// Manager acquires leases. It is safe for concurrent use.
type Manager struct {
	table    table.Table
	settings Settings
}

// NewManager returns a manager of leases in the table.
func NewManager(t table.Table, settings Settings) *Manager {
	fill(&settings.Prefix, "lease/")
	fill(&settings.Duration, defaultDuration)
	fill(&settings.Margin, defaultMargin)
	fill(&settings.PollInterval, defaultPoll)
	fill(&settings.CallTimeout, defaultCall)
	return &Manager{table: t, settings: settings}
}

// fill sets target to value if it is zero.
func fill[T comparable](target *T, value T) {
	var zero T
	if *target == zero {
		*target = value
	}
}

// Acquire waits until it gets the lease or ctx ends. Failures of the table are
// tried again. The error is that of ctx, with the last failure.
func (m *Manager) Acquire(ctx context.Context, name string) (*Lease, error) {
	watch := watch{}
	var last error
	for {
		l, err := m.try(ctx, name, &watch)
		if err == nil {
			return l, nil
		}
		last = err
		// Jitter keeps the processes that wait from looking together.
		pause := m.settings.PollInterval*3/4 + mathrand.N(m.settings.PollInterval/2)
		if !sleep(ctx, pause) {
			return nil, fmt.Errorf("acquire lease %q: %w: %w", name, ctx.Err(), last)
		}
	}
}

// watch is what a successor has seen of a row.
type watch struct {
	version uint64
	since   ClockReading
	seen    bool
}

// passed reports whether the row has been seen unchanged for its duration and
// the margin. A changed row starts the watch anew. The reading of the clocks
// was taken after the row was read the first time, and before it was read now.
func (w *watch) passed(r row, before, after ClockReading, margin time.Duration) bool {
	if !w.seen || w.version != r.version {
		*w = watch{version: r.version, since: after, seen: true}
		return false
	}
	return w.since.MinElapsed(before) >= r.duration+margin
}

// try looks at the row once and takes the lease if it is free or has run out.
func (m *Manager) try(ctx context.Context, name string, w *watch) (*Lease, error) {
	before := ReadClocks()
	old, err := m.read(ctx, name)
	if err != nil {
		return nil, err
	}
	if old.holder != "" && !w.passed(old, before, ReadClocks(), m.settings.Margin) {
		return nil, fmt.Errorf("%w: %q", ErrHeld, old.holder)
	}
	next := row{holder: m.settings.Holder, fence: old.fence + 1, duration: m.settings.Duration}
	start := ReadClocks()
	version, err := m.replace(ctx, name, old.version, next)
	if err != nil {
		return nil, err
	}
	l := &Lease{manager: m, name: name, fence: next.fence, waited: old.holder != "" || old.fence == 0}
	l.granted = start
	l.start, l.version = start, version
	return l, nil
}

// read reads the row of a lease.
func (m *Manager) read(ctx context.Context, name string) (row, error) {
	ctx, cancel := context.WithTimeout(ctx, m.settings.CallTimeout)
	defer cancel()
	rows, err := m.table.Read(ctx, m.settings.Prefix+name)
	if err != nil {
		return row{}, fmt.Errorf("read lease: %w", err)
	}
	return decode(rows[0].Value, rows[0].Version)
}

// replace writes the row in place of one version and returns the new version.
// Success is only reported after the own nonce was read back, which settles a
// lost answer too. A write that takes effect later than that is not used: its
// row is seen as held until it runs out.
func (m *Manager) replace(ctx context.Context, name string, version uint64, next row) (uint64, error) {
	next.nonce = rand.Text()
	value, err := encode(next)
	if err != nil {
		return 0, err
	}
	key := m.settings.Prefix + name
	bounded, cancel := context.WithTimeout(ctx, m.settings.CallTimeout)
	defer cancel()
	err = m.table.Commit(bounded, table.Transaction{
		Checks: []table.Check{{Key: key, Version: version}},
		Writes: []table.Write{{Key: key, Value: value}},
	})
	certain := errors.Is(err, table.ErrConflict) || errors.Is(err, table.ErrUnavailable)
	if err != nil && certain && !errors.Is(err, table.ErrUncertain) {
		return 0, fmt.Errorf("write lease: %w", err)
	}
	now, readErr := m.read(ctx, name)
	if readErr != nil {
		return 0, fmt.Errorf("read back: %w", readErr)
	}
	if now.nonce != next.nonce {
		return 0, fmt.Errorf("write lease: %w: %w", table.ErrConflict, ErrHeld)
	}
	return now.version, nil
}

// sleep waits and reports false if ctx ended.
func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
