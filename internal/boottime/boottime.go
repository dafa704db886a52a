// Package boottime provides a monotonic clock that includes the time for which the VM was suspended. The monotonic
// clock of package time stops during a suspension, so that an age measured with it can be too low.
package boottime

import (
	"time"

	"golang.org/x/sys/unix"
)

// Instant is a time in nanoseconds since the VM booted.
type Instant int64

// Now returns the current time. It panics if the kernel does not provide the clock.
func Now() Instant {
	var now unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &now); err != nil {
		// Linux provides the clock since 2.6.39; without it, ages cannot be measured reliably.
		panic("CLOCK_BOOTTIME cannot be read: " + err.Error())
	}
	return Instant(now.Nano())
}

// Sub returns the duration from earlier to i.
func (i Instant) Sub(earlier Instant) time.Duration { return time.Duration(i - earlier) }
