package relay

import (
	"time"

	"golang.org/x/sys/unix"
)

// This file is the end of a connection here: its peer first receives everything that was taken over for it. A reset discards what the
// kernel has not delivered, and so does a close once the peer sends again.

const (
	lingerTimeout = time.Second // for the peer's own end, once it has received everything
	maxDrainTime  = 20 * time.Second

	minDrainCheckInterval = time.Millisecond
	maxDrainCheckInterval = 20 * time.Millisecond
)

// drain is how far the end of a connection has come: written, then received by its peer, then waiting for the peer's own end.
type drain struct {
	reset          bool        // it ends with a reset, once its peer has received everything; in order otherwise
	timer          *time.Timer // nil until there is something to wait for
	interval       time.Duration
	startedAt      time.Duration
	unreceived     int           // bytes that the peer had not received at the last check
	lastProgressAt time.Duration // when left was last seen to fall
	receivedAt     time.Duration // since when nothing is left, 0 before that
}

// finish ends the connection once its peer has received everything, with a reset if abrupt and otherwise in order. What the peer still
// sends is discarded.
func (c *Conn) finish(abrupt bool) {
	c.withLock(func() { c.finishLocked(abrupt) })
}

// finishSending is finish in order, but what the peer still sends is forwarded until it ends.
func (c *Conn) finishSending() {
	c.withLock(func() { c.startDrainLocked(false) })
}

// withLock runs a step under the lock. If it closes the connection, the other side of its pair, which has ended, has nothing more to wait
// for.
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

// finishOther is finishLast for the other side than c, if that became one of the pair.
func (p *Pair) finishOther(c *Conn, abrupt bool) {
	if other := p.conns[c.side.other()]; other.pair.Load() == p {
		other.finishWithLastLine(abrupt)
	}
}

// resetOther ends the other side than c with a reset, as c has broken while its lines were still forwarded there, unless the pair's last
// line follows these.
func (p *Pair) resetOther(c *Conn) {
	if len(p.ended.Load().lastLine) == 0 {
		p.finishOther(c, true)
	}
}

// finishWithLastLine is finish for the side of a pair that is left. A client receives the pair's last line first.
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

// endsByResetLocked reports whether the connection's end is begun, and will be a reset.
func (c *Conn) endsByResetLocked() bool { return c.drain != nil && c.drain.reset }

func (c *Conn) finishLocked(abrupt bool) {
	if c.closed || c.drain != nil {
		return
	}
	c.state = stateDraining
	c.readAgainLocked()
	c.startDrainLocked(abrupt)
}

// startDrainLocked ends the sending, and closes the connection once its peer has received everything.
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

// endSendingLocked ends the sending in order, behind what the kernel holds.
func (c *Conn) endSendingLocked() {
	if !c.drain.reset {
		_ = unix.Shutdown(c.fd, unix.SHUT_WR) // fails only if the other side has ended it
	}
}

// checkDrained closes the connection if its peer has received everything, and checks again later otherwise.
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

// lingerUntilLocked returns when the connection is closed if its peer does not end it. A peer whose lines are still forwarded is given that
// long from the last of them, and from when the other side last kept them from being read.
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

// forwardsInputLocked reports whether what the peer still sends is forwarded.
func (c *Conn) forwardsInputLocked() bool { return c.state == statePaired && c.pair.Load() != nil }

// otherBlockedAt returns when something last waited to be written to the other side of the pair.
func (c *Conn) otherBlockedAt() time.Duration {
	return c.pair.Load().conns[c.side.other()].lastBlockedAt()
}

// updateDrainLocked notes what is left. Once the peer has ended its sending a close loses nothing that the kernel holds.
func (c *Conn) updateDrainLocked(now time.Duration) {
	pending := c.pendingLocked()
	left := pending.Buffered
	switch {
	case c.drain.reset:
		left += pending.Unacknowledged
	case !c.peerEnded && left == 0:
		left = max(0, pending.Unacknowledged-1) // the end itself counts as one
	case !c.peerEnded:
		left += pending.Unacknowledged
	}
	if left < c.drain.unreceived {
		c.drain.lastProgressAt = now
	}
	c.drain.unreceived = left
	if left == 0 && c.drain.receivedAt == 0 {
		c.drain.receivedAt = now
	}
}

// isStalledLocked reports whether the peer takes nothing any more, or takes too long.
func (c *Conn) isStalledLocked(now time.Duration) bool {
	return now-c.drain.lastProgressAt >= c.worker.relay.stallTimeout || now-c.drain.startedAt >= maxDrainTime
}

// giveUpDrainLocked closes a connection whose peer does not take everything in time. Lines that are cut are shown by a reset; those that
// the kernel holds already, it goes on delivering.
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

// finishGracefully ends a connection whose peer has ended it in order: the peer receives what waits for it all the same.
func (c *Conn) finishGracefully() {
	c.withLock(func() {
		c.endReadingLocked()
		c.finishLocked(false)
	})
}

// onEndedAfterPair handles the end by its peer of a connection whose pair has ended.
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

// endReading notes that the peer has ended its sending, and may still read.
func (c *Conn) endReading() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.endReadingLocked()
}

// endReadingLocked notes that the peer has ended its sending. From here on events arrive once for each change, as the end stays readable.
func (c *Conn) endReadingLocked() {
	c.peerEnded = true
	c.setEdgeTriggeredLocked(true)
	c.setInterestLocked(unix.EPOLLIN, false)
}
