// This file owns one connection on a shard, and pairs of them.

package relay

import (
	"bytes"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"

	"sabletally/internal/protocol"
)

type state uint8

const (
	stateDialing  state = iota
	stateUnpaired       // connected; its lines go to the owner, one at a time
	stateParked         // a client's that is being made one of a pair
	statePaired
	stateDraining // nothing of it is passed on any more; it is read to its end
)

// Conn is one connection. Its methods may be called by anyone.
type Conn struct {
	Data       any // the owner's
	worker     *worker
	slot       int32
	generation int32

	mu             sync.Mutex
	fd             int
	state          state
	interest       uint32
	oneShot        bool   // events come once until they are wanted again
	partial        []byte // a line that is not whole yet, or that the owner has not asked for
	writeBuffer    []byte // waits to be written, from the byte written on
	written        int
	closingWrite   bool // nothing more is written once out is empty
	firstWrittenAt time.Duration
	responseTime   time.Duration // from the first line's write to the newest line's read
	closed         bool
	pair           atomic.Pointer[Pair]
	side           Side // set before the pair

	writeBlocked atomic.Bool  // something waits to be written: the other side is not read
	blockedSince atomic.Int64 // since when nothing of it was taken; 0: nothing waits
}

// Pair is a circuit that stands.
type Pair struct {
	Data          any // the owner's
	relay         *Relay
	serverID      uint64
	conns         [2]*Conn
	ended         atomic.Bool
	completed     atomic.Bool // its server has said that it is served to its end
	moveRequested atomic.Bool // it sends the client away
	requestedAt   atomic.Int64
	lastLineAt    atomic.Int64
}

// Completed and Moved tell what the server has said of the pair's end.
func (p *Pair) Completed() bool     { return p.completed.Load() }
func (p *Pair) MoveRequested() bool { return p.moveRequested.Load() }

// register puts it into its shard's set.
func (c *Conn) register(events uint32) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.interest, c.oneShot = events, events&unix.EPOLLONESHOT != 0
	ev := unix.EpollEvent{Events: events, Fd: c.slot, Pad: c.generation}
	return os.NewSyscallError("epoll", unix.EpollCtl(c.worker.epfd, unix.EPOLL_CTL_ADD, c.fd, &ev))
}

// setInterestLocked changes what it waits for; mu is held. One that comes once is armed anew even if nothing changes.
func (c *Conn) setInterestLocked(events uint32, on bool) {
	to := c.interest &^ (events | unix.EPOLLONESHOT)
	if on {
		to |= events
	}
	if c.oneShot {
		to |= unix.EPOLLONESHOT
	}
	if c.closed || to == c.interest && !c.oneShot {
		return
	}
	c.interest = to
	ev := unix.EpollEvent{Events: to, Fd: c.slot, Pad: c.generation}
	_ = unix.EpollCtl(c.worker.epfd, unix.EPOLL_CTL_MOD, c.fd, &ev)
}

// closeLocked closes the descriptor; mu is held.
func (c *Conn) closeLocked() {
	if !c.closed {
		c.detachLocked()
		_ = unix.Close(c.fd)
	}
}

// detachLocked takes it out of its shard, for good; mu is held.
func (c *Conn) detachLocked() {
	c.closed = true
	c.blockedSince.Store(0)
	// Another descriptor of the same socket may be open for a moment: the set would go on telling of it.
	_ = unix.EpollCtl(c.worker.epfd, unix.EPOLL_CTL_DEL, c.fd, nil)
	c.worker.remove(c)
	c.worker.relay.descriptors.Add(-1)
	c.writeBuffer, c.written = nil, 0
}

// Close ends it now; Abort does so by a reset.
func (c *Conn) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closeLocked()
}

// Abort ends it by a reset.
func (c *Conn) Abort() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.closed {
		_ = unix.SetsockoptLinger(c.fd, unix.SOL_SOCKET, unix.SO_LINGER, &unix.Linger{Onoff: 1})
	}
	c.closeLocked()
}

