// This file owns clients' connections until their circuit stands: reading them into lines, writing to them through a
// bounded buffer and ending them the way the other side ended. It stands on netpoll. It must never touch a circuit or the module:
// all that happens to a connection is posted to the loop, and it must never make the loop wait.

package balancer

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"time"
	"unsafe"

	"github.com/cloudwego/netpoll"
	"golang.org/x/sys/unix"

	"sabletally/internal/protocol"
)

const (
	outMost  = 64 << 10        // bytes that wait for a slow reader before its connection is ended
	inMost   = 64 << 10        // bytes of one connection that wait for the loop
	restMost = 64 << 10        // bytes that are still read of a connection that can't be read any further
	pingMost = 4               // lines that may come at once before a circuit is asked for
	writeFor = 5 * time.Second // a write that takes longer has failed
)

// Stage is how far an attempt had come when it ended: before Asked it never ran, from then on it may have.
type Stage int32

const (
	Dialing   Stage = iota // no connection yet
	Connected              // nothing is written
	Asked                  // the line's last byte may be written
)

// Broken is the end of a connection that nobody here asked for.
type Broken struct {
	Stage  Stage
	Abrupt bool // by a reset, not by an end
	Cause  error
}

func (b *Broken) Error() string {
	return fmt.Sprintf("broken at stage %d, abrupt %t: %v", b.Stage, b.Abrupt, b.Cause)
}

func (b *Broken) Unwrap() error { return b.Cause }

var (
	errEnded   = errors.New("ended by the other side")
	errFlooded = errors.New("more lines than are taken")
	errPanic   = errors.New("a fault of the program")
)

// What a client's connection may send here: one first line, then nothing until its answer.
const (
	atFirst int32 = iota
	waiting
)

// sink takes what happens to connections; it is the loop.
type sink interface {
	post(event)
	panicked(at string, what any)
}

// event is one thing that happened to a connection.
type event struct {
	conn   *conn
	lines  []protocol.Line
	size   int      // bytes of the lines
	broken *Broken  // the connection is over
	do     func()   // anything else; run by the loop
	of     *circuit // whom a panic of do costs its connection
}

type conn struct {
	nc    netpoll.Connection
	to    sink
	stage atomic.Int32
	waits atomic.Int64      // bytes posted that the loop has not taken yet
	split protocol.Splitter // the reading side's alone
	cut   bool              // the stream can't be cut any further
	rest  int               // bytes that came after that
	phase atomic.Int32
	door  *door

	mu      sync.Mutex
	out     []byte // waits to be written
	writing bool
	ending  bool              // no more is written once out is empty
	closed  bool              // the descriptor is netpoll's again
	handed  bool              // the connection goes on at a relay or in another process, by another descriptor
	passTo  func(held []byte) // told what came and makes no line, where it goes on in another process

	fds *atomic.Int64

	// The loop's alone.
	circuit *circuit
	asks    atomic.Bool // its PING is not answered
	pings   int         // unanswered, before the balancer is ready
	over    bool        // answered and ended from here, or handed over; what still comes is passed by
	passing bool        // it goes on in another process,
	first   []byte      // with these whole lines of it
}

// adopt takes over a connection before its first byte is read.
func adopt(nc netpoll.Connection, to sink, fds *atomic.Int64) *conn {
	c := &conn{nc: nc, to: to, fds: fds}
	c.stage.Store(int32(Connected))
	_ = nc.SetWriteTimeout(writeFor)
	// Guards against floods: netpoll reads whatever has come, however far behind its reader is.
	_ = unix.SetsockoptInt(c.fd(), unix.SOL_SOCKET, unix.SO_RCVBUF, inMost/2)
	_ = nc.AddCloseCallback(func(netpoll.Connection) error { c.onClosed(); return nil })
	return c
}

func (c *conn) fd() int { return c.nc.(netpoll.Conn).Fd() }

// onRequest reads what there is and posts whole lines. A panic stops at the connection.
func (c *conn) onRequest(context.Context, netpoll.Connection) (err error) {
	defer func() {
		if p := recover(); p != nil {
			c.to.panicked("reading a connection", p)
			c.fail()
		}
	}()
	r := c.nc.Reader()
	n := r.Len()
	p, err := r.Next(n)
	if err != nil {
		return err
	}
	if c.cut || c.waits.Load() > inMost {
		_ = r.Release()
		if !c.cut {
			c.cut = true
			c.to.post(event{conn: c, broken: &Broken{Stage: Stage(c.stage.Load()), Cause: errFlooded}})
		}
		// Guards against senders that go on for ever at full speed: their answer is on its way, the rest is not read.
		if c.rest += n; c.rest > restMost && c.answered() {
			c.reset()
		}
		return nil
	}
	c.split.Add(p)
	_ = r.Release()
	c.cutLines()
	return nil
}

