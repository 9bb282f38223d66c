package relay

import (
	"time"

	"sabletally/internal/socket"
)

// This file is when small writes close behind one another are made one. The kernel sends each write as a segment of its own, whose
// bookkeeping can take several times its bytes of the reader's receive buffer. Once that overflows the kernel drops what arrives, and the
// next line waits for a retransmission timeout, however soon the reader reads on. Nothing waits for an acknowledgement here.

const (
	// coalesceDelay is how long after a small write the next one goes, unless the reader has written something itself meanwhile.
	coalesceDelay = 5 * time.Millisecond
	// maxCoalescedBytes is what goes to the kernel at once however soon it comes.
	maxCoalescedBytes = readBufferSize
)

// coalesceLocked keeps a small write for the next moment at which one may go. It reports false if it has to go now.
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

// flushCoalesced writes what was kept until a time, unless it was written before.
func (c *Conn) flushCoalesced(until time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.coalesceUntil == until {
		c.nextSmallWriteAt = until + coalesceDelay
		c.flushCoalescedLocked()
	}
}

// flushCoalescedLocked writes what was kept, if anything was.
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

// coalescedWrite is a connection whose small writes wait until a time.
type coalescedWrite struct {
	conn  *Conn
	until time.Duration
}

// flushLater has the worker flush a connection at a time. Such times only grow.
func (w *worker) flushLater(c *Conn, until time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.coalesced = append(w.coalesced, coalescedWrite{c, until})
	if !w.isAwake.Load() && !w.closed { // otherwise it looks at them before it waits
		w.wakeLocked()
	}
}

// flushDue flushes the connections whose time has come.
func (w *worker) flushDue() {
	for {
		due, found := w.nextDue(w.relay.now())
		if !found {
			return
		}
		due.conn.flushCoalesced(due.until)
	}
}

// nextDue takes the first connection off the queue, if its time has come.
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

// waitMillis returns how long the worker may wait for events, -1 for as long as there are none.
func (w *worker) waitMillis() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.coalesced) == 0 {
		return -1
	}
	wait := w.coalesced[0].until - w.relay.now()
	return int(max(0, wait+time.Millisecond-1) / time.Millisecond) // the kernel counts whole ones
}
