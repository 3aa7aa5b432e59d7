package lease

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/juju/errors"

	"snipetally.example/coordination/table"
)

// Lease is a lease that was acquired. It may have been lost since; see HeldFor.
// It is safe for concurrent use.
type Lease struct {
	manager    *Manager
	name       string
	fence      uint64
	acquiredAt ClockReading

	// waited is set if the previous holder's lease was observed until it expired,
	// including the margin, or if there was no previous holder. It is not set
	// after a release.
	waited bool

	// renewMu is held during Renew and Release. It is locked before mu.
	renewMu sync.Mutex

	// mu guards the fields below. The lease's duration counts from validFrom,
	// which was read before the last write of the row that succeeded, and
	// version is the version of the row after that write.
	mu        sync.Mutex
	validFrom ClockReading
	version   uint64
	lost      bool
}

// Name returns the name of the lease.
func (l *Lease) Name() string { return l.name }

// Fence returns the fencing token. It is higher than those of all previous
// holders.
func (l *Lease) Fence() uint64 { return l.fence }

// PredecessorsSettled reports whether nothing that the previous holder sent
// under its lease can still be in flight: either its lease was observed until
// it expired, or as much time has passed since this lease was acquired.
func (l *Lease) PredecessorsSettled() bool {
	config := l.manager.config
	return l.waited || l.acquiredAt.MinElapsed(ReadClocks()) >= config.Duration+config.Margin
}

// Remaining returns how long the lease is still valid, by the clock that shows
// more elapsed time. It is zero or negative once the lease has ended.
func (l *Lease) Remaining() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.lost {
		return 0
	}
	return l.manager.config.Duration - l.validFrom.MaxElapsed(ReadClocks())
}

// HeldFor reports whether the lease is valid for longer than margin. Call it
// right before each action under the lease.
func (l *Lease) HeldFor(margin time.Duration) bool {
	return l.Remaining() > margin
}

// ConfirmHeld reads the row and checks that no one else has acquired the lease.
// It detects what neither clock shows: that the VM was suspended and its wall
// clock has not been set again yet. The error wraps ErrLost if the lease is
// lost.
func (l *Lease) ConfirmHeld(ctx context.Context) error {
	current, err := l.manager.read(ctx, l.name)
	if err != nil {
		return fmt.Errorf("confirm lease %q: %w", l.name, err)
	}
	if current.fence != l.fence || current.holder == "" {
		l.markLost()
		return fmt.Errorf("confirm lease %q: %w: the row has fencing token %d", l.name, ErrLost, current.fence)
	}
	if !l.HeldFor(0) {
		return fmt.Errorf("confirm lease %q: %w", l.name, ErrLost)
	}
	return nil
}

// Renew extends the lease. The error wraps ErrLost if the lease has ended.
// After any other error the lease keeps its former end, and Renew may be called
// again.
func (l *Lease) Renew(ctx context.Context) error {
	l.renewMu.Lock()
	defer l.renewMu.Unlock()
	if !l.HeldFor(0) {
		l.markLost()
		return fmt.Errorf("renew lease %q: %w", l.name, ErrLost)
	}
	validFrom := ReadClocks()
	version, err := l.replace(ctx, l.newRow(l.manager.config.Holder))
	if err != nil {
		return fmt.Errorf("renew lease %q: %w", l.name, err)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	// A lease that ended during the write stays lost, although its row was
	// renewed, because the work under it may already have been canceled.
	if l.lost || l.validFrom.MaxElapsed(ReadClocks()) >= l.manager.config.Duration {
		l.lost = true
		return fmt.Errorf("renew lease %q: too late: %w", l.name, ErrLost)
	}
	l.validFrom, l.version = validFrom, version
	return nil
}

// Release ends the lease, so that another process can acquire it at once. The
// caller must have stopped acting under it. The lease is lost whatever Release
// returns.
func (l *Lease) Release(ctx context.Context) error {
	l.renewMu.Lock()
	defer l.renewMu.Unlock()
	held := l.HeldFor(0)
	l.markLost()
	if !held {
		return nil
	}
	if _, err := l.replace(ctx, l.newRow("")); err != nil {
		return fmt.Errorf("release lease %q: %w", l.name, err)
	}
	return nil
}

// newRow returns the row to write for the holder, which is empty to release the
// lease.
func (l *Lease) newRow(holder string) row {
	return row{holder: holder, fence: l.fence, duration: l.manager.config.Duration}
}

// replace writes the row in place of the last known version. If the check
// fails, it reads the row to find out whether an earlier write of this lease,
// whose response was lost, had changed the version. In that case it writes once
// more.
func (l *Lease) replace(ctx context.Context, next row) (uint64, error) {
	l.mu.Lock()
	lastVersion := l.version
	l.mu.Unlock()
	version, err := l.manager.replace(ctx, l.name, lastVersion, next)
	if !errors.Is(err, table.ErrConflict) {
		return version, err
	}
	current, readErr := l.manager.read(ctx, l.name)
	if readErr != nil {
		return 0, readErr
	}
	if current.fence != l.fence || current.holder == "" {
		l.markLost()
		return 0, fmt.Errorf("%w: the row has fencing token %d", ErrLost, current.fence)
	}
	return l.manager.replace(ctx, l.name, current.version, next)
}

// markLost marks the lease as lost.
func (l *Lease) markLost() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lost = true
}
