// Package boottime reads a clock that goes on while a process, or its whole machine, is suspended. Whatever depends on elapsed time
// between members (a lease, the age of a message) is computed from it, and it is read anew before each use. Its times must never be
// compared between machines: it counts from the start of the machine.
package boottime

import (
	"time"

	"golang.org/x/sys/unix"
)

// Now returns the time since the machine was started, suspension included, unlike the runtime's monotonic clock.
func Now() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		panic(err) // every kernel that Go supports has this clock
	}
	return time.Duration(t.Nano())
}