// CheckOpen looks at what a server has said or done before it was asked anything: an error if it has ended.
func (c *Conn) CheckOpen() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return net.ErrClosed
	}
	var b [1]byte
	n, _, err := unix.Recvfrom(c.fd, b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
	switch {
	case err == unix.EAGAIN || n > 0:
		return nil
	case err != nil:
		return os.NewSyscallError("read", err)
	}
	return net.ErrClosed
}

// WriteFirst writes a first line; an error says that its last byte was not written. Then Listen has it read.
func (c *Conn) WriteFirst(text []byte) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return net.ErrClosed
	}
	for len(text) > 0 {
		n, err := unix.Write(c.fd, text)
		if err == unix.EINTR {
			continue
		}
		if err != nil { // a fresh connection takes one line at once, or none
			return os.NewSyscallError("write", err)
		}
		text = text[n:]
	}
	c.firstWrittenAt = c.worker.relay.now()
	return nil
}

// ResponseTime is how long after the first line was written the newest line was read, however late its owner looks at it.
func (c *Conn) ResponseTime() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.responseTime
}

// AwaitLine has the next line told to the owner.
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

// nextLineLocked takes the next whole line out of what is held; mu is held.
func (c *Conn) nextLineLocked() []byte {
	end := bytes.IndexByte(c.partial, '\n')
	if end < 0 {
		return nil
	}
	raw := bytes.Clone(c.partial[:end+1])
	c.partial = append(c.partial[:0], c.partial[end+1:]...)
	return raw
}

// onReadable reads what there is, once: a connection that sends at full speed does not keep the others waiting. dead:
// no bytes are told of, only an end.
func (c *Conn) onReadable(dead bool) {
	c.mu.Lock()
	if c.closed {
		c.mu.Unlock()
		return
	}
	st := c.state
	if st == stateDialing {
		c.mu.Unlock()
		c.onConnected()
		return
	}
	if st == stateParked { // it is told again once the pair stands
		c.mu.Unlock()
		return
	}
	n, err := unix.Read(c.fd, c.worker.readBuffer)
	if err == unix.EAGAIN || err == unix.EINTR {
		if c.oneShot {
			c.setInterestLocked(unix.EPOLLIN, true)
		}
		c.mu.Unlock()
		return
	}
	if n <= 0 || err != nil {
		c.mu.Unlock()
		if err != nil {
			err = os.NewSyscallError("read", err)
		}
		c.onEnded(err)
		return
	}
	switch st {
	case stateUnpaired:
		c.partial = append(c.partial, c.worker.readBuffer[:n]...)
		c.responseTime = c.worker.relay.now() - c.firstWrittenAt
		raw := c.nextLineLocked()
		long := raw == nil && len(c.partial) >= protocol.Longest
		if raw == nil && !long {
			c.setInterestLocked(unix.EPOLLIN, true)
		}
		c.mu.Unlock()
		switch {
		case long:
			c.worker.relay.handler.Disconnected(c, true, ErrLineTooLong)
		case raw != nil:
			c.worker.relay.handler.LineReceived(c, raw)
		}
	case statePaired:
		c.mu.Unlock()
		c.forward(c.worker.readBuffer[:n])
	default:
		c.mu.Unlock()
	}
}

// onConnected tells how a dial ended.
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
		// Guards against a first line that is listened for as well by the wish to write: that event would arm the set anew, and a
		// second line was told unasked.
		c.interest = unix.EPOLLONESHOT
	}
	c.mu.Unlock()
	c.worker.relay.handler.Connected(c, err)
}

// onEnded takes the end of a connection by the other side.
func (c *Conn) onEnded(err error) {
	abrupt := isReset(err)
	switch p := c.pair.Load(); {
	case p == nil:
		c.worker.relay.handler.Disconnected(c, abrupt, err)
	case p.ended.CompareAndSwap(false, true):
		other := p.conns[1-c.side]
		switch {
		case abrupt:
			other.Abort()
		case c.side == Client: // nobody reads what its server still says
			other.Close()
		default:
			other.CloseWrite()
		}
		c.Close()
		p.relay.handler.PairEnded(p, c.side, abrupt, nil)
	default:
		c.Close()
	}
}

