package relay

import (
	"time"

	"golang.org/x/sys/unix"
)

const (
	// migrationTimeout bounds the wait for a server's own end, after which nothing more of it can be on its way. Time for which the client
	// takes nothing does not count. lastMigrationTimeout is what it is at the end of a shutdown.
	migrationTimeout       = 500 * time.Millisecond
	lastMigrationTimeout   = 150 * time.Millisecond
	migrationCheckInterval = 10 * time.Millisecond
	// maxPeerSendBuffer is above what a server's kernel holds that was not sent yet.
	maxPeerSendBuffer = 8 << 20
)

// CloseWithLine ends a pair: the client gets a last line, behind all that its server has sent, and the end of the connection. The server's
// side is ended first, in order unless abrupt, and what it sends until its own end is forwarded, for a bounded time. False means that the
// pair had ended already, and that the handler has been or will be notified.
func (p *Pair) CloseWithLine(last []byte, abrupt bool) bool {
	if !p.end(last) {
		return false
	}
	p.conns[Server].worker.submit(func() {
		if abrupt {
			p.closeAbruptly()
		} else {
			p.startMigration()
		}
	})
	return true
}

// closeAbruptly ends a pair whose server is taken for gone. It runs on the worker's goroutine.
func (p *Pair) closeAbruptly() {
	p.conns[Server].forwardRemaining(p.relay.now(), func() {
		p.conns[Client].finishWithLastLine(false)
		p.conns[Server].Abort()
	})
}

// startMigration ends the server's side behind what the client has sent. It runs on the worker's goroutine.
func (p *Pair) startMigration() {
	p.conns[Client].forwardUnread()
	p.conns[Client].discardInput()
	p.conns[Server].beginMigration()
	p.conns[Server].finishSending()
	p.checkMigration()
}

// migration is how far a server's connection has come whose pair is migrated.
type migration struct {
	startedAt time.Duration
	received  int // bytes since then
	maxInput  int // bytes that both kernels can hold: more was written after the end
}

// checkMigration ends the client's side once there is no use in waiting for the server's own end any longer, and checks again later
// otherwise. It runs on the worker's goroutine.
func (p *Pair) checkMigration() {
	client, server := p.conns[Client], p.conns[Server]
	if !client.isStalled() && server.isMigrating(client.lastBlockedAt()) {
		time.AfterFunc(migrationCheckInterval, func() { server.worker.submit(p.checkMigration) })
		return
	}
	server.forwardUnread()
	server.endMigration()
	client.finishWithLastLine(false)
}

// beginMigration keeps the connection open, whatever becomes of the rest of its end, until endMigration or its peer's own end.
func (c *Conn) beginMigration() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return
	}
	receiveBuffer, _ := unix.GetsockoptInt(c.fd, unix.SOL_SOCKET, unix.SO_RCVBUF) // fails only on a closed descriptor
	c.migration = &migration{startedAt: c.worker.relay.now(), maxInput: receiveBuffer + maxPeerSendBuffer}
}

// isMigrating reports whether a line that the server wrote before its end may still be on its way. The client was last blocked at a time.
func (c *Conn) isMigrating(blockedAt time.Duration) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed || c.migration == nil || c.migration.received > c.migration.maxInput {
		return false
	}
	startedAt := c.migration.startedAt
	until := c.worker.relay.migrationDeadline(max(startedAt, blockedAt))
	return c.worker.relay.now() < min(until, startedAt+maxDrainTime)
}

// SetMigrationDeadline bounds the time of the last migrations of a process that shuts down: they are done this long from now, but for those that
// begin even later. Servers that go on sending after their clients' end are given no longer either.
func (r *Relay) SetMigrationDeadline(within time.Duration) {
	r.shutdownDeadline.Store(int64(r.now() + within))
}

// migrationDeadline returns until when a server's own end is waited for.
func (r *Relay) migrationDeadline(from time.Duration) time.Duration {
	until := from + migrationTimeout
	if end := time.Duration(r.shutdownDeadline.Load()); end > 0 {
		until = min(until, max(end, from+lastMigrationTimeout))
	}
	return until
}

// countMigratedLocked counts what was read; n may be an error's.
func (c *Conn) countMigratedLocked(n int) {
	if c.migration != nil {
		c.migration.received += max(0, n)
	}
}

func (c *Conn) endMigration() {
	c.withLock(func() {
		c.migration = nil
		if !c.closed && c.drain != nil && c.drain.receivedAt > 0 {
			c.drain.receivedAt = c.worker.relay.now()
			c.checkDrainedLocked()
		}
	})
}

// lastBlockedAt returns when something last waited to be written to the connection, now if something does.
func (c *Conn) lastBlockedAt() time.Duration {
	if c.writeBlocked.Load() {
		return c.worker.relay.now()
	}
	return time.Duration(c.flushedAt.Load())
}
