package relay

import (
	"errors"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"

	"sabletally/internal/socket"
)

// maxFirstWriteTries bounds how often the first line of a connection is written while the kernel is short of memory.
const maxFirstWriteTries = 10

// state is the phase of a connection's life.
type state uint8

const (
	stateDialing  state = iota // the connect has not finished yet
	stateUnpaired              // the connection is established and its lines are reported to the handler one at a time
	stateJoining               // the connection is being made part of a pair and is not read
	statePaired                // lines of the connection are forwarded to the other side
	stateDraining              // the connection is read until its end and the input is discarded
)

// Conn is one connection. Its methods are safe for concurrent use.
type Conn struct {
	Data any // opaque value that belongs to the relay's user

	worker     *worker
	slot       int32
	generation int32

	mu       sync.Mutex // mu guards the fields below, up to pair
	fd       int
	state    state
	interest uint32 // epoll events that are waited for
	oneShot  bool   // whether each event disables further ones until setInterestLocked arms them again
	// edgeTriggered makes epoll report an event once per change. Hang-ups are reported whatever the interest is, repeatedly unless the
	// connection is edge-triggered.
	edgeTriggered bool
	// partial is input that is not a complete line yet, or that the handler has not asked for.
	partial     []byte
	writeBuffer []byte // data to write, starting at writeOffset
	writeOffset int
	peerEnded   bool       // whether the peer has ended its sending, so that nothing more is read
	migration   *migration // state of a migration; nil unless a migrated server's input is forwarded until its own end
	closed      bool
	drain       *drain // state of the connection's end; nil before that, and once it is set no new data is accepted for writing
	writeErr    error  // error of a write that failed permanently; a read may report only an orderly end after it
	// firstWrittenAt is when WriteFirst wrote its line, responseTime the time from then until the newest line was read.
	firstWrittenAt time.Duration
	responseTime   time.Duration

	// coalesceUntil is the time until which writeBuffer waits for more small writes, 0 if it is not waiting. nextSmallWriteAt is the time
	// from which a small write is sent without waiting.
	coalesceUntil    time.Duration
	nextSmallWriteAt time.Duration

	pair atomic.Pointer[Pair]
	side Side // side of the pair; set before pair

	// writeBlocked is set while data is waiting because the peer does not accept it; the other side is not read meanwhile. blockedSince
	// is the time since which the peer has accepted nothing, 0 if no data is waiting. flushedAt is when the write buffer last became
	// empty.
	writeBlocked atomic.Bool
	blockedSince atomic.Int64
	flushedAt    atomic.Int64
	// unacknowledged is the number of bytes in the kernel's send queue when blockedSince was set.
	unacknowledged int
}

// register adds the connection to its worker's epoll set.
func (c *Conn) register(events uint32) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.interest = events
	c.oneShot = events&unix.EPOLLONESHOT != 0
	event := unix.EpollEvent{Events: events, Fd: c.slot, Pad: c.generation}
	return os.NewSyscallError("epoll", unix.EpollCtl(c.worker.epfd, unix.EPOLL_CTL_ADD, c.fd, &event))
}

// setInterestLocked adds events to the interest, or removes them. It rearms a one-shot connection even if the interest stays the same.
func (c *Conn) setInterestLocked(events uint32, on bool) {
	interest := c.interest &^ (events | unix.EPOLLONESHOT | unix.EPOLLET)
	if on {
		interest |= events
	}
	if c.oneShot {
		interest |= unix.EPOLLONESHOT
	}
	if c.edgeTriggered {
		interest |= unix.EPOLLET
	}
	if c.closed || interest == c.interest && !c.oneShot {
		return
	}
	c.interest = interest
	event := unix.EpollEvent{Events: interest, Fd: c.slot, Pad: c.generation}
	_ = unix.EpollCtl(c.worker.epfd, unix.EPOLL_CTL_MOD, c.fd, &event) // the call can't fail: the descriptor is open and in the set
}

// setEdgeTriggeredLocked sets whether events are reported once per change.
func (c *Conn) setEdgeTriggeredLocked(on bool) {
	c.edgeTriggered = on
	c.setInterestLocked(0, true)
}

// closeLocked closes the descriptor and counts the buffered bytes as unsent.
func (c *Conn) closeLocked() {
	if !c.closed {
		c.worker.relay.UnsentBytes.Add(int64(len(c.writeBuffer) - c.writeOffset))
		c.detachLocked()
		closeDescriptor(c.fd)
	}
}

// detachLocked permanently removes the connection from its worker and leaves the descriptor open.
func (c *Conn) detachLocked() {
	c.closed = true
	c.blockedSince.Store(0)
	c.writeBlocked.Store(false)
	if c.drain != nil && c.drain.timer != nil {
		c.drain.timer.Stop()
		c.worker.relay.lingering.remove(c)
	}
	// Another descriptor of the same socket may stay open for a moment, and the epoll set would continue to report its events.
	_ = unix.EpollCtl(c.worker.epfd, unix.EPOLL_CTL_DEL, c.fd, nil) // the call fails only if the descriptor was never in the set
	c.worker.remove(c)
	c.worker.relay.descriptors.Add(-1)
	c.writeBuffer = nil
	c.writeOffset = 0
	c.coalesceUntil = 0
}

