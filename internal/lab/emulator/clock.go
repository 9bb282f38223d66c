package emulator

import (
	"fmt"
	"os"
	"sync/atomic"
	"time"
)

// Clock is the time of a run; it is 0 until Begin.
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

// At returns the wall-clock time of a time of the run.
func (c *Clock) At(d time.Duration) time.Time {
	if start := c.start.Load(); start != nil {
		return start.Add(d)
	}
	return time.Now().Add(d)
}

var loopbacks atomic.Uint32

// Loopback returns a loopback address with port 0 that no other process is likely to use, so that a port which is
// closed and opened again is not taken in between.
func Loopback() string {
	pid, n := os.Getpid(), loopbacks.Add(1)
	return fmt.Sprintf("127.%d.%d.%d:0", 1+pid>>8&0x7f, pid&0xff, 1+n%254)
}
