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
	dialing state = iota
	lone          // connected; its lines go to the owner, one at a time
	resting       // a client's that is being made one of a pair
	paired
	ending // nothing of it is passed on any more; it is read to its end
)

// Conn is one connection. Its methods may be called by anyone.
type Conn struct {
	Data any // the owner's
	sh   *shard
	slot int32
	gen  int32

	mu       sync.Mutex
	fd       int
	state    state
	interest uint32
	oneShot  bool   // events come once until they are wanted again
	held     []byte // a line that is not whole yet, or that the owner has not asked for
	out      []byte // waits to be written, from the byte written on
	written  int
	ending   bool // nothing more is written once out is empty
	askedAt  time.Duration
	took     time.Duration // from the first line's write to the newest line's read
	closed   bool
	pair     atomic.Pointer[Pair]
	mine     Side // set before the pair

	stalled   atomic.Bool  // something waits to be written: the other side is not read
	stalledAt atomic.Int64 // since when nothing of it was taken; 0: nothing waits
}

// Pair is a circuit that stands.
type Pair struct {
	Data   any // the owner's
	s      *Shards
	server uint64
	side   [2]*Conn
	over   atomic.Bool
	byed   atomic.Bool // its server has said that it is served to its end
	moved  atomic.Bool // it sends the client away
	asked  atomic.Int64
	heard  atomic.Int64
}

// Byed and Moved tell what the server has said of the pair's end.
func (p *Pair) Byed() bool  { return p.byed.Load() }
func (p *Pair) Moved() bool { return p.moved.Load() }

// register puts it into its shard's set.
func (c *Conn) register(events uint32) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.interest, c.oneShot = events, events&unix.EPOLLONESHOT != 0
	ev := unix.EpollEvent{Events: events, Fd: c.slot, Pad: c.gen}
	return os.NewSyscallError("epoll", unix.EpollCtl(c.sh.epfd, unix.EPOLL_CTL_ADD, c.fd, &ev))
}

// want changes what it waits for; mu is held. One that comes once is armed anew even if nothing changes.
func (c *Conn) want(events uint32, on bool) {
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
	ev := unix.EpollEvent{Events: to, Fd: c.slot, Pad: c.gen}
	_ = unix.EpollCtl(c.sh.epfd, unix.EPOLL_CTL_MOD, c.fd, &ev)
}

// shut closes the descriptor; mu is held.
func (c *Conn) shut() {
	if !c.closed {
		c.detach()
		_ = unix.Close(c.fd)
	}
}

// detach takes it out of its shard, for good; mu is held.
func (c *Conn) detach() {
	c.closed = true
	c.stalledAt.Store(0)
	// Another descriptor of the same socket may be open for a moment: the set would go on telling of it.
	_ = unix.EpollCtl(c.sh.epfd, unix.EPOLL_CTL_DEL, c.fd, nil)
	c.sh.drop(c)
	c.sh.of.fds.Add(-1)
	c.out, c.written = nil, 0
}

// Close ends it now; Abort does so by a reset.
func (c *Conn) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.shut()
}

// Abort ends it by a reset.
func (c *Conn) Abort() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.closed {
		_ = unix.SetsockoptLinger(c.fd, unix.SOL_SOCKET, unix.SO_LINGER, &unix.Linger{Onoff: 1})
	}
	c.shut()
}

// Early looks at what a server has said or done before it was asked anything: an error if it has ended.
func (c *Conn) Early() error {
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

// Ask writes a first line; an error says that its last byte was not written. Then Listen has it read.
func (c *Conn) Ask(text []byte) error {
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
	c.askedAt = c.sh.of.now()
	return nil
}

// Took is how long after the first line was written the newest line was read, however late its owner looks at it.
func (c *Conn) Took() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.took
}

// Listen has the next line told to the owner.
func (c *Conn) Listen() {
	c.mu.Lock()
	raw := c.cutLine()
	if raw == nil {
		c.want(unix.EPOLLIN, true)
	}
	c.mu.Unlock()
	if raw != nil {
		c.sh.of.owner.Said(c, raw)
	}
}

// cutLine takes the next whole line out of what is held; mu is held.
func (c *Conn) cutLine() []byte {
	end := bytes.IndexByte(c.held, '\n')
	if end < 0 {
		return nil
	}
	raw := bytes.Clone(c.held[:end+1])
	c.held = append(c.held[:0], c.held[end+1:]...)
	return raw
}