// Close closes the connection immediately.
func (c *Conn) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closeLocked()
}

// Abort closes the connection with a reset, which discards the data that its peer has not received.
func (c *Conn) Abort() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.abortLocked()
}

func (c *Conn) abortLocked() {
	if !c.closed {
		c.countUnsentLocked()
		reset := unix.Linger{Onoff: 1}
		_ = unix.SetsockoptLinger(c.fd, unix.SOL_SOCKET, unix.SO_LINGER, &reset) // if the call fails, the close is an orderly one
	}
	c.closeLocked()
}

// CheckOpen returns an error if the server has ended the connection, and nil if the connection is open or holds unread input.
func (c *Conn) CheckOpen() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return net.ErrClosed
	}
	var next [1]byte
	n, _, err := unix.Recvfrom(c.fd, next[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
	switch {
	case errors.Is(err, unix.EAGAIN) || n > 0:
		return nil
	case err != nil:
		return os.NewSyscallError("read", err)
	}
	return net.ErrClosed
}

// WriteFirst writes a connection's first line. If it returns an error, the line was not written completely. AwaitLine then reports the
// answer.
func (c *Conn) WriteFirst(line []byte) error {
	for tries := 1; ; tries++ {
		n, err := c.writeFirstAvailable(line)
		switch {
		case err == nil:
			return nil
		// A full buffer is a permanent error too: the send buffer of a new connection accepts the whole line or nothing.
		case !socket.IsTemporary(err) || tries == maxFirstWriteTries:
			return os.NewSyscallError("write", err)
		}
		line = line[n:]
		c.worker.relay.WriteRetries.Add(1)
		time.Sleep(shortageRetryDelay)
	}
}

// writeFirstAvailable writes as much of the first line as the kernel accepts.
func (c *Conn) writeFirstAvailable(line []byte) (written int, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return 0, net.ErrClosed
	}
	written, err = socket.WriteAvailable(c.fd, line)
	if err == nil {
		c.firstWrittenAt = c.worker.relay.now()
	}
	return written, err
}

// ResponseTime returns the time from WriteFirst until the newest line was read from the socket. It excludes any delay in the handler.
func (c *Conn) ResponseTime() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.responseTime
}

// AwaitLine requests that the next line be reported to the handler.
func (c *Conn) AwaitLine() {
	c.mu.Lock()
	raw := c.nextLineLocked()
	if raw == nil {
		c.setInterestLocked(unix.EPOLLIN, true)
	}
	c.mu.Unlock()
	if raw != nil {
		c.worker.relay.handler.LineReceived(c, raw)
	}
}

// onConnected reports the result of a dial.
func (c *Conn) onConnected() {
	c.mu.Lock()
	if c.closed || c.state != stateDialing {
		c.mu.Unlock()
		return
	}
	code, err := unix.GetsockoptInt(c.fd, unix.SOL_SOCKET, unix.SO_ERROR)
	if err == nil && code != 0 {
		err = os.NewSyscallError("connect", unix.Errno(code))
	}
	if err == nil {
		c.state = stateUnpaired
		// EPOLLOUT is removed from the interest: such an event would arm the set again, and a second line would be reported without a
		// call of AwaitLine.
		c.interest = unix.EPOLLONESHOT
	}
	c.mu.Unlock()
	c.worker.relay.handler.Connected(c, err)
}

// onEnded handles the end of a connection by its peer. err is nil after an orderly end, and the error that broke the connection
// otherwise.
func (c *Conn) onEnded(err error) {
	if err == nil {
		err = c.writeError()
	}
	abrupt := err != nil
	p := c.pair.Load()
	if p == nil {
		c.worker.relay.handler.Disconnected(c, abrupt, err)
		return
	}
	if !p.end(nil) {
		c.onEndedAfterPair(abrupt)
		return
	}
	pending := p.pending()
	other := p.conns[c.side.other()]
	switch {
	case abrupt:
		other.finish(true)
		c.Close()
	case c.side == Client: // the client may have closed only its sending side and still wait for answers
		c.endReading()
		other.finishSending()
	default:
		other.finish(false)
		c.finishGracefully()
	}
	p.relay.handler.PairEnded(PairEnd{Pair: p, EndedBy: c.side, Abrupt: abrupt, Cause: err, Pending: pending})
}

// writeError returns the error of a write that failed permanently, nil if there is none.
func (c *Conn) writeError() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.writeErr
}

// fail ends a connection for the given reason, and the pair that it belongs to.
func (c *Conn) fail(reason error) {
	p := c.pair.Load()
	if p == nil {
		c.worker.relay.handler.Disconnected(c, true, reason)
		return
	}
	pending := p.pending()
	if !p.end(nil) {
		p.resetOther(c)
		c.withLock(c.abortLocked)
		return
	}
	p.conns[c.side.other()].finish(true)
	if errors.Is(reason, ErrSlowReader) {
		c.Abort()
	} else {
		c.finish(true)
	}
	p.relay.handler.PairEnded(PairEnd{Pair: p, EndedBy: c.side, Abrupt: true, Fault: reason, Pending: pending})
}
