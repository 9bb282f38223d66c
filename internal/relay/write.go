package relay

import (
	"errors"
	"os"
	"time"

	"golang.org/x/sys/unix"

	"sabletally/internal/socket"
)

// shortageRetryDelay is how long a call that the kernel had no memory for waits.
const shortageRetryDelay = 2 * time.Millisecond

// write writes as much as is taken and keeps the rest. It reports whether something waits now: the other side must not be read on until
// that is written.
func (c *Conn) write(text []byte) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.writeLocked(text)
}

func (c *Conn) writeLocked(text []byte) bool {
	if c.closed || c.drain != nil || c.writeErr != nil {
		return false
	}
	if len(text) > 0 && !c.coalesceLocked(text) {
		c.writeNowLocked(text)
	}
	return c.writeBlocked.Load()
}

// writeNowLocked writes as much as is taken, behind what waits already, and keeps the rest.
func (c *Conn) writeNowLocked(text []byte) {
	if c.coalesceUntil > 0 {
		c.bufferLocked(text)
		c.flushCoalescedLocked()
		return
	}
	var err error
	if len(c.writeBuffer) == 0 {
		var n int
		n, err = socket.WriteAvailable(c.fd, text)
		text = text[n:]
	}
	if len(text) > 0 {
		c.bufferLocked(text)
		c.markBlockedLocked(err)
	}
}

// bufferLocked keeps text behind what waits already.
func (c *Conn) bufferLocked(text []byte) {
	if c.writeBuffer == nil {
		c.writeBuffer = c.worker.takeBuffer(&c.worker.writeBuffers, readBufferSize)
	}
	c.writeBuffer = append(c.writeBuffer, text...)
}

// markBlockedLocked notes that something waits to be written; err is why, nil behind what waits already.
func (c *Conn) markBlockedLocked(err error) {
	c.writeBlocked.Store(true)
	if c.blockedSince.Load() == 0 {
		c.noteProgressLocked()
	}
	c.awaitWritableLocked(err)
}

// awaitWritableLocked has what waits be written later, after a write that has failed. If the connection is broken its pair ends: nothing
// may follow half a line.
func (c *Conn) awaitWritableLocked(err error) {
	switch {
	case err == nil:
	case errors.Is(err, unix.EAGAIN):
		c.setInterestLocked(unix.EPOLLOUT, true)
	case socket.IsTemporary(err):
		c.worker.relay.WriteRetries.Add(1)
		c.setInterestLocked(unix.EPOLLOUT, false) // it would be reported at once, again and again
		time.AfterFunc(shortageRetryDelay, func() { c.worker.submit(c.onWritable) })
	default:
		c.writeErr = os.NewSyscallError("write", err)
		c.worker.relay.UnsentBytes.Add(int64(len(c.writeBuffer) - c.writeOffset))
		c.clearWriteBufferLocked()
		c.worker.submit(c.onBroken)
	}
}

// onBroken handles a connection that can't be written to any more. What its peer has said before is forwarded.
func (c *Conn) onBroken() {
	c.forwardRemaining(c.worker.relay.now(), func() { c.onEnded(nil) })
}

// onWritable writes what waits, or finds that a dial has ended.
func (c *Conn) onWritable() {
	c.mu.Lock()
	if c.state == stateDialing {
		c.mu.Unlock()
		c.onConnected()
		return
	}
	c.mu.Unlock()
	flushed := false
	c.withLock(func() {
		if c.closed {
			return
		}
		c.flushLocked()
		flushed = c.writeOffset == len(c.writeBuffer)
		if flushed {
			c.markFlushedLocked()
		}
	})
	if p := c.pair.Load(); flushed && p != nil {
		p.conns[c.side.other()].resumeReading()
	}
}

// flushLocked writes as much of what waits as is taken.
func (c *Conn) flushLocked() {
	n, err := socket.WriteAvailable(c.fd, c.writeBuffer[c.writeOffset:])
	c.writeOffset += n
	if n > 0 {
		c.noteProgressLocked()
	}
	c.awaitWritableLocked(err)
}

// noteProgressLocked notes that the other side takes something now.
func (c *Conn) noteProgressLocked() {
	c.blockedSince.Store(int64(c.worker.relay.now()))
	c.unacknowledged = c.pendingLocked().Unacknowledged
}

// isStalled reports whether the other side has taken nothing for the stall timeout. The kernel takes more only once a third of its buffer
// is free, which can take a slow reader longer, so what it has delivered counts too.
func (c *Conn) isStalled() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	since := time.Duration(c.blockedSince.Load())
	if c.closed || since == 0 {
		return false
	}
	if c.pendingLocked().Unacknowledged != c.unacknowledged {
		c.noteProgressLocked()
		return false
	}
	return c.worker.relay.now()-since > c.worker.relay.stallTimeout
}

// clearWriteBufferLocked forgets what waited to be written: it was written, or can't be.
func (c *Conn) clearWriteBufferLocked() {
	c.releaseWriteBufferLocked()
	c.blockedSince.Store(0)
	c.flushedAt.Store(int64(c.worker.relay.now())) // first: others read both without the lock
	c.writeBlocked.Store(false)
	c.setInterestLocked(unix.EPOLLOUT, false)
}

func (c *Conn) releaseWriteBufferLocked() {
	if c.writeBuffer != nil {
		c.worker.returnBuffer(&c.worker.writeBuffers, c.writeBuffer, 4*readBufferSize)
	}
	c.writeBuffer = nil
	c.writeOffset = 0
	c.coalesceUntil = 0
}

// markFlushedLocked notes that nothing waits to be written any more.
func (c *Conn) markFlushedLocked() {
	c.clearWriteBufferLocked()
	if c.drain != nil {
		c.endSendingLocked()
		c.checkDrainedLocked()
	}
}
