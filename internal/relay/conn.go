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

// maxFirstWriteTries bounds the writes of a connection's first line while the kernel has no memory for it.
const maxFirstWriteTries = 10

// state is the state of a connection.
type state uint8

const (
	stateDialing  state = iota
	stateUnpaired       // connected; its lines go to the handler, one at a time
	stateJoining        // is being made one of a pair: not read
	statePaired
	stateDraining // read to its end, and nothing of it is forwarded
)

// Conn is one connection. Its methods are safe for concurrent use.
type Conn struct {
	Data any // the caller's

	worker     *worker
	slot       int32
	generation int32

	mu       sync.Mutex // guards what follows, up to pair
	fd       int
	state    state
	interest uint32 // the events that are waited for
	oneShot  bool   // events arrive once, until they are waited for again
	// edgeTriggered has events arrive once for each change. An end is reported whatever is waited for, again and again without it.
	edgeTriggered bool
	// partial is input that makes no complete line yet, or that the handler has not asked for.
	partial     []byte
	writeBuffer []byte // waits to be written, from written on
	writeOffset int
	peerEnded   bool       // the peer has ended its sending: nothing more is read
	migration   *migration // not nil while what it sends until its own end is still forwarded
	closed      bool
	drain       *drain // nil until the end is begun; nothing more is written then
	writeErr    error  // of a write that failed for good: a read may only see an orderly end after it
	// firstWrittenAt is when WriteFirst wrote, responseTime how long after that the newest line was read.
	firstWrittenAt time.Duration
	responseTime   time.Duration

	// coalesceUntil is until when writeBuffer waits for more small writes, 0 if it does not wait for that. nextSmallWriteAt is when the next
	// one need not wait.
	coalesceUntil    time.Duration
	nextSmallWriteAt time.Duration

	pair atomic.Pointer[Pair]
	side Side // set before pair

	// writeBlocked is set while something waits to be written: the other side is not read then. blockedSince is since when nothing of
	// it was taken, 0 if nothing waits. flushedAt is when it was last written completely.
	writeBlocked atomic.Bool
	blockedSince atomic.Int64
	flushedAt    atomic.Int64
	// unacknowledged is what the kernel had not delivered when blockedSince was set.
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

// setInterestLocked changes what is waited for. A one-shot connection is armed again even if nothing changes.
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
	_ = unix.EpollCtl(c.worker.epfd, unix.EPOLL_CTL_MOD, c.fd, &event) // the descriptor is open and in the set
}

// setEdgeTriggeredLocked sets whether events arrive once for each change.
func (c *Conn) setEdgeTriggeredLocked(on bool) {
	c.edgeTriggered = on
	c.setInterestLocked(0, true)
}

// closeLocked closes the descriptor.
func (c *Conn) closeLocked() {
	if !c.closed {
		c.worker.relay.UnsentBytes.Add(int64(len(c.writeBuffer) - c.writeOffset))
		c.detachLocked()
		closeDescriptor(c.fd)
	}
}

// detachLocked takes the connection out of its worker for good and leaves the descriptor open.
func (c *Conn) detachLocked() {
	c.closed = true
	c.blockedSince.Store(0)
	c.writeBlocked.Store(false)
	if c.drain != nil && c.drain.timer != nil {
		c.drain.timer.Stop()
		c.worker.relay.lingering.remove(c)
	}
	// Another descriptor of the same socket may be open for a moment: the set would go on reporting events of it.
	_ = unix.EpollCtl(c.worker.epfd, unix.EPOLL_CTL_DEL, c.fd, nil) // fails only if it never was in the set
	c.worker.remove(c)
	c.worker.relay.descriptors.Add(-1)
	c.writeBuffer = nil
	c.writeOffset = 0
	c.coalesceUntil = 0
}

// Close closes the connection now.
func (c *Conn) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closeLocked()
}

// Abort closes the connection with a reset, which discards what its peer has not received.
func (c *Conn) Abort() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.abortLocked()
}

func (c *Conn) abortLocked() {
	if !c.closed {
		c.countUnsentLocked()
		reset := unix.Linger{Onoff: 1}
		_ = unix.SetsockoptLinger(c.fd, unix.SOL_SOCKET, unix.SO_LINGER, &reset) // otherwise it ends in order
	}
	c.closeLocked()
}

// CheckOpen returns an error if the server has ended the connection before it was sent anything.
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

// WriteFirst writes a connection's first line. After an error its last byte was not written. AwaitLine then has the answer read.
func (c *Conn) WriteFirst(line []byte) error {
	for tries := 1; ; tries++ {
		n, err := c.writeFirstAvailable(line)
		switch {
		case err == nil:
			return nil
		case !socket.IsTemporary(err) || tries == maxFirstWriteTries: // a new connection takes one line at once, or nothing
			return os.NewSyscallError("write", err)
		}
		line = line[n:]
		c.worker.relay.WriteRetries.Add(1)
		time.Sleep(shortageRetryDelay)
	}
}

// writeFirstAvailable writes as much of the first line as is taken.
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

// ResponseTime returns how long after WriteFirst the newest line was read, however late the handler handles it.
func (c *Conn) ResponseTime() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.responseTime
}

// AwaitLine has the next line reported to the handler.
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

// onConnected reports how a dial ended.
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
		// No interest in EPOLLOUT any more: such an event would arm the set again, and a second line was reported unasked.
		c.interest = unix.EPOLLONESHOT
	}
	c.mu.Unlock()
	c.worker.relay.handler.Connected(c, err)
}

// onEnded handles the end of a connection by the other side; err is nil if it was ended in order, and whatever else broke it otherwise.
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
	case c.side == Client: // it may have ended its sending alone, and wait for the answers
		c.endReading()
		other.finishSending()
	default:
		other.finish(false)
		c.finishGracefully()
	}
	p.relay.handler.PairEnded(PairEnd{Pair: p, EndedBy: c.side, Abrupt: abrupt, Cause: err, Pending: pending})
}

// writeError returns the error of a write that failed for good.
func (c *Conn) writeError() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.writeErr
}

// fail ends a connection for a fault of its own, and its pair.
func (c *Conn) fail(why error) {
	p := c.pair.Load()
	if p == nil {
		c.worker.relay.handler.Disconnected(c, true, why)
		return
	}
	pending := p.pending()
	if !p.end(nil) {
		p.resetOther(c)
		c.withLock(c.abortLocked)
		return
	}
	p.conns[c.side.other()].finish(true)
	if errors.Is(why, ErrSlowReader) {
		c.Abort()
	} else {
		c.finish(true)
	}
	p.relay.handler.PairEnded(PairEnd{Pair: p, EndedBy: c.side, Abrupt: true, Fault: why, Pending: pending})
}
