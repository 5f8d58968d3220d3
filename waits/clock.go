package waits

import (
	"fmt"
	"time"

	"golang.org/x/sys/unix"
)

// Boottime tells the time since boot, suspension included.
func Boottime() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		panic(fmt.Sprintf("the clock that counts suspension can't be read: %v", err))
	}
	return time.Duration(ts.Nano())
}
