package lease

import "time"

// origin anchors the monotonic readings of the process.
var origin = time.Now()

// ClockReading is one reading of both clocks. The monotonic clock runs while a
// process is stopped and need not run while its VM is suspended. The wall clock
// shows a suspension once it has been set again, and may be set back.
type ClockReading struct {
	// Monotonic is the time since the start of the process.
	Monotonic time.Duration
	Wall      time.Time
}

// ReadClocks reads both clocks.
func ReadClocks() ClockReading {
	now := time.Now()
	return ClockReading{Monotonic: now.Sub(origin), Wall: now.Round(0)}
}

// MaxElapsed returns the time from r to later by the clock that shows more. A
// holder judges its own lease by it.
func (r ClockReading) MaxElapsed(later ClockReading) time.Duration {
	return max(later.Monotonic-r.Monotonic, later.Wall.Sub(r.Wall))
}

// MinElapsed returns the time from r to later by the clock that shows less. A
// successor judges the lease of another by it.
func (r ClockReading) MinElapsed(later ClockReading) time.Duration {
	return min(later.Monotonic-r.Monotonic, later.Wall.Sub(r.Wall))
}
