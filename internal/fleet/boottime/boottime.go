// Package boottime reads a clock that continues while the process, or the whole machine, is suspended. Everything that depends on time elapsed
// between members, such as a lease or the age of a message, is computed from this clock, which is read again before each use. Its times must
// never be compared between machines, because it counts from the start of the machine.
package boottime

import (
	"time"

	"golang.org/x/sys/unix"
)

// Now returns the time since the machine was started. Unlike the runtime's monotonic clock, it includes the time of suspension.
func Now() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		panic(err) // every kernel that Go supports has this clock
	}
	return time.Duration(t.Nano())
}
