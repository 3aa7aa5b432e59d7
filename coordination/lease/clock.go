package lease

import "time"

// processStart is the origin of the process's monotonic readings.
var processStart = time.Now()

// ClockReading is a reading of both clocks. The monotonic clock runs while a
// process is stopped but may stand still while its VM is suspended. The wall
// clock shows a suspension once it has been set again, and may be set back.
type ClockReading struct {
	// Monotonic is the time since the start of the process.
	Monotonic time.Duration
	Wall      time.Time
}

// ReadClocks reads both clocks.
func ReadClocks() ClockReading {
	now := time.Now()
	return ClockReading{Monotonic: now.Sub(processStart), Wall: now.Round(0)}
}

// MaxElapsed returns the time from r to later by the clock that shows more. A
// holder uses it for its own lease.
func (r ClockReading) MaxElapsed(later ClockReading) time.Duration {
	return max(later.Monotonic-r.Monotonic, later.Wall.Sub(r.Wall))
}

// MinElapsed returns the time from r to later by the clock that shows less. A
// successor uses it for the lease of another process.
func (r ClockReading) MinElapsed(later ClockReading) time.Duration {
	return min(later.Monotonic-r.Monotonic, later.Wall.Sub(r.Wall))
}
