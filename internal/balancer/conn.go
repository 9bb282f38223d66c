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
	maxOutgoing    = 64 << 10        // bytes that wait for a slow reader before its connection is ended
	maxQueuedInput = 64 << 10        // bytes of one connection that wait for the loop
	maxDiscarded   = 64 << 10        // bytes that are still read of a connection that can't be read any further
	maxPings       = 4               // lines that may come at once before a circuit is asked for
	writeTimeout   = 5 * time.Second // a write that takes longer has failed
)

// Stage is how far an attempt had come when it ended: before Asked it never ran, from then on it may have.
type Stage int32

const (
	StageDialing   Stage = iota // no connection yet
	StageConnected              // nothing is written
	StageWritten                // the line's last byte may be written
)

// DisconnectError is the end of a connection that nobody here asked for.
type DisconnectError struct {
	Stage  Stage
	Abrupt bool // by a reset, not by an end
	Cause  error
}

func (b *DisconnectError) Error() string {
	return fmt.Sprintf("broken at stage %d, abrupt %t: %v", b.Stage, b.Abrupt, b.Cause)
}

func (b *DisconnectError) Unwrap() error { return b.Cause }

var (
	errPeerClosed = errors.New("ended by the other side")
	errFlooding   = errors.New("more lines than are taken")
	errPanic      = errors.New("a fault of the program")
)

// What a client's connection may send here: one first line, then nothing until its answer.
const (
	expectFirstLine int32 = iota
	expectNothing
)

// sink takes what happens to connections; it is the loop.
type sink interface {
	post(event)
	reportPanic(at string, what any)
}

// event is one thing that happened to a connection.
type event struct {
	conn       *conn
	lines      []protocol.Line
	size       int              // bytes of the lines
	disconnect *DisconnectError // the connection is over
	run        func()           // anything else; run by the loop
	session    *session         // whom a panic of do costs its connection
}

type conn struct {
	netConn        netpoll.Connection
	sink           sink
	stage          atomic.Int32
	queuedBytes    atomic.Int64      // bytes posted that the loop has not taken yet
	splitter       protocol.Splitter // the reading side's alone
	readingStopped bool              // the stream can't be cut any further
	discardedBytes int               // bytes that came after that
	phase          atomic.Int32
	idle           *idleConns

	mu           sync.Mutex
	outgoing     []byte // waits to be written
	writing      bool
	closingWrite bool              // no more is written once out is empty
	closed       bool              // the descriptor is netpoll's again
	detached     bool              // the connection goes on at a relay or in another process, by another descriptor
	onDetached   func(held []byte) // told what came and makes no line, where it goes on in another process

	descriptors *atomic.Int64

	// The loop's alone.
	session         *session
	awaitsPong      atomic.Bool // its PING is not answered
	unansweredPings int         // unanswered, before the balancer is ready
	finished        bool        // answered and ended from here, or handed over; what still comes is passed by
	handingOver     bool        // it goes on in another process,
	handoverInput   []byte      // with these whole lines of it
}

// newConn takes over a connection before its first byte is read.
func newConn(nc netpoll.Connection, to sink, fds *atomic.Int64) *conn {
	c := &conn{netConn: nc, sink: to, descriptors: fds}
	c.stage.Store(int32(StageConnected))
	_ = nc.SetWriteTimeout(writeTimeout)
	// Guards against floods: netpoll reads whatever has come, however far behind its reader is.
	_ = unix.SetsockoptInt(c.fd(), unix.SOL_SOCKET, unix.SO_RCVBUF, maxQueuedInput/2)
	_ = nc.AddCloseCallback(func(netpoll.Connection) error { c.onClosed(); return nil })
	return c
}

func (c *conn) fd() int { return c.netConn.(netpoll.Conn).Fd() }