// fail ends a connection for a fault of its own, and its pair.
func (c *Conn) fail(why error) {
	p := c.pair.Load()
	if p == nil {
		c.worker.relay.handler.Disconnected(c, true, why)
		return
	}
	if p.Abort() {
		p.relay.handler.PairEnded(p, c.side, true, why)
		return
	}
	c.Abort()
}

// forward hands whole lines on; what makes no whole line is held. Only one goroutine at a time passes what a connection says:
// its shard's, or the one that makes the pair, before events are wanted.
func (c *Conn) forward(more []byte) {
	work := more
	if len(c.partial) > 0 {
		c.partial = append(c.partial, more...)
		work = c.partial
	}
	end := bytes.LastIndexByte(work, '\n') + 1
	if why := c.inspect(work[:end]); why != nil {
		c.fail(why)
		return
	}
	if len(work)-end >= protocol.Longest {
		c.fail(ErrLineTooLong)
		return
	}
	if end > 0 {
		other := c.pair.Load().conns[1-c.side]
		if other.write(work[:end]) {
			c.mu.Lock()
			c.setInterestLocked(unix.EPOLLIN, false)
			c.mu.Unlock()
			if !other.writeBlocked.Load() { // it was written meanwhile
				c.resumeReading()
			}
		}
	}
	switch rest := work[end:]; {
	case len(rest) > 0 && len(c.partial) > 0:
		c.partial = append(c.partial[:0], rest...)
	case len(rest) > 0:
		c.partial = append(c.worker.takeBuffer(&c.worker.partialBuffers, protocol.Longest/4), rest...)
	case c.partial != nil:
		c.worker.returnBuffer(&c.worker.partialBuffers, c.partial, 2*protocol.Longest)
		c.partial = nil
	}
}

// takeBuffer and giveBack keep a few buffers of partial lines and of what waits, so that an idle connection has none and a
// busy one makes no garbage; kept is sh.small or sh.large.
func (sh *worker) takeBuffer(kept *[][]byte, size int) []byte {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	if n := len(*kept); n > 0 {
		b := (*kept)[n-1]
		*kept = (*kept)[:n-1]
		return b
	}
	return make([]byte, 0, size)
}

func (sh *worker) returnBuffer(kept *[][]byte, b []byte, most int) {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	if cap(b) <= most && len(*kept) < maxSpareBuffers {
		*kept = append(*kept, b[:0])
	}
}

// inspect goes over whole lines for what the owner has to know; an error ends the pair.
func (c *Conn) inspect(text []byte) error {
	p, now, lines := c.pair.Load(), int64(0), int64(0)
	for len(text) > 0 {
		end := bytes.IndexByte(text, '\n') + 1
		one := text[:end]
		text = text[end:]
		if now == 0 {
			now = int64(p.relay.now())
		}
		lines++
		if end >= protocol.Longest+1 {
			return ErrLineTooLong
		}
		if c.side == Client {
			if end < 2 || one[end-2] != '\r' {
				return ErrBareLF
			}
			p.requestedAt.CompareAndSwap(0, now)
			continue
		}
		switch protocol.KindOf(one) {
		case protocol.Load:
			c.worker.addLoad(LoadLine{p, bytes.Clone(one)})
		case protocol.Bye:
			p.completed.Store(true)
		case protocol.Move:
			p.moveRequested.Store(true)
		default:
			if asked := p.requestedAt.Swap(0); asked > 0 {
				c.worker.addSample(p.serverID, time.Duration(now-asked))
			}
		}
		p.lastLineAt.Store(now)
	}
	if lines > 0 {
		p.relay.ForwardedLines.Add(lines)
	}
	return nil
}

// write writes as much as is taken and keeps the rest; true: something waits now, and the other side must not be read
// on until it is written.
func (c *Conn) write(text []byte) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.writeLocked(text)
}

