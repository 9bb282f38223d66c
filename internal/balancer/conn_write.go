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

// This file writes to clients' connections, and shuts down, closes and resets them.

const (
	maxOutgoing        = 64 << 10        // maximum bytes that are queued for a client that reads slowly
	writeTimeout       = 5 * time.Second // time that a client has to read before a write fails
	minWriteRetryDelay = time.Millisecond
	maxWriteRetryDelay = 20 * time.Millisecond

	maxUnbufferedWrites = 5 // maximum number of writes of a line by writeUnbuffered while the kernel is short of memory
	// maxUnreadRounds bounds the reads of unread input from a client that is rejected at once. It covers twice the initial size of the
	// client's send buffer and our receive buffer together.
	maxUnreadRounds = 2 * maxQueuedInput / protocol.MaxLineBytes
)

// send queues bytes for writing. It returns false if the queue has no room for them.
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

// startWriterLocked starts writeLoop unless it is running. The caller holds c.mu.
func (c *conn) startWriterLocked() {
	if !c.writing {
		c.writing = true
		go c.writeLoop()
	}
}

// writeLoop writes the queued bytes until none are left.
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

// takeOutgoing removes and returns the queued bytes. If there are none, it marks the writer as stopped and returns nil.
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
		_ = unix.Shutdown(c.fd, unix.SHUT_WR) // fails only if the connection has ended already
	}
	return nil
}

// writeNow writes bytes and updates the connection's stage. The stage goes back to StageConnected if the first write fails, as that
// line was not written completely.
func (c *conn) writeNow(b []byte) error {
	isFirst := c.stage.CompareAndSwap(int32(StageConnected), int32(StageWritten))
	err := c.writeAll(b)
	if err != nil && isFirst {
		c.stage.Store(int32(StageConnected))
	}
	return err
}

// writeAll writes to the socket until all is written, for up to writeTimeout. On a temporary shortage of kernel memory it tries again, as
// the client is still owed its answer.
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

// writePart writes as much as the kernel accepts now. The error is the reason if that is not all.
func (c *conn) writePart(b []byte) (written int, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return 0, errPeerClosed
	}
	return socket.WriteAvailable(c.fd, b)
}

// hasSentFinalLine reports whether the client's kernel has received the final line. A reset before that would lose the line.
func (c *conn) hasSentFinalLine() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.closingWrite || c.writing || c.closed {
		return false
	}
	unacknowledged, err := unix.IoctlGetInt(c.fd, unix.SIOCOUTQ)
	return err != nil || unacknowledged == 0
}

// isFlushed reports whether all queued bytes are written.
func (c *conn) isFlushed() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.writing
}

// closeWrite shuts down the sending side once all queued bytes are written. It does not close the connection, as a close with unread
// input becomes a reset, which may overtake the final line.
func (c *conn) closeWrite() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.closingWrite {
		c.closingWrite = true
		c.startWriterLocked()
	}
}

// markEvicted records that the client gets a rejection by writeUnbuffered, and that no request of its may be sent any more.
func (c *conn) markEvicted() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.evicted = true
}

// writeUnbuffered writes a final line without queueing it, as far as the kernel accepts it, to a client whose connection is closed
// next. It reads the client's unread input first, as a close with unread input becomes a reset, which may lose the line.
func (c *conn) writeUnbuffered(line []byte) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return
	}
	c.discardUnreadLocked()
	for range maxUnbufferedWrites {
		n, err := socket.WriteAvailable(c.fd, line)
		if !socket.IsTemporary(err) {
			return
		}
		line = line[n:]
	}
}

// discardUnreadLocked reads and drops the client's unread input, up to maxUnreadRounds lines of maximum length. The caller holds c.mu.
func (c *conn) discardUnreadLocked() {
	var unread [protocol.MaxLineBytes]byte
	for range maxUnreadRounds {
		if n, err := socket.Read(c.fd, unread[:]); n <= 0 && !errors.Is(err, unix.EINTR) && !socket.IsTemporary(err) {
			return
		}
	}
}

// close closes the connection and posts its end, unless it is closed or detached already.
func (c *conn) close() {
	disconnect, isFirst := c.closeDescriptor()
	if !isFirst {
		return
	}
	c.descriptors.Add(-1)
	c.idleConns.remove(c)
	c.postDisconnect(disconnect)
}

// closeDescriptor closes the descriptor, if the connection still owns it, and returns how the connection ended.
func (c *conn) closeDescriptor() (disconnect *DisconnectError, isFirst bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return nil, false
	}
	disconnect = &DisconnectError{Stage: c.currentStage(), Cause: errPeerClosed}
	// A read may have consumed the error of a reset, but the connection's state still shows it.
	if info, err := c.tcpInfo(); err == nil {
		disconnect.Abrupt = info.State == unix.BPF_TCP_CLOSE
	}
	c.stopUsingLocked()
	_ = unix.Close(c.fd) // the descriptor is released even if close returns an error
	return disconnect, true
}

// abort closes the connection with a reset.
func (c *conn) abort() {
	c.reset()
	c.close()
}

// reset makes the kernel reset the connection at once; the next read then notices that it has ended.
func (c *conn) reset() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return
	}
	unspecified := unix.RawSockaddr{Family: unix.AF_UNSPEC}
	// connect(2) with AF_UNSPEC resets a TCP connection. It fails only if the connection has ended already.
	_, _, _ = unix.Syscall(unix.SYS_CONNECT, uintptr(c.fd), uintptr(unsafe.Pointer(&unspecified)), unsafe.Sizeof(unspecified))
}