// onReadable reads what there is and posts whole lines. A panic stops at the connection.
func (c *conn) onReadable(context.Context, netpoll.Connection) (err error) {
	defer func() {
		if p := recover(); p != nil {
			c.sink.reportPanic("reading a connection", p)
			c.postPanic()
		}
	}()
	r := c.netConn.Reader()
	n := r.Len()
	p, err := r.Next(n)
	if err != nil {
		return err
	}
	if c.readingStopped || c.queuedBytes.Load() > maxQueuedInput {
		_ = r.Release()
		if !c.readingStopped {
			c.readingStopped = true
			c.sink.post(event{conn: c, disconnect: &DisconnectError{Stage: Stage(c.stage.Load()), Cause: errFlooding}})
		}
		// Guards against senders that go on for ever at full speed: their answer is on its way, the rest is not read.
		if c.discardedBytes += n; c.discardedBytes > maxDiscarded && c.hasSentFinalLine() {
			c.reset()
		}
		return nil
	}
	c.splitter.Add(p)
	_ = r.Release()
	c.postLines()
	return nil
}

// postLines posts what makes whole lines.
func (c *conn) postLines() {
	ev := event{conn: c}
	for {
		l, ok, err := c.splitter.Next()
		if err != nil {
			l, ok, c.readingStopped = protocol.Line{Bad: err}, true, true
		}
		if !ok && !(c.phase.Load() == expectNothing && c.splitter.Held()) {
			break
		}
		c.checkLine(&l, len(ev.lines))
		ev.lines = append(ev.lines, l)
		ev.size += len(l.Raw)
		if c.readingStopped {
			break
		}
	}
	if len(ev.lines) > 0 {
		c.queuedBytes.Add(int64(ev.size))
		c.sink.post(ev)
	}
}

// checkLine minds what a client may send before its circuit stands; l is the line that comes after so many others
// at once. Guards against hundreds of commands at once: the first is not served before the rest is seen.
func (c *conn) checkLine(l *protocol.Line, others int) {
	switch phase := c.phase.Load(); {
	case l.Bad != nil:
		c.readingStopped = true
		return
	case phase == expectFirstLine:
		c.awaitsPong.Store(l.Kind == protocol.Ping)
		c.idle.lineReceived(c, l.Kind == protocol.Ping)
		if l.Kind == protocol.Ping && others < maxPings {
			return
		}
		c.phase.Store(expectNothing)
		if l.Kind != protocol.Ping && !c.splitter.Held() {
			return
		}
	}
	l.Bad, c.readingStopped = protocol.ErrUnasked, true
}

// postPanic has the loop end the connection, and its circuit with the answer that it is owed.
func (c *conn) postPanic() {
	c.sink.post(event{conn: c, disconnect: &DisconnectError{Stage: Stage(c.stage.Load()), Abrupt: true, Cause: errPanic}})
}

// onClosed runs once, after all that came was read and before the descriptor is closed.
func (c *conn) onClosed() {
	b := &DisconnectError{Stage: Stage(c.stage.Load()), Cause: errPeerClosed}
	c.mu.Lock()
	handed, passTo := c.detached, c.onDetached
	c.closed = true
	c.mu.Unlock()
	c.descriptors.Add(-1)
	c.idle.remove(c)
	if passTo != nil { // nobody reads it here any more: what was read goes along
		r := c.netConn.Reader()
		if p, err := r.Next(r.Len()); err == nil {
			c.splitter.Add(p)
		}
		passTo(c.splitter.Rest())
	}
	if handed {
		return
	}
	// Whether the other side reset or ended it: a read may have eaten the error, the state is still there.
	if info, err := unix.GetsockoptTCPInfo(c.fd(), unix.IPPROTO_TCP, unix.TCP_INFO); err == nil {
		b.Abrupt = info.State == unix.BPF_TCP_CLOSE
	}
	c.sink.post(event{conn: c, disconnect: b})
}

// hasUnreadBytes tells whether bytes wait in the kernel that nobody has read.
func (c *conn) hasUnreadBytes() bool {
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
	clientWaiting  presence = iota
	clientSentMore          // it has sent more, which no client may before its answer; an end behind that may have had no room to come
	clientLeft              // it has ended its connection
)

func (c *conn) presence() presence {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return clientLeft
	}
	var b [1]byte
	switch n, _, err := unix.Recvfrom(c.fd(), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT); {
	case err == unix.EAGAIN || err == unix.EINTR:
		return clientWaiting
	case n > 0:
		info, err := unix.GetsockoptTCPInfo(c.fd(), unix.IPPROTO_TCP, unix.TCP_INFO)
		if err != nil || info.State != unix.BPF_TCP_CLOSE_WAIT && info.State != unix.BPF_TCP_CLOSE {
			return clientSentMore
		}
	}
	return clientLeft
}

