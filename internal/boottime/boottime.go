// Package boottime reads a steady clock that goes on while the machine is suspended, which the monotonic clock of
// package time does not.
package boottime

import (
	"time"

	"golang.org/x/sys/unix"
)

// Now returns the time since the machine started, suspensions included.
func Now() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		panic("boottime: " + err.Error()) // only if the kernel has no such clock
	}
	return time.Duration(ts.Nano())
}
