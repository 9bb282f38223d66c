package relay

import (
	"time"

	"golang.org/x/sys/unix"
)

// This file ends connections without losing data: the peer first receives everything that was accepted for it. A reset discards data that
// the kernel has not delivered, and so does a close as soon as the peer sends again.

const (
	lingerTimeout = time.Second      // time for the peer to end the connection, after it has received everything
	maxDrainTime  = 20 * time.Second // longest duration of a drain

	minDrainCheckInterval = time.Millisecond
	maxDrainCheckInterval = 20 * time.Millisecond
)

// drain is the progress of a connection's end. First all data is written, then received by the peer, then the peer's own end is awaited.
type drain struct {
	reset          bool          // whether the connection ends with a reset, rather than an orderly close, once the peer has received everything
	timer          *time.Timer   // timer of the next check; nil until the first one is scheduled
	interval       time.Duration // time until the next check while the peer has not received everything
	startedAt      time.Duration // time on the relay's clock at which the drain began
	unreceived     int           // number of bytes that the peer had not received at the last check
	lastProgressAt time.Duration // time at which unreceived last decreased
	receivedAt     time.Duration // time at which the peer had received everything, 0 before that
}

// finish ends the connection once its peer has received everything, with a reset if abrupt is set and with an orderly close otherwise.
// Further input from the peer is discarded.
func (c *Conn) finish(abrupt bool) {
	c.withLock(func() { c.finishLocked(abrupt) })
}

// finishSending is finish with an orderly close, except that input from the peer is still forwarded until the peer ends the connection.
func (c *Conn) finishSending() {
	c.withLock(func() { c.startDrainLocked(false) })
}

// withLock runs step under the connection's lock. If step closes the connection, withLock also finishes the other side of its pair, which
// has ended.
func (c *Conn) withLock(step func()) {
	c.mu.Lock()
	wasClosed := c.closed
	step()
	closedNow, abrupt := c.closed && !wasClosed, c.endsByResetLocked()
	c.mu.Unlock()
	if p := c.pair.Load(); closedNow && p != nil {
		p.finishOther(c, abrupt)
	}
}

// finishOther calls finishWithLastLine for the side opposite to c, if that side has joined the pair.
func (p *Pair) finishOther(c *Conn, abrupt bool) {
	if other := p.conns[c.side.other()]; other.pair.Load() == p {
		other.finishWithLastLine(abrupt)
	}
}

// resetOther ends the side opposite to c with a reset, because c broke while its lines were still being forwarded. If the pair has a last
// line, the other side is left to receive it.
func (p *Pair) resetOther(c *Conn) {
	if len(p.ended.Load().lastLine) == 0 {
		p.finishOther(c, true)
	}
}

// finishWithLastLine is finish for the remaining side of an ended pair. A client receives the pair's last line first.
func (c *Conn) finishWithLastLine(abrupt bool) {
	var lastLine []byte
	if ending := c.pair.Load().ended.Load(); ending != nil && c.side == Client {
		lastLine = ending.lastLine
	}
	c.withLock(func() {
		c.writeLocked(lastLine)
		c.finishLocked(abrupt)
	})
}

// endsByResetLocked reports whether the connection is being ended with a reset.
func (c *Conn) endsByResetLocked() bool { return c.drain != nil && c.drain.reset }

func (c *Conn) finishLocked(abrupt bool) {
	if c.closed || c.drain != nil {
		return
	}
	c.state = stateDraining
	c.readAgainLocked()
	c.startDrainLocked(abrupt)
}

// startDrainLocked shuts down sending, and closes the connection once its peer has received everything.
func (c *Conn) startDrainLocked(abrupt bool) {
	if c.closed || c.drain != nil {
		return
	}
	c.flushCoalescedLocked()
	now := c.worker.relay.now()
	c.drain = &drain{reset: abrupt, interval: minDrainCheckInterval, startedAt: now, lastProgressAt: now}
	if len(c.writeBuffer) == 0 {
		c.endSendingLocked()
	}
	c.checkDrainedLocked()
}

// endSendingLocked shuts down sending, after the data in the kernel's send queue. A connection that ends with a reset is not shut down.
func (c *Conn) endSendingLocked() {
	if !c.drain.reset {
		_ = unix.Shutdown(c.fd, unix.SHUT_WR) // the call fails only if the peer has already ended the connection
	}
}

// checkDrained closes the connection if its peer has received everything, and schedules another check otherwise.
func (c *Conn) checkDrained() {
	c.withLock(func() {
		if !c.closed {
			c.checkDrainedLocked()
		}
	})
}