// hasSentFinalLine tells whether its last line is written: a reset before would take it away.
func (c *conn) hasSentFinalLine() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.closingWrite && !c.writing
}

// isFlushed tells whether nothing waits to be written.
func (c *conn) isFlushed() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.writing
}

// sinceLastByte is how long ago the newest bytes came, by the kernel's own account.
func (c *conn) sinceLastByte() time.Duration {
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

// startWriterLocked starts the writer unless it runs; mu is held.
func (c *conn) startWriterLocked() {
	if !c.writing {
		c.writing = true
		go c.writeLoop()
	}
}

// writeLoop writes until nothing waits.
func (c *conn) writeLoop() {
	defer func() {
		if p := recover(); p != nil {
			c.sink.reportPanic("writing to a connection", p)
			c.postPanic()
		}
	}()
	for {
		c.mu.Lock()
		b := c.outgoing
		c.outgoing = nil
		if len(b) == 0 || c.closed {
			c.writing = false
			if c.closingWrite && !c.closed {
				_ = unix.Shutdown(c.fd(), unix.SHUT_WR)
			}
			c.mu.Unlock()
			return
		}
		c.mu.Unlock()
		first := c.stage.CompareAndSwap(int32(StageConnected), int32(StageWritten))
		w := c.netConn.Writer()
		_, err := w.WriteBinary(b)
		if err == nil {
			err = w.Flush()
		}
		if err != nil {
			if first { // its last byte was not written
				c.stage.Store(int32(StageConnected))
			}
			c.sink.post(event{conn: c, disconnect: &DisconnectError{Stage: Stage(c.stage.Load()), Abrupt: true, Cause: err}})
			_ = c.netConn.Close()
			return
		}
	}
}

// closeWrite ends the sending once all is written. Guards against a close with unread bytes, which the kernel
// turns into a reset that overtakes the last line.
func (c *conn) closeWrite() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.closingWrite {
		c.closingWrite = true
		c.startWriterLocked()
	}
}

// close ends the connection now; abort does so by a reset.
func (c *conn) close() { _ = c.netConn.Close() }

// closeAsync closes it beside the caller: netpoll's own goroutine would wait for itself.
func (c *conn) closeAsync() { go func() { _ = c.netConn.Close() }() }

// writeUnbuffered writes a last line past the buffer, as far as the kernel takes it, to a client whose connection is closed next. What it has
// sent is read first: a close with unread bytes is a reset, which may take the line along.
func (c *conn) writeUnbuffered(b []byte) {
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
	_ = c.netConn.Close()
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
type detachResult uint8

const (
	detachDone detachResult = iota
	detachWriting
	detachClosed
)

// detach gives the connection up for a descriptor of its own, which goes on. The client waits for its answer and must be
// silent until then: what it sends all the same while netpoll lets go is lost with it.
func (c *conn) detach() (int, detachResult) { return c.detachTo(nil) }

// detachWithInput gives the connection up for another process; to is told of its descriptor and of what came and makes no line.
func (c *conn) detachWithInput(to func(fd int, held []byte)) detachResult {
	_, how := c.detachTo(to)
	return how
}

func (c *conn) detachTo(to func(fd int, held []byte)) (int, detachResult) {
	c.mu.Lock()
	switch {
	case c.closed || c.closingWrite:
		c.mu.Unlock()
		return -1, detachClosed
	case c.writing:
		c.mu.Unlock()
		return -1, detachWriting
	}
	fd, err := unix.FcntlInt(uintptr(c.fd()), unix.F_DUPFD_CLOEXEC, 0)
	if err != nil {
		c.mu.Unlock()
		return -1, detachWriting // no descriptor is left for the moment of the hand-over
	}
	c.detached = true
	if to != nil {
		c.onDetached = func(held []byte) { to(fd, held) }
	}
	c.mu.Unlock()
	_ = c.netConn.Close()
	return fd, detachDone
}
