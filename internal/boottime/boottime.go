// Package boottime reads a clock that never jumps and that also counts the time for which the VM was
// suspended. The monotonic clock of package time stands still then, so an age measured with it is too low.
package boottime

import (
	"time"

	"golang.org/x/sys/unix"
)

// Instant is a reading of the clock, in nanoseconds since the VM was booted.
type Instant int64

// Now reads the clock.
func Now() Instant {
	var now unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &now); err != nil {
		// Linux has had the clock since 2.6.39; without it no age can be trusted.
		panic("CLOCK_BOOTTIME cannot be read: " + err.Error())
	}
	return Instant(now.Nano())
}

// Sub returns the time from earlier to i.
func (i Instant) Sub(earlier Instant) time.Duration { return time.Duration(i - earlier) }
