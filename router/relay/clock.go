package relay

import (
	"time"

	"golang.org/x/sys/unix"
)

// SinceBoot returns the time since the VM started. It goes on while the VM is
// suspended, which the runtime's own steady clock does not.
func SinceBoot() time.Duration {
	var now unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &now); err != nil {
		panic("no clock of the time since boot: " + err.Error()) // Linux has had it since 2.6.39.
	}
	return time.Duration(now.Nano())
}
