package relay

import (
	"errors"
	"os"
	"time"

	"golang.org/x/sys/unix"

	"sabletally/internal/socket"
)

// shortageRetryDelay is the time before a call is made again that failed because the kernel was short of memory.
const shortageRetryDelay = 2 * time.Millisecond

// write writes as much as the kernel accepts and buffers the rest. It returns true if data is waiting: the other side must not be read
// until that is written.
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

// writeNowLocked writes as much as the kernel accepts, after any data that is already buffered, and buffers the rest.
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

// bufferLocked appends text to the write buffer.
func (c *Conn) bufferLocked(text []byte) {
	if c.writeBuffer == nil {
		c.writeBuffer = c.worker.spareOrNewBuffer(&c.worker.writeBuffers, readBufferSize)
	}
	c.writeBuffer = append(c.writeBuffer, text...)
}

// markBlockedLocked records that data is waiting to be written. err is the error of the write that left it, nil if no write was made
// because earlier data is waiting.
func (c *Conn) markBlockedLocked(err error) {
	c.writeBlocked.Store(true)
	if c.blockedSince.Load() == 0 {
		c.noteProgressLocked()
	}
	c.awaitWritableLocked(err)
}

// awaitWritableLocked schedules the next write after err, the error of the last one. After a permanent error it ends the pair, because
// nothing may follow a partially written line.
func (c *Conn) awaitWritableLocked(err error) {
	switch {
	case err == nil:
	case errors.Is(err, unix.EAGAIN):
		c.setInterestLocked(unix.EPOLLOUT, true)
	case socket.IsTemporary(err):
		c.worker.relay.WriteRetries.Add(1)
		c.setInterestLocked(unix.EPOLLOUT, false) // the socket is writable, so the event would be reported continuously
		time.AfterFunc(shortageRetryDelay, func() { c.worker.submit(c.onWritable) })
	default:
		c.writeErr = os.NewSyscallError("write", err)
		c.worker.relay.UnsentBytes.Add(int64(len(c.writeBuffer) - c.writeOffset))
		c.clearWriteBufferLocked()
		c.worker.submit(c.onBroken)
	}
}

// onBroken handles a connection that can no longer be written. Input that its peer sent earlier is still forwarded.
func (c *Conn) onBroken() {
	c.forwardRemaining(c.worker.relay.now(), func() { c.onEnded(nil) })
}

// onWritable writes the buffered data, or handles the result of a dial.
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

// flushLocked writes as much of the buffered data as the kernel accepts.
func (c *Conn) flushLocked() {
	n, err := socket.WriteAvailable(c.fd, c.writeBuffer[c.writeOffset:])
	c.writeOffset += n
	if n > 0 {
		c.noteProgressLocked()
	}
	c.awaitWritableLocked(err)
}

// noteProgressLocked records that the peer is accepting data now.
func (c *Conn) noteProgressLocked() {
	c.blockedSince.Store(int64(c.worker.relay.now()))
	c.unacknowledged = c.pendingLocked().Unacknowledged
}

// isStalled reports whether the peer has accepted nothing for the stall timeout. The kernel accepts more data only once a third of its
// send buffer is free, which can take a slow reader longer than the timeout, so acknowledged bytes count as progress too.
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

// clearWriteBufferLocked discards the write buffer, which was written or can no longer be written.
func (c *Conn) clearWriteBufferLocked() {
	c.releaseWriteBufferLocked()
	c.blockedSince.Store(0)
	c.flushedAt.Store(int64(c.worker.relay.now())) // flushedAt is set before writeBlocked is reset, as both are read without the lock
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

// markFlushedLocked records that the write buffer is empty.
func (c *Conn) markFlushedLocked() {
	c.clearWriteBufferLocked()
	if c.drain != nil {
		c.endSendingLocked()
		c.checkDrainedLocked()
	}
}
