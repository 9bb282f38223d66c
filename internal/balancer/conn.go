package balancer

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cloudwego/netpoll"
	"golang.org/x/sys/unix"

	"sabletally/internal/protocol"
	"sabletally/internal/relay"
)

const (
	maxQueuedInput = 64 << 10 // bytes of one connection that the loop has not handled
	maxDiscarded   = 64 << 10 // bytes that are read and dropped of a connection whose lines are not read any more
	maxPings       = 4        // lines that may arrive at once before a request
)

// What a client may send next.
const (
	expectFirstLine int32 = iota
	expectNothing         // until its answer
)

// conn is a client's connection until its session is relayed. It reads lines and posts them to the loop, writes through a bounded
// buffer (conn_write.go), and can be detached from netpoll (conn_detach.go). It never touches a session or the policy, and it never
// makes the loop wait.
type conn struct {
	netConn     netpoll.Connection
	sink        sink
	descriptors *atomic.Int64 // counts this connection's
	idle        *idleConns
	stage       atomic.Int32 // a Stage
	phase       atomic.Int32 // expectFirstLine or expectNothing
	queuedBytes atomic.Int64 // posted and not handled by the loop yet
	awaitsPong  atomic.Bool  // its PING is not answered

	// These belong to netpoll's reading goroutine.
	splitter       protocol.Splitter
	readingStopped bool // no further line is read
	discardedBytes int  // received after that

	mu           sync.Mutex
	outgoing     []byte // waits to be written
	writing      bool   // a writeLoop runs
	closingWrite bool   // no more is written once outgoing is empty
	closed       bool   // the descriptor belongs to netpoll again
	detached     bool   // the connection goes on under a descriptor of its own
	// onDetached, if not nil, is called with the input that makes no complete line, once the connection is detached.
	onDetached func(unparsed []byte)

	// These belong to the loop.
	session         *session
	unansweredPings int  // received before the balancer is ready
	finished        bool // answered and ended here, or detached: what still arrives is ignored
	handingOver     bool // goes on in another process
	handoverInput   []byte
}

// newConn takes over a connection before its first byte is read.
func newConn(netConn netpoll.Connection, to sink, descriptors *atomic.Int64) *conn {
	c := &conn{netConn: netConn, sink: to, descriptors: descriptors}
	c.stage.Store(int32(StageConnected))
	// netpoll reads whatever has arrived, however late its handler is: a small buffer bounds that. Without it the connection works too. The
	// relay, which reads no more than it can write, has it grow again.
	_ = unix.SetsockoptInt(c.fd(), unix.SOL_SOCKET, unix.SO_RCVBUF, maxQueuedInput/2)
	relay.DisableNagle(c.fd())
	_ = netConn.AddCloseCallback(func(netpoll.Connection) error { // fails only on nil
		c.onClosed()
		return nil
	})
	return c
}

func (c *conn) fd() int { return c.netConn.(netpoll.Conn).Fd() }

// onReadable reads what has arrived and posts complete lines. A panic ends this connection alone.
func (c *conn) onReadable(context.Context, netpoll.Connection) (err error) {
	defer c.recoverPanic("reading a connection")
	reader := c.netConn.Reader()
	size := reader.Len()
	input, err := reader.Next(size)
	if err != nil {
		return err
	}
	if c.readingStopped || c.queuedBytes.Load() > maxQueuedInput {
		_ = reader.Release() // the input is not used
		c.discard(size)
		return nil
	}
	c.splitter.Add(input)
	_ = reader.Release() // the splitter has copied the input
	c.postLines()
	return nil
}

// recoverPanic is deferred: it reports a panic and has the loop end the connection.
func (c *conn) recoverPanic(at string) {
	if p := recover(); p != nil {
		c.sink.reportPanic(at, p)
		c.postDisconnect(&DisconnectError{Stage: c.currentStage(), Abrupt: true, Cause: errPanic})
	}
}

func (c *conn) currentStage() Stage { return Stage(c.stage.Load()) }

func (c *conn) postDisconnect(disconnect *DisconnectError) {
	c.sink.post(event{conn: c, disconnect: disconnect})
}

