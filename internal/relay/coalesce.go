package relay

import (
	"time"

	"sabletally/internal/socket"
)

// This file combines small writes that follow one another closely. The kernel sends each write as a segment of its own, whose bookkeeping
// can take several times its size in the reader's receive buffer. Once that buffer overflows, the kernel drops arriving segments, and the
// next line waits for a retransmission timeout, no matter how soon the reader continues. Unlike Nagle's algorithm, coalescing never waits
// for an acknowledgement.

const (
	// coalesceDelay is the minimum time between two small writes, unless the reader has sent something itself in between.
	coalesceDelay = 5 * time.Millisecond
	// maxCoalescedBytes is the size from which buffered writes are sent without delay.
	maxCoalescedBytes = readBufferSize
)

// coalesceLocked buffers a small write until the next one is due. It returns false if text must be written now.
func (c *Conn) coalesceLocked(text []byte) bool {
	now := c.worker.relay.now()
	switch {
	case c.writeBlocked.Load() || len(c.writeBuffer)+len(text) >= maxCoalescedBytes:
		return false
	case c.coalesceUntil == 0 && now >= c.nextSmallWriteAt:
		c.nextSmallWriteAt = now + coalesceDelay
		return false
	}
	c.bufferLocked(text)
	if c.coalesceUntil == 0 {
		c.coalesceUntil = now + coalesceDelay
		c.worker.flushLater(c, c.coalesceUntil)
	}
	return true
}

// flushCoalesced writes the buffer that was due at the given time, unless it has been written already.
func (c *Conn) flushCoalesced(until time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.coalesceUntil == until {
		c.nextSmallWriteAt = until + coalesceDelay
		c.flushCoalescedLocked()
	}
}

// flushCoalescedLocked writes the coalesced data, if there is any.
func (c *Conn) flushCoalescedLocked() {
	if c.coalesceUntil == 0 || c.closed {
		return
	}
	c.coalesceUntil = 0
	n, err := socket.WriteAvailable(c.fd, c.writeBuffer[c.writeOffset:])
	c.writeOffset += n
	if c.writeOffset == len(c.writeBuffer) {
		c.releaseWriteBufferLocked()
		return
	}
	c.markBlockedLocked(err)
}

// coalescedWrite is a connection whose small writes are delayed until a given time.
type coalescedWrite struct {
	conn  *Conn
	until time.Duration
}

// flushLater makes the worker flush a connection at the given time. Successive calls must pass ascending times.
func (w *worker) flushLater(c *Conn, until time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.coalesced = append(w.coalesced, coalescedWrite{c, until})
	if !w.isAwake.Load() && !w.closed { // a worker that is awake checks the queue before it waits
		w.wakeLocked()
	}
}

// flushDue flushes the connections whose delay has passed.
func (w *worker) flushDue() {
	for {
		due, found := w.nextDue(w.relay.now())
		if !found {
			return
		}
		due.conn.flushCoalesced(due.until)
	}
}

// nextDue removes the first write from the queue and returns it, if it is due.
func (w *worker) nextDue(now time.Duration) (due coalescedWrite, found bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.coalesced) == 0 || w.coalesced[0].until > now {
		return coalescedWrite{}, false
	}
	due = w.coalesced[0]
	w.coalesced = w.coalesced[1:]
	return due, true
}

// waitMillis returns how long the worker may wait for events, in milliseconds; -1, which means indefinitely, if no write is delayed.
func (w *worker) waitMillis() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.coalesced) == 0 {
		return -1
	}
	wait := w.coalesced[0].until - w.relay.now()
	return int(max(0, wait+time.Millisecond-1) / time.Millisecond) // epoll_wait counts whole milliseconds, so the time is rounded up
}