// cutLines posts what makes whole lines.
func (c *conn) cutLines() {
	ev := event{conn: c}
	for {
		l, ok, err := c.split.Next()
		if err != nil {
			l, ok, c.cut = protocol.Line{Bad: err}, true, true
		}
		if !ok && !(c.phase.Load() == waiting && c.split.Held()) {
			break
		}
		c.asked(&l, len(ev.lines))
		ev.lines = append(ev.lines, l)
		ev.size += len(l.Raw)
		if c.cut {
			break
		}
	}
	if len(ev.lines) > 0 {
		c.waits.Add(int64(ev.size))
		c.to.post(ev)
	}
}

// asked minds what a client may send before its circuit stands; l is the line that comes after so many others
// at once. Guards against hundreds of commands at once: the first is not served before the rest is seen.
func (c *conn) asked(l *protocol.Line, others int) {
	switch phase := c.phase.Load(); {
	case l.Bad != nil:
		c.cut = true
		return
	case phase == atFirst:
		c.asks.Store(l.Kind == protocol.Ping)
		c.door.spoke(c, l.Kind == protocol.Ping)
		if l.Kind == protocol.Ping && others < pingMost {
			return
		}
		c.phase.Store(waiting)
		if l.Kind != protocol.Ping && !c.split.Held() {
			return
		}
	}
	l.Bad, c.cut = protocol.ErrUnasked, true
}

// fail has the loop end the connection, and its circuit with the answer that it is owed.
func (c *conn) fail() {
	c.to.post(event{conn: c, broken: &Broken{Stage: Stage(c.stage.Load()), Abrupt: true, Cause: errPanic}})
}

// onClosed runs once, after all that came was read and before the descriptor is closed.
func (c *conn) onClosed() {
	b := &Broken{Stage: Stage(c.stage.Load()), Cause: errEnded}
	c.mu.Lock()
	handed, passTo := c.handed, c.passTo
	c.closed = true
	c.mu.Unlock()
	c.fds.Add(-1)
	c.door.left(c)
	if passTo != nil { // nobody reads it here any more: what was read goes along
		r := c.nc.Reader()
		if p, err := r.Next(r.Len()); err == nil {
			c.split.Add(p)
		}
		passTo(c.split.Rest())
	}
	if handed {
		return
	}
	// Whether the other side reset or ended it: a read may have eaten the error, the state is still there.
	if info, err := unix.GetsockoptTCPInfo(c.fd(), unix.IPPROTO_TCP, unix.TCP_INFO); err == nil {
		b.Abrupt = info.State == unix.BPF_TCP_CLOSE
	}
	c.to.post(event{conn: c, broken: b})
}

// unread tells whether bytes wait in the kernel that nobody has read.
func (c *conn) unread() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return false
	}
	n, err := unix.IoctlGetInt(c.fd(), unix.TIOCINQ)
	return err == nil && n > 0
}

// presence is what the kernel knows of a client whose circuit waits: who reads its connection may not have come to that yet.
type presence uint8

const (
	isWaiting presence = iota
	hasSpoken          // it has sent more, which no client may before its answer; an end behind that may have had no room to come
	hasLeft            // it has ended its connection
)

func (c *conn) presence() presence {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return hasLeft
	}
	var b [1]byte
	switch n, _, err := unix.Recvfrom(c.fd(), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT); {
	case err == unix.EAGAIN || err == unix.EINTR:
		return isWaiting
	case n > 0:
		info, err := unix.GetsockoptTCPInfo(c.fd(), unix.IPPROTO_TCP, unix.TCP_INFO)
		if err != nil || info.State != unix.BPF_TCP_CLOSE_WAIT && info.State != unix.BPF_TCP_CLOSE {
			return hasSpoken
		}
	}
	return hasLeft
}

// answered tells whether its last line is written: a reset before would take it away.
func (c *conn) answered() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.ending && !c.writing
}

// written tells whether nothing waits to be written.
func (c *conn) written() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.writing
}

