package relay

import (
	"time"

	"golang.org/x/sys/unix"
)

// SinceBoot returns the time since the VM booted. Unlike the runtime's
// monotonic clock, it includes time during which the VM is suspended.
func SinceBoot() time.Duration {
	var now unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &now); err != nil {
		panic("read CLOCK_BOOTTIME: " + err.Error()) // Linux supports it since 2.6.39.
	}
	return time.Duration(now.Nano())
}