// readable reads what there is, once: a connection that sends at full speed does not keep the others waiting. dead:
// no bytes are told of, only an end.
func (c *Conn) readable(dead bool) {
	c.mu.Lock()
	if c.closed {
		c.mu.Unlock()
		return
	}
	st := c.state
	if st == dialing {
		c.mu.Unlock()
		c.connected()
		return
	}
	if st == resting { // it is told again once the pair stands
		c.mu.Unlock()
		return
	}
	n, err := unix.Read(c.fd, c.sh.buf)
	if err == unix.EAGAIN || err == unix.EINTR {
		if c.oneShot {
			c.want(unix.EPOLLIN, true)
		}
		c.mu.Unlock()
		return
	}
	if n <= 0 || err != nil {
		c.mu.Unlock()
		if err != nil {
			err = os.NewSyscallError("read", err)
		}
		c.over(err)
		return
	}
	switch st {
	case lone:
		c.held = append(c.held, c.sh.buf[:n]...)
		c.took = c.sh.of.now() - c.askedAt
		raw := c.cutLine()
		long := raw == nil && len(c.held) >= protocol.Longest
		if raw == nil && !long {
			c.want(unix.EPOLLIN, true)
		}
		c.mu.Unlock()
		switch {
		case long:
			c.sh.of.owner.Gone(c, true, ErrTooLong)
		case raw != nil:
			c.sh.of.owner.Said(c, raw)
		}
	case paired:
		c.mu.Unlock()
		c.pass(c.sh.buf[:n])
	default:
		c.mu.Unlock()
	}
}

// connected tells how a dial ended.
func (c *Conn) connected() {
	c.mu.Lock()
	if c.closed || c.state != dialing {
		c.mu.Unlock()
		return
	}
	code, err := unix.GetsockoptInt(c.fd, unix.SOL_SOCKET, unix.SO_ERROR)
	if err == nil && code != 0 {
		err = os.NewSyscallError("connect", unix.Errno(code))
	}
	if err == nil {
		c.state = lone
		// Guards against a first line that is listened for as well by the wish to write: that event would arm the set anew, and a
		// second line was told unasked.
		c.interest = unix.EPOLLONESHOT
	}
	c.mu.Unlock()
	c.sh.of.owner.Connected(c, err)
}

// over takes the end of a connection by the other side.
func (c *Conn) over(err error) {
	abrupt := reset(err)
	switch p := c.pair.Load(); {
	case p == nil:
		c.sh.of.owner.Gone(c, abrupt, err)
	case p.over.CompareAndSwap(false, true):
		other := p.side[1-c.mine]
		switch {
		case abrupt:
			other.Abort()
		case c.mine == Client: // nobody reads what its server still says
			other.Close()
		default:
			other.Finish()
		}
		c.Close()
		p.s.owner.Ended(p, c.mine, abrupt, nil)
	default:
		c.Close()
	}
}

// fail ends a connection for a fault of its own, and its pair.
func (c *Conn) fail(why error) {
	p := c.pair.Load()
	if p == nil {
		c.sh.of.owner.Gone(c, true, why)
		return
	}
	if p.Abort() {
		p.s.owner.Ended(p, c.mine, true, why)
		return
	}
	c.Abort()
}

// pass hands whole lines on; what makes no whole line is held. Only one goroutine at a time passes what a connection says:
// its shard's, or the one that makes the pair, before events are wanted.
func (c *Conn) pass(more []byte) {
	work := more
	if len(c.held) > 0 {
		c.held = append(c.held, more...)
		work = c.held
	}
	end := bytes.LastIndexByte(work, '\n') + 1
	if why := c.look(work[:end]); why != nil {
		c.fail(why)
		return
	}
	if len(work)-end >= protocol.Longest {
		c.fail(ErrTooLong)
		return
	}
	if end > 0 {
		other := c.pair.Load().side[1-c.mine]
		if other.push(work[:end]) {
			c.mu.Lock()
			c.want(unix.EPOLLIN, false)
			c.mu.Unlock()
			if !other.stalled.Load() { // it was written meanwhile
				c.resume()
			}
		}
	}
	switch rest := work[end:]; {
	case len(rest) > 0 && len(c.held) > 0:
		c.held = append(c.held[:0], rest...)
	case len(rest) > 0:
		c.held = append(c.sh.buffer(&c.sh.small, protocol.Longest/4), rest...)
	case c.held != nil:
		c.sh.giveBack(&c.sh.small, c.held, 2*protocol.Longest)
		c.held = nil
	}
}

// buffer and giveBack keep a few buffers of partial lines and of what waits, so that an idle connection has none and a
// busy one makes no garbage; kept is sh.small or sh.large.
func (sh *shard) buffer(kept *[][]byte, size int) []byte {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	if n := len(*kept); n > 0 {
		b := (*kept)[n-1]
		*kept = (*kept)[:n-1]
		return b
	}
	return make([]byte, 0, size)
}

func (sh *shard) giveBack(kept *[][]byte, b []byte, most int) {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	if cap(b) <= most && len(*kept) < spareMost {
		*kept = append(*kept, b[:0])
	}
}

