// Package rrclock reads a clock that runs on while the machine is suspended. The monotonic clock of package time
// stands still meanwhile, so an age that it measures across a suspension is too small.
package rrclock

import (
	"time"

	"golang.org/x/sys/unix"
)

// start stands in for the boot of the machine where its clock can't be read.
var start = time.Now()

// SinceBoot returns the time since the machine booted, suspensions included. Steps of the time of day don't
// change it. On a system without such a clock it is the time since the start of this process.
func SinceBoot() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		return time.Since(start)
	}
	return time.Duration(ts.Nano())
}
