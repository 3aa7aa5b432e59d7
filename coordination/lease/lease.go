package lease

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/juju/errors"

	"snipetally.example/coordination/table"
)

// Lease is a lease that was gained. It may have been lost since; Held tells.
// It is safe for concurrent use.
type Lease struct {
	manager *Manager
	name    string
	fence   uint64
	granted ClockReading
	waited  bool

	// renewing is held for the whole of Renew and Release, before mu.
	renewing sync.Mutex

	// mu guards the fields below. Start is the reading from before the write
	// that counts, and version that of the row that it made.
	mu      sync.Mutex
	start   ClockReading
	version uint64
	lost    bool
}

// Name returns the name of the lease.
func (l *Lease) Name() string { return l.name }

// Fence returns the fencing number. It is higher than that of each holder
// before.
func (l *Lease) Fence() uint64 { return l.fence }

// Waited reports whether the lease of the holder before was watched until it
// ran out, margin included, or there was none. It is false after a release.
func (l *Lease) Waited() bool { return l.waited }

// Settled reports whether nothing that the holder before sent under its lease
// can still be on its way: its lease was waited out, or as much time has passed
// since this one was gained.
func (l *Lease) Settled() bool {
	s := l.manager.settings
	return l.waited || l.granted.MinElapsed(ReadClocks()) >= s.Duration+s.Margin
}

// Remaining returns how long the lease still lasts by the clock that shows that
// more time has passed. It is zero or less once the lease has ended.
func (l *Lease) Remaining() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.lost {
		return 0
	}
	return l.manager.settings.Duration - l.start.MaxElapsed(ReadClocks())
}

// Held reports whether the lease lasts for longer than margin. It is checked
// right before each act under the lease.
func (l *Lease) Held(margin time.Duration) bool {
	return l.Remaining() > margin
}

// Confirm reads the row and checks that nobody else has gained the lease. It
// sees what neither clock shows: a VM that was suspended and whose wall clock
// has not been set again yet. The error wraps ErrLost if the lease has gone.
func (l *Lease) Confirm(ctx context.Context) error {
	now, err := l.manager.read(ctx, l.name)
	if err != nil {
		return fmt.Errorf("confirm lease %q: %w", l.name, err)
	}
	if now.fence != l.fence || now.holder == "" {
		l.lose()
		return fmt.Errorf("confirm lease %q: %w: fencing number %d was given out", l.name, ErrLost, now.fence)
	}
	if !l.Held(0) {
		return fmt.Errorf("confirm lease %q: %w", l.name, ErrLost)
	}
	return nil
}

// Renew extends the lease. The error wraps ErrLost if it has ended; after any
// other error it goes on to its former end and Renew may be called again.
func (l *Lease) Renew(ctx context.Context) error {
	l.renewing.Lock()
	defer l.renewing.Unlock()
	if !l.Held(0) {
		l.lose()
		return fmt.Errorf("renew lease %q: %w", l.name, ErrLost)
	}
	start := ReadClocks()
	version, err := l.replace(ctx, l.row(l.manager.settings.Holder))
	if err != nil {
		return fmt.Errorf("renew lease %q: %w", l.name, err)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	// A lease that ended meanwhile stays ended, although its row was renewed:
	// work under it was told to stop.
	if l.lost || l.start.MaxElapsed(ReadClocks()) >= l.manager.settings.Duration {
		l.lost = true
		return fmt.Errorf("renew lease %q: too late: %w", l.name, ErrLost)
	}
	l.start, l.version = start, version
	return nil
}

// Release ends the lease, so that another can have it at once. The caller has
// stopped acting under it. The lease is lost whatever Release returns.
func (l *Lease) Release(ctx context.Context) error {
	l.renewing.Lock()
	defer l.renewing.Unlock()
	held := l.Held(0)
	l.lose()
	if !held {
		return nil
	}
	if _, err := l.replace(ctx, l.row("")); err != nil {
		return fmt.Errorf("release lease %q: %w", l.name, err)
	}
	return nil
}

// row returns the row to be written.
func (l *Lease) row(holder string) row {
	return row{holder: holder, fence: l.fence, duration: l.manager.settings.Duration}
}

// replace writes the row in place of the one known. After a failed check it
// looks whether that was due to an own earlier write whose answer was lost.
func (l *Lease) replace(ctx context.Context, next row) (uint64, error) {
	l.mu.Lock()
	known := l.version
	l.mu.Unlock()
	version, err := l.manager.replace(ctx, l.name, known, next)
	if !errors.Is(err, table.ErrConflict) {
		return version, err
	}
	now, readErr := l.manager.read(ctx, l.name)
	if readErr != nil {
		return 0, readErr
	}
	if now.fence != l.fence || now.holder == "" {
		l.lose()
		return 0, fmt.Errorf("%w: fencing number %d was given out", ErrLost, now.fence)
	}
	return l.manager.replace(ctx, l.name, now.version, next)
}

// lose marks the lease as lost.
func (l *Lease) lose() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lost = true
}
