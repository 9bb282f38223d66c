package relay

import (
	"errors"
	"time"

	"golang.org/x/sys/unix"

	"sabletally/internal/socket"
)

// This file forwards or discards input that has arrived on a connection that the relay is about to end, and was not read yet.

// maxUnreadInput bounds the number of bytes that one call of forwardUnread reads.
const maxUnreadInput = 16 * readBufferSize

// readProgress is the result of one call of forwardUnread.
type readProgress uint8

const (
	progressDrained    readProgress = iota // no input is left for now
	progressLimited                        // maxUnreadInput was reached and more input may be left
	progressRetryLater                     // the kernel was short of memory, so it is unknown whether input is left
)

// forwardRemaining forwards the input that has arrived, as far as the other side accepts it, and then calls done. If the other side is
// stalled or maxDrainTime has passed, it calls done without forwarding the rest. It runs on the worker's goroutine, as does done.
func (c *Conn) forwardRemaining(startedAt time.Duration, done func()) {
	other := c.pair.Load().conns[c.side.other()]
	isLate := other.isStalled() || c.worker.relay.now()-startedAt >= maxDrainTime
	if !isLate && (other.writeBlocked.Load() || c.forwardUnread() != progressDrained) {
		time.AfterFunc(shortageRetryDelay, func() {
			c.worker.submit(func() { c.forwardRemaining(startedAt, done) })
		})
		return
	}
	done()
}

// forwardUnread forwards the input that has arrived and was not read yet, up to maxUnreadInput. It runs on the goroutine that forwards
// the connection's lines.
func (c *Conn) forwardUnread() readProgress {
	for total := 0; total < maxUnreadInput; {
		n, err := c.readUnread()
		switch {
		case socket.IsTemporary(err):
			c.worker.relay.ReadRetries.Add(1)
			return progressRetryLater
		case n <= 0:
			return progressDrained
		}
		c.forward(c.worker.readBuffer[:n])
		total += n
	}
	return progressLimited
}

// readUnread reads into the worker's buffer and returns the number of bytes, 0 or less if there is nothing to forward. The end of the
// connection is handled by its own event.
func (c *Conn) readUnread() (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed || c.peerEnded || c.state != statePaired {
		return 0, nil
	}
	for {
		n, err := socket.Read(c.fd, c.worker.readBuffer)
		if !errors.Is(err, unix.EINTR) {
			c.countMigratedLocked(n)
			return n, err
		}
	}
}

// discardInput makes the connection discard everything that its peer sends from now on.
func (c *Conn) discardInput() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.state = stateDraining
	c.readAgainLocked()
}
