package node

import (
	"time"

	"golang.org/x/sys/unix"
)

// systemBootTime returns the time since the system was booted, as a time since 1970. It counts the time for which the machine was suspended. A
// kernel without such a clock suspends nothing.
func systemBootTime() time.Time {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		return time.Now()
	}
	return time.Unix(ts.Unix())
}
