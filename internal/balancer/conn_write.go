package balancer

import (
	"errors"
	"os"
	"time"
	"unsafe"

	"golang.org/x/sys/unix"

	"sabletally/internal/protocol"
	"sabletally/internal/socket"
)

const (
	maxOutgoing        = 64 << 10 // bytes that wait for a slow reader
	writeTimeout       = 5 * time.Second
	minWriteRetryDelay = time.Millisecond
	maxWriteRetryDelay = 20 * time.Millisecond

	maxUnbufferedWrites = 5
	// maxUnreadRounds bounds what is read of a client that is rejected at once: twice what its kernel and ours hold at first.
	maxUnreadRounds = 2 * maxQueuedInput / protocol.MaxLineBytes
)

// send queues bytes to be written; false if too many wait already.
func (c *conn) send(b []byte) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed || c.closingWrite {
		return true
	}
	if len(c.outgoing)+len(b) > maxOutgoing {
		return false
	}
	c.outgoing = append(c.outgoing, b...)
	c.startWriterLocked()
	return true
}

// startWriterLocked starts the writer unless it runs.
func (c *conn) startWriterLocked() {
	if !c.writing {
		c.writing = true
		go c.writeLoop()
	}
}

// writeLoop writes until nothing waits.
func (c *conn) writeLoop() {
	defer c.recoverPanic("writing to a connection")
	for {
		b := c.takeOutgoing()
		if b == nil {
			return
		}
		if err := c.writeNow(b); err != nil {
			c.postDisconnect(&DisconnectError{Stage: c.currentStage(), Abrupt: true, Cause: err})
			c.close()
			return
		}
	}
}

// takeOutgoing returns what waits to be written. If nothing does, it returns nil: the writer has to end.
func (c *conn) takeOutgoing() []byte {
	c.mu.Lock()
	defer c.mu.Unlock()
	b := c.outgoing
	c.outgoing = nil
	if len(b) > 0 && !c.closed {
		return b
	}
	c.writing = false
	if c.closingWrite && !c.closed {
		_ = unix.Shutdown(c.fd(), unix.SHUT_WR) // fails only if the client has ended it
	}
	return nil
}

// writeNow writes and keeps the stage: if the first write fails, its last byte was not written.
func (c *conn) writeNow(b []byte) error {
	isFirst := c.stage.CompareAndSwap(int32(StageConnected), int32(StageWritten))
	err := c.writeAll(b)
	if err != nil && isFirst {
		c.stage.Store(int32(StageConnected))
	}
	return err
}

// writeAll writes past netpoll, which closes the connection upon any error: an answer is owed also while the kernel has no memory for it.
// It waits as long as the client takes nothing, up to writeTimeout.
func (c *conn) writeAll(b []byte) error {
	deadline := time.Now().Add(writeTimeout)
	wait := minWriteRetryDelay
	for {
		n, err := c.writePart(b)
		b = b[n:]
		switch {
		case len(b) == 0:
			return nil
		case !errors.Is(err, unix.EAGAIN) && !socket.IsTemporary(err):
			return os.NewSyscallError("write", err)
		case time.Now().After(deadline):
			return os.ErrDeadlineExceeded
		}
		time.Sleep(wait)
		wait = min(2*wait, maxWriteRetryDelay)
	}
}

// writePart writes as much as the kernel takes now. The error tells why that is not all.
func (c *conn) writePart(b []byte) (written int, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return 0, errPeerClosed
	}
	return socket.WriteAvailable(c.fd(), b)
}

// hasSentFinalLine reports whether the client has received the last line: a reset before that would lose it.
func (c *conn) hasSentFinalLine() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.closingWrite || c.writing || c.closed {
		return false
	}
	unacknowledged, err := unix.IoctlGetInt(c.fd(), unix.SIOCOUTQ)
	return err != nil || unacknowledged == 0
}

// isFlushed reports whether nothing waits to be written.
func (c *conn) isFlushed() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.writing
}

// closeWrite ends the sending once all is written. A close would do if there were no unread bytes: with them it becomes a reset that
// overtakes the last line.
func (c *conn) closeWrite() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.closingWrite {
		c.closingWrite = true
		c.startWriterLocked()
	}
}

// writeUnbuffered writes a last line past the buffer, as far as the kernel takes it, to a client whose connection is closed next. What
// it has sent is read first, as a close with unread bytes is a reset, which may lose the line.
func (c *conn) writeUnbuffered(line []byte) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return
	}
	c.discardUnreadLocked()
	for range maxUnbufferedWrites {
		n, err := socket.WriteAvailable(c.fd(), line)
		if !socket.IsTemporary(err) {
			return
		}
		line = line[n:]
	}
}

// discardUnreadLocked reads what the client has sent, as far as that is bounded.
func (c *conn) discardUnreadLocked() {
	var unread [protocol.MaxLineBytes]byte
	for range maxUnreadRounds {
		if n, err := socket.Read(c.fd(), unread[:]); n <= 0 && !errors.Is(err, unix.EINTR) && !socket.IsTemporary(err) {
			return
		}
	}
}

// close closes the connection now.
func (c *conn) close() { _ = c.netConn.Close() } // closed either way

// closeAsync closes the connection on another goroutine: netpoll's own would wait for itself.
func (c *conn) closeAsync() { go c.close() }

// abort closes the connection with a reset.
func (c *conn) abort() {
	c.reset()
	c.close()
}

// reset has the kernel reset the connection at once; netpoll then finds it ended. netpoll's close waits for its poller, which goes on
// reading from a client at full speed meanwhile.
func (c *conn) reset() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return
	}
	unspecified := unix.RawSockaddr{Family: unix.AF_UNSPEC}
	// connect(2) to AF_UNSPEC resets a TCP connection; it can fail only on one that has ended.
	_, _, _ = unix.Syscall(unix.SYS_CONNECT, uintptr(c.fd()), uintptr(unsafe.Pointer(&unspecified)), unsafe.Sizeof(unspecified))
}