func (c *Conn) checkDrainedLocked() {
	now := c.worker.relay.now()
	c.updateDrainLocked(now)
	switch {
	case c.drain.unreceived > 0 && c.isStalledLocked(now):
		c.giveUpDrainLocked()
	case c.drain.unreceived > 0:
		c.scheduleDrainCheckLocked(c.drain.interval)
		c.drain.interval = min(2*c.drain.interval, maxDrainCheckInterval)
	case c.drain.reset:
		c.abortLocked()
	case c.peerEnded, c.writeErr != nil && !c.forwardsInputLocked():
		c.closeLocked()
	case c.migration != nil:
		c.scheduleDrainCheckLocked(maxDrainCheckInterval)
	case now >= c.lingerUntilLocked():
		c.closeLocked()
	default:
		c.worker.relay.lingering.add(c)
		c.scheduleDrainCheckLocked(c.lingerUntilLocked() - now)
	}
}

// lingerUntilLocked returns when the connection is closed if its peer does not end it. While the peer's lines are still forwarded, the
// time counts from the last of them, or from when the other side last kept this one from being read.
func (c *Conn) lingerUntilLocked() time.Duration {
	shortest := c.drain.receivedAt + lingerTimeout
	if !c.forwardsInputLocked() {
		return shortest
	}
	from := max(c.otherBlockedAt(), time.Duration(c.pair.Load().lastLineAt.Load()))
	longest := c.drain.startedAt + maxDrainTime
	if end := time.Duration(c.worker.relay.shutdownDeadline.Load()); end > 0 {
		longest = end
	}
	return max(shortest, min(from+lingerTimeout, longest))
}

// forwardsInputLocked reports whether further input from the peer is forwarded.
func (c *Conn) forwardsInputLocked() bool { return c.state == statePaired && c.pair.Load() != nil }

// otherBlockedAt returns when data was last waiting to be written to the other side of the pair.
func (c *Conn) otherBlockedAt() time.Duration {
	return c.pair.Load().conns[c.side.other()].lastBlockedAt()
}

// updateDrainLocked updates the number of unreceived bytes. Once the peer has ended its sending, a close loses nothing that is in the
// kernel's send queue, so only buffered bytes count.
func (c *Conn) updateDrainLocked(now time.Duration) {
	pending := c.pendingLocked()
	unreceived := pending.Buffered
	switch {
	case c.drain.reset:
		unreceived += pending.Unacknowledged
	case !c.peerEnded && unreceived == 0:
		unreceived = max(0, pending.Unacknowledged-1) // the FIN counts as one byte
	case !c.peerEnded:
		unreceived += pending.Unacknowledged
	}
	if unreceived < c.drain.unreceived {
		c.drain.lastProgressAt = now
	}
	c.drain.unreceived = unreceived
	if unreceived == 0 && c.drain.receivedAt == 0 {
		c.drain.receivedAt = now
	}
}

// isStalledLocked reports whether the peer has stopped accepting data, or the drain takes too long.
func (c *Conn) isStalledLocked(now time.Duration) bool {
	return now-c.drain.lastProgressAt >= c.worker.relay.stallTimeout || now-c.drain.startedAt >= maxDrainTime
}

// giveUpDrainLocked closes a connection whose peer does not receive everything in time. If a line would be cut, the close is a reset,
// which shows the peer that data is missing. Otherwise the kernel goes on delivering its send queue.
func (c *Conn) giveUpDrainLocked() {
	if c.drain.reset || c.writeOffset < len(c.writeBuffer) {
		c.abortLocked()
	} else {
		c.closeLocked()
	}
}

func (c *Conn) scheduleDrainCheckLocked(wait time.Duration) {
	if c.drain.timer == nil {
		c.drain.timer = time.AfterFunc(wait, c.checkDrained)
		return
	}
	c.drain.timer.Reset(wait)
}

// finishGracefully ends a connection that its peer has ended in an orderly way. The peer still receives the data that is waiting for it.
func (c *Conn) finishGracefully() {
	c.withLock(func() {
		c.endReadingLocked()
		c.finishLocked(false)
	})
}

// onEndedAfterPair handles the end of a connection by its peer after its pair has ended.
func (c *Conn) onEndedAfterPair(abrupt bool) {
	if abrupt {
		c.pair.Load().resetOther(c)
	}
	c.withLock(func() {
		switch {
		case c.closed:
		case abrupt:
			c.closeLocked()
		default:
			c.endReadingLocked()
			if c.drain != nil {
				c.checkDrainedLocked()
			}
		}
	})
}

// endReading records that the peer has ended its sending. The peer may still read.
func (c *Conn) endReading() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.endReadingLocked()
}

// endReadingLocked is endReading with the lock held. The connection becomes edge-triggered, because its end would otherwise be reported
// continuously.
func (c *Conn) endReadingLocked() {
	c.peerEnded = true
	c.setEdgeTriggeredLocked(true)
	c.setInterestLocked(unix.EPOLLIN, false)
}
