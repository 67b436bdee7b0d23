// Package bootclock reads a clock that no one sets and that also counts the time for which
// the host was suspended.
package bootclock

import (
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"
)

// Now returns the time since the host started.
func Now() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		panic(errors.Wrap(err, "CLOCK_BOOTTIME")) // Every Linux has this clock.
	}
	return time.Duration(ts.Nano())
}
