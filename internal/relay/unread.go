package relay

import (
	"errors"
	"time"

	"golang.org/x/sys/unix"

	"sabletally/internal/socket"
)

// This file is what has arrived of a connection that is about to be ended here, and was not read yet.

// maxUnreadInput bounds what is read at once of a connection that is ended.
const maxUnreadInput = 16 * readBufferSize

// readProgress is what is left after a round of reading.
type readProgress uint8

const (
	progressDrained    readProgress = iota // until more arrives, if it does
	progressLimited                        // the round's bound was reached
	progressRetryLater                     // the kernel has no memory for the call
)

// forwardRemaining forwards what has arrived, as far as the other side takes it, and calls done then, or once that takes too long. It runs on
// the worker's goroutine, and so does done.
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

// forwardUnread forwards what has arrived and was not read yet, within a bound. It runs on the goroutine that forwards the connection's
// lines.
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

// readUnread reads into the worker's buffer; 0 or less if there is nothing to forward. An end is left for its own event.
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

// discardInput drops what the peer sends from here on.
func (c *Conn) discardInput() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.state = stateDraining
	c.readAgainLocked()
}
