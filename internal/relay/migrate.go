package relay

import (
	"time"

	"golang.org/x/sys/unix"
)

const (
	// migrationTimeout bounds the wait for the server to end its connection, after which no line of it can be in flight. Time during
	// which the client accepts nothing does not count. lastMigrationTimeout applies instead at the end of a shutdown.
	migrationTimeout       = 500 * time.Millisecond
	lastMigrationTimeout   = 150 * time.Millisecond
	migrationCheckInterval = 10 * time.Millisecond
	// maxPeerSendBuffer is an upper bound of the unsent bytes in the send buffer of a server's kernel.
	maxPeerSendBuffer = 8 << 20
)

// CloseWithLine ends a pair: the client receives last, after everything that was forwarded from its server, and then the end of its
// connection. If abrupt is set, the server's connection is reset after the input that has arrived was forwarded. Otherwise sending to the
// server is ended in an orderly way, and the server's lines are forwarded for a bounded time, until it ends the connection itself.
// CloseWithLine returns false if the pair had already ended; the handler's PairEnded has then been or will be called.
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

// closeAbruptly ends a pair whose server is considered dead. It runs on the worker's goroutine.
func (p *Pair) closeAbruptly() {
	p.conns[Server].forwardRemaining(p.relay.now(), func() {
		p.conns[Client].finishWithLastLine(false)
		p.conns[Server].Abort()
	})
}

// startMigration ends sending to the server, after the lines that the client has sent. It runs on the worker's goroutine.
func (p *Pair) startMigration() {
	p.conns[Client].forwardUnread()
	p.conns[Client].discardInput()
	p.conns[Server].beginMigration()
	p.conns[Server].finishSending()
	p.checkMigration()
}

// migration is the progress of the server's connection in a pair that is being migrated.
type migration struct {
	startedAt time.Duration // time on the relay's clock at which the migration began
	received  int           // number of bytes read since startedAt
	maxInput  int           // number of bytes that both kernels can hold; anything beyond was written after the server saw the end
}

// checkMigration ends the client's connection once waiting for the server's end is no longer useful, and schedules another check
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

// beginMigration keeps the connection open, even once it has been drained, until endMigration is called or its peer ends it.
func (c *Conn) beginMigration() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return
	}
	receiveBuffer, _ := unix.GetsockoptInt(c.fd, unix.SOL_SOCKET, unix.SO_RCVBUF) // the call fails only on a closed descriptor
	c.migration = &migration{startedAt: c.worker.relay.now(), maxInput: receiveBuffer + maxPeerSendBuffer}
}

// isMigrating reports whether a line that the server wrote before its end may still be in flight. blockedAt is when the client last did
// not accept data.
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

// SetMigrationDeadline makes the migrations of a process that shuts down finish within the given time from now. A migration that starts
// too late for that still gets lastMigrationTimeout. The deadline also applies to servers that keep sending after their clients have
// ended their sending.
func (r *Relay) SetMigrationDeadline(within time.Duration) {
	r.shutdownDeadline.Store(int64(r.now() + within))
}

// migrationDeadline returns the time until which the server's end is awaited, counted from the given time.
func (r *Relay) migrationDeadline(from time.Duration) time.Duration {
	until := from + migrationTimeout
	if end := time.Duration(r.shutdownDeadline.Load()); end > 0 {
		until = min(until, max(end, from+lastMigrationTimeout))
	}
	return until
}

// countMigratedLocked counts n bytes that were read during a migration. n is negative after a failed read, which counts as 0.
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

// lastBlockedAt returns when data was last waiting to be written to the connection: the current time if data is waiting now.
func (c *Conn) lastBlockedAt() time.Duration {
	if c.writeBlocked.Load() {
		return c.worker.relay.now()
	}
	return time.Duration(c.flushedAt.Load())
}