// quietFor is how long ago the newest bytes came, by the kernel's own account.
func (c *conn) quietFor() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return 0
	}
	info, err := unix.GetsockoptTCPInfo(c.fd(), unix.IPPROTO_TCP, unix.TCP_INFO)
	if err != nil {
		return 0
	}
	return time.Duration(info.Last_data_recv) * time.Millisecond
}

// send writes without waiting; false when the reader is too slow for its buffer.
func (c *conn) send(b []byte) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed || c.ending {
		return true
	}
	if len(c.out)+len(b) > outMost {
		return false
	}
	c.out = append(c.out, b...)
	c.write()
	return true
}

// write starts the writer unless it runs; mu is held.
func (c *conn) write() {
	if !c.writing {
		c.writing = true
		go c.drain()
	}
}

// drain writes until nothing waits.
func (c *conn) drain() {
	defer func() {
		if p := recover(); p != nil {
			c.to.panicked("writing to a connection", p)
			c.fail()
		}
	}()
	for {
		c.mu.Lock()
		b := c.out
		c.out = nil
		if len(b) == 0 || c.closed {
			c.writing = false
			if c.ending && !c.closed {
				_ = unix.Shutdown(c.fd(), unix.SHUT_WR)
			}
			c.mu.Unlock()
			return
		}
		c.mu.Unlock()
		first := c.stage.CompareAndSwap(int32(Connected), int32(Asked))
		w := c.nc.Writer()
		_, err := w.WriteBinary(b)
		if err == nil {
			err = w.Flush()
		}
		if err != nil {
			if first { // its last byte was not written
				c.stage.Store(int32(Connected))
			}
			c.to.post(event{conn: c, broken: &Broken{Stage: Stage(c.stage.Load()), Abrupt: true, Cause: err}})
			_ = c.nc.Close()
			return
		}
	}
}

// finish ends the sending once all is written. Guards against a close with unread bytes, which the kernel
// turns into a reset that overtakes the last line.
func (c *conn) finish() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.ending {
		c.ending = true
		c.write()
	}
}

// close ends the connection now; abort does so by a reset.
func (c *conn) close() { _ = c.nc.Close() }

// shut closes it beside the caller: netpoll's own goroutine would wait for itself.
func (c *conn) shut() { go func() { _ = c.nc.Close() }() }

// word writes a last line past the buffer, as far as the kernel takes it, to a client whose connection is closed next. What it has
// sent is read first: a close with unread bytes is a reset, which may take the line along.
func (c *conn) word(b []byte) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return
	}
	var unread [protocol.Longest]byte
	_, _, _ = unix.Recvfrom(c.fd(), unread[:], unix.MSG_DONTWAIT)
	_, _ = unix.Write(c.fd(), b)
}

func (c *conn) abort() {
	c.reset()
	_ = c.nc.Close()
}

// reset has the kernel drop the connection at once; netpoll then finds it ended. Guards against senders at full
// speed: netpoll's close waits for its poller, which goes on reading meanwhile.
func (c *conn) reset() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.closed {
		nobody := unix.RawSockaddr{Family: unix.AF_UNSPEC}
		_, _, _ = unix.Syscall(unix.SYS_CONNECT, uintptr(c.fd()), uintptr(unsafe.Pointer(&nobody)), unsafe.Sizeof(nobody))
	}
}

// How a hand-over went.
type handed uint8

const (
	isHanded handed = iota
	stillWriting
	hasEnded
)

// handOver gives the connection up for a descriptor of its own, which goes on. The client waits for its answer and must be
// silent until then: what it sends all the same while netpoll lets go is lost with it.
func (c *conn) handOver() (int, handed) { return c.letGo(nil) }

// passOn gives the connection up for another process; to is told of its descriptor and of what came and makes no line.
func (c *conn) passOn(to func(fd int, held []byte)) handed {
	_, how := c.letGo(to)
	return how
}

func (c *conn) letGo(to func(fd int, held []byte)) (int, handed) {
	c.mu.Lock()
	switch {
	case c.closed || c.ending:
		c.mu.Unlock()
		return -1, hasEnded
	case c.writing:
		c.mu.Unlock()
		return -1, stillWriting
	}
	fd, err := unix.FcntlInt(uintptr(c.fd()), unix.F_DUPFD_CLOEXEC, 0)
	if err != nil {
		c.mu.Unlock()
		return -1, stillWriting // no descriptor is left for the moment of the hand-over
	}
	c.handed = true
	if to != nil {
		c.passTo = func(held []byte) { to(fd, held) }
	}
	c.mu.Unlock()
	_ = c.nc.Close()
	return fd, isHanded
}