// writeLocked is push; mu is held.
func (c *Conn) writeLocked(text []byte) bool {
	if c.closed || c.closingWrite {
		return false
	}
	for len(c.writeBuffer) == 0 && len(text) > 0 {
		n, err := unix.Write(c.fd, text)
		if err == unix.EINTR {
			continue
		}
		if err == unix.EAGAIN {
			break
		}
		if err != nil {
			return false // its end is read
		}
		text = text[n:]
	}
	if len(text) > 0 {
		if c.writeBuffer == nil {
			c.writeBuffer = c.worker.takeBuffer(&c.worker.writeBuffers, readBufferSize)
		}
		c.writeBuffer = append(c.writeBuffer, text...)
		c.markBlockedLocked()
	}
	return len(c.writeBuffer) > 0
}

// markBlockedLocked notes that something waits; mu is held.
func (c *Conn) markBlockedLocked() {
	c.writeBlocked.Store(true)
	if c.blockedSince.Load() == 0 {
		c.blockedSince.Store(int64(c.worker.relay.now()))
	}
	c.setInterestLocked(unix.EPOLLOUT, true)
}

// onWritable writes what waits, or finds that a dial has ended.
func (c *Conn) onWritable() {
	c.mu.Lock()
	if c.state == stateDialing {
		c.mu.Unlock()
		c.onConnected()
		return
	}
	for !c.closed && c.written < len(c.writeBuffer) {
		n, err := unix.Write(c.fd, c.writeBuffer[c.written:])
		if err == unix.EINTR {
			continue
		}
		if err != nil {
			break
		}
		c.written += n
		c.blockedSince.Store(int64(c.worker.relay.now()))
	}
	done := c.written == len(c.writeBuffer)
	if done && !c.closed {
		if c.writeBuffer != nil {
			c.worker.returnBuffer(&c.worker.writeBuffers, c.writeBuffer, 4*readBufferSize)
		}
		c.writeBuffer, c.written = nil, 0
		c.blockedSince.Store(0)
		c.writeBlocked.Store(false)
		c.setInterestLocked(unix.EPOLLOUT, false)
		if c.closingWrite {
			_ = unix.Shutdown(c.fd, unix.SHUT_WR)
		}
	}
	c.mu.Unlock()
	p := c.pair.Load()
	if done && p != nil {
		p.conns[1-c.side].resumeReading()
	}
}

// resumeReading has a side read on whose other side takes more.
func (c *Conn) resumeReading() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.state == statePaired {
		c.setInterestLocked(unix.EPOLLIN, true)
	}
}

// CloseWrite ends the sending once all is written; what still comes is read and passed by, to the end, so that no unread
// byte turns the close into a reset that overtakes the last line. The owner closes it for good a little later.
func (c *Conn) CloseWrite() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closeWriteLocked()
}

// closeWriteLocked is Finish; mu is held.
func (c *Conn) closeWriteLocked() {
	if c.closed || c.closingWrite {
		return
	}
	c.closingWrite, c.state = true, stateDraining
	c.setInterestLocked(unix.EPOLLIN, true)
	if len(c.writeBuffer) == 0 {
		_ = unix.Shutdown(c.fd, unix.SHUT_WR)
	}
}

// CloseWithLine has a pair end from here: the client gets a last line, behind whole lines, and an end; the server's side is
// closed, by a reset if abrupt. False: it was over already, and the owner has been or will be told.
func (p *Pair) CloseWithLine(last []byte, abrupt bool) bool {
	if !p.ended.CompareAndSwap(false, true) {
		return false
	}
	c := p.conns[Client]
	c.mu.Lock()
	c.writeLocked(last)
	c.closeWriteLocked() // under the same lock, or the relay would pass a line between the last and the end
	c.mu.Unlock()
	if s := p.conns[Server]; abrupt {
		s.Abort()
	} else {
		s.Close()
	}
	return true
}

// Abort ends both sides by a reset; false: it was over already.
func (p *Pair) Abort() bool {
	if !p.ended.CompareAndSwap(false, true) {
		return false
	}
	p.conns[Client].Abort()
	p.conns[Server].Abort()
	return true
}

// Close closes what is left of the client's side for good.
func (p *Pair) Close() { p.conns[Client].Close() }
