// This file holds the clock of a run, and addresses for listeners.

package emulator

import (
	"fmt"
	"os"
	"sync/atomic"
	"time"
)

// Clock measures the time since the start of a run. It stands at 0 until Begin.
type Clock struct{ start atomic.Pointer[time.Time] }

// Begin starts the clock.
func (c *Clock) Begin() {
	now := time.Now()
	c.start.Store(&now)
}

// Now returns the time since the start.
func (c *Clock) Now() time.Duration {
	if start := c.start.Load(); start != nil {
		return time.Since(*start)
	}
	return 0
}

// At converts a time of the run to wall-clock time.
func (c *Clock) At(d time.Duration) time.Time {
	if start := c.start.Load(); start != nil {
		return start.Add(d)
	}
	return time.Now().Add(d)
}

var loopbackCount atomic.Uint32 // number of addresses that Loopback has returned

// Loopback returns a loopback address, with port 0, that other processes are unlikely to use, so that no other process takes a port
// between its closing and its reopening.
func Loopback() string {
	pid, n := os.Getpid(), loopbackCount.Add(1)
	return fmt.Sprintf("127.%d.%d.%d:0", 1+pid>>8&0x7f, pid&0xff, 1+n%254)
}
