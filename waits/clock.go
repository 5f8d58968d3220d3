package waits

import (
	"fmt"
	"time"

	"golang.org/x/sys/unix"
)

// Boottime returns the time since boot, including time suspended.
func Boottime() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		panic(fmt.Sprintf("reading CLOCK_BOOTTIME: %v", err))
	}
	return time.Duration(ts.Nano())
}