// look goes over whole lines for what the owner has to know; an error ends the pair.
func (c *Conn) look(text []byte) error {
	p, now, lines := c.pair.Load(), int64(0), int64(0)
	for len(text) > 0 {
		end := bytes.IndexByte(text, '\n') + 1
		one := text[:end]
		text = text[end:]
		if now == 0 {
			now = int64(p.s.now())
		}
		lines++
		if end >= protocol.Longest+1 {
			return ErrTooLong
		}
		if c.mine == Client {
			if end < 2 || one[end-2] != '\r' {
				return ErrBareLF
			}
			p.asked.CompareAndSwap(0, now)
			continue
		}
		switch protocol.KindOf(one) {
		case protocol.Load:
			c.sh.load(Load{p, bytes.Clone(one)})
		case protocol.Bye:
			p.byed.Store(true)
		case protocol.Move:
			p.moved.Store(true)
		default:
			if asked := p.asked.Swap(0); asked > 0 {
				c.sh.took(p.server, time.Duration(now-asked))
			}
		}
		p.heard.Store(now)
	}
	if lines > 0 {
		p.s.Lines.Add(lines)
	}
	return nil
}

// push writes as much as is taken and keeps the rest; true: something waits now, and the other side must not be read
// on until it is written.
func (c *Conn) push(text []byte) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.write(text)
}

// write is push; mu is held.
func (c *Conn) write(text []byte) bool {
	if c.closed || c.ending {
		return false
	}
	for len(c.out) == 0 && len(text) > 0 {
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
		if c.out == nil {
			c.out = c.sh.buffer(&c.sh.large, readMost)
		}
		c.out = append(c.out, text...)
		c.stall()
	}
	return len(c.out) > 0
}

// stall notes that something waits; mu is held.
func (c *Conn) stall() {
	c.stalled.Store(true)
	if c.stalledAt.Load() == 0 {
		c.stalledAt.Store(int64(c.sh.of.now()))
	}
	c.want(unix.EPOLLOUT, true)
}

// writable writes what waits, or finds that a dial has ended.
func (c *Conn) writable() {
	c.mu.Lock()
	if c.state == dialing {
		c.mu.Unlock()
		c.connected()
		return
	}
	for !c.closed && c.written < len(c.out) {
		n, err := unix.Write(c.fd, c.out[c.written:])
		if err == unix.EINTR {
			continue
		}
		if err != nil {
			break
		}
		c.written += n
		c.stalledAt.Store(int64(c.sh.of.now()))
	}
	done := c.written == len(c.out)
	if done && !c.closed {
		if c.out != nil {
			c.sh.giveBack(&c.sh.large, c.out, 4*readMost)
		}
		c.out, c.written = nil, 0
		c.stalledAt.Store(0)
		c.stalled.Store(false)
		c.want(unix.EPOLLOUT, false)
		if c.ending {
			_ = unix.Shutdown(c.fd, unix.SHUT_WR)
		}
	}
	c.mu.Unlock()
	p := c.pair.Load()
	if done && p != nil {
		p.side[1-c.mine].resume()
	}
}

// resume has a side read on whose other side takes more.
func (c *Conn) resume() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.state == paired {
		c.want(unix.EPOLLIN, true)
	}
}

// Finish ends the sending once all is written; what still comes is read and passed by, to the end, so that no unread
// byte turns the close into a reset that overtakes the last line. The owner closes it for good a little later.
func (c *Conn) Finish() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.finish()
}

// finish is Finish; mu is held.
func (c *Conn) finish() {
	if c.closed || c.ending {
		return
	}
	c.ending, c.state = true, ending
	c.want(unix.EPOLLIN, true)
	if len(c.out) == 0 {
		_ = unix.Shutdown(c.fd, unix.SHUT_WR)
	}
}

// End has a pair end from here: the client gets a last line, behind whole lines, and an end; the server's side is
// closed, by a reset if abrupt. False: it was over already, and the owner has been or will be told.
func (p *Pair) End(last []byte, abrupt bool) bool {
	if !p.over.CompareAndSwap(false, true) {
		return false
	}
	c := p.side[Client]
	c.mu.Lock()
	c.write(last)
	c.finish() // under the same lock, or the relay would pass a line between the last and the end
	c.mu.Unlock()
	if s := p.side[Server]; abrupt {
		s.Abort()
	} else {
		s.Close()
	}
	return true
}

// Abort ends both sides by a reset; false: it was over already.
func (p *Pair) Abort() bool {
	if !p.over.CompareAndSwap(false, true) {
		return false
	}
	p.side[Client].Abort()
	p.side[Server].Abort()
	return true
}

// Close closes what is left of the client's side for good.
func (p *Pair) Close() { p.side[Client].Close() }
