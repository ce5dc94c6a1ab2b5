// Package boottime reads a monotonic clock that also advances while the machine is suspended, unlike the monotonic
// clock of package time.
package boottime

import (
	"time"

	"golang.org/x/sys/unix"
)

// Now returns the time since the machine booted, including time spent suspended. It panics if the kernel does not
// support CLOCK_BOOTTIME.
func Now() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		panic("boottime: " + err.Error())
	}
	return time.Duration(ts.Nano())
}