// discard drops input of a client that sends too much. A client that goes on at full speed is reset once its answer is written.
func (c *conn) discard(size int) {
	if !c.readingStopped {
		c.readingStopped = true
		c.postDisconnect(&DisconnectError{Stage: c.currentStage(), Cause: errFlooding})
	}
	c.discardedBytes += size
	if c.discardedBytes > maxDiscarded && c.hasSentFinalLine() {
		c.reset()
	}
}

// postLines posts the complete lines of what has been read.
func (c *conn) postLines() {
	e := event{conn: c}
	for !c.readingStopped {
		line, ok, err := c.splitter.Next()
		if err != nil {
			line = protocol.Line{Err: err}
			ok = true
			c.readingStopped = true
		}
		sentTooMuch := c.phase.Load() == expectNothing && c.splitter.HasBuffered()
		if !ok && !sentTooMuch {
			break
		}
		c.checkLine(&line, len(e.lines))
		e.lines = append(e.lines, line)
		e.size += len(line.Raw)
	}
	if len(e.lines) > 0 {
		c.queuedBytes.Add(int64(e.size))
		c.sink.post(e)
	}
}

// checkLine marks a line that a client may not send before its session is established, and stops the reading: the session must not be
// served before that is known. before is the number of lines that arrived with it and before it.
func (c *conn) checkLine(line *protocol.Line, before int) {
	if line.Err != nil {
		c.readingStopped = true
		return
	}
	if c.phase.Load() == expectFirstLine {
		isPing := line.Kind == protocol.KindPing
		c.awaitsPong.Store(isPing)
		c.idle.lineReceived(c, isPing)
		if isPing && before < maxPings {
			return
		}
		c.phase.Store(expectNothing)
		if !isPing && !c.splitter.HasBuffered() {
			return
		}
	}
	line.Err = protocol.ErrUnexpectedData
	c.readingStopped = true
}

// onClosed runs once, after all input was read and before the descriptor is closed.
func (c *conn) onClosed() {
	disconnect := &DisconnectError{Stage: c.currentStage(), Cause: errPeerClosed}
	c.mu.Lock()
	detached, onDetached := c.detached, c.onDetached
	c.closed = true
	c.mu.Unlock()
	c.descriptors.Add(-1)
	c.idle.remove(c)
	if onDetached != nil { // what netpoll has read goes along
		reader := c.netConn.Reader()
		if input, err := reader.Next(reader.Len()); err == nil {
			c.splitter.Add(input)
		}
		onDetached(c.splitter.Buffered())
	}
	if detached {
		return
	}
	// A read may have consumed the error of a reset; the state still tells.
	if info, err := c.tcpInfo(); err == nil {
		disconnect.Abrupt = info.State == unix.BPF_TCP_CLOSE
	}
	c.postDisconnect(disconnect)
}

func (c *conn) tcpInfo() (*unix.TCPInfo, error) {
	return unix.GetsockoptTCPInfo(c.fd(), unix.IPPROTO_TCP, unix.TCP_INFO)
}

// hasUnreadBytes reports whether bytes wait in the kernel.
func (c *conn) hasUnreadBytes() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return false
	}
	n, err := unix.IoctlGetInt(c.fd(), unix.TIOCINQ)
	return err == nil && n > 0
}

// presence is what the kernel knows of a client whose session waits. The reading goroutine may not know of it yet.
type presence uint8

const (
	clientWaiting presence = iota
	// clientSentMore means that it has sent more than its request. Its end may be hidden behind that.
	clientSentMore
	clientLeft
)

func (c *conn) presence() presence {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return clientLeft
	}
	var next [1]byte
	n, _, err := unix.Recvfrom(c.fd(), next[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
	switch {
	case errors.Is(err, unix.EAGAIN) || errors.Is(err, unix.EINTR):
		return clientWaiting
	case n > 0 && !c.isClosedByClientLocked():
		return clientSentMore
	}
	return clientLeft
}

// isClosedByClientLocked reports whether the client has ended or reset the connection.
func (c *conn) isClosedByClientLocked() bool {
	info, err := c.tcpInfo()
	return err == nil && (info.State == unix.BPF_TCP_CLOSE_WAIT || info.State == unix.BPF_TCP_CLOSE)
}

// sinceLastByte returns how long ago the newest bytes arrived, as the kernel knows it; 0 where that is unknown.
func (c *conn) sinceLastByte() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return 0
	}
	info, err := c.tcpInfo()
	if err != nil {
		return 0
	}
	return time.Duration(info.Last_data_recv) * time.Millisecond
}
