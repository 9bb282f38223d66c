// Package boottime is the clock that goes on while a process, or its whole machine, is stopped. Whatever leans on time between
// members (a lease, how old a word is) is reckoned by it, and read anew before each use. It must never be compared between
// machines: it counts from the machine's start.
package boottime

import (
	"time"

	"golang.org/x/sys/unix"
)

// Now is how long ago the machine was started, sleep included. The runtime's own clock stands still while a machine sleeps.
func Now() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		panic(err) // every kernel that Go runs on has it
	}
	return time.Duration(t.Nano())
}
