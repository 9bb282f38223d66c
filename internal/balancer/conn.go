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
	maxQueuedInput = 64 << 10 // maximum bytes of one connection that are posted to the loop and not handled yet
	maxDiscarded   = 64 << 10 // maximum bytes that are read and dropped after the reading of lines has stopped
	maxPings       = 4        // maximum PING lines that a client may send at once before its request
)

// Values of conn.phase: what a client may send next.
const (
	expectFirstLine int32 = iota // PING or a request
	expectNothing                // nothing until the client has its answer
)

// conn is a client's connection until its session is relayed. It reads lines and posts them to the loop, writes through a bounded
// buffer (conn_write.go), and can be detached from netpoll (conn_detach.go). It never accesses a session or the policy, and it never
// blocks the loop.
type conn struct {
	netConn     netpoll.Connection
	sink        eventSink
	descriptors *atomic.Int64 // counter of open descriptors that includes this connection's
	idleConns   *idleConns
	stage       atomic.Int32 // progress of the connection, a Stage
	phase       atomic.Int32 // expectFirstLine or expectNothing
	queuedBytes atomic.Int64 // bytes of lines that are posted to the loop and not handled yet
	awaitsPong  atomic.Bool  // whether the client waits for the answer to a PING

	// The fields below are accessed by netpoll's reading goroutine only.
	splitter       protocol.Splitter
	readingStopped bool // whether further input is discarded
	discardedBytes int  // bytes received since readingStopped was set

	mu           sync.Mutex
	outgoing     []byte // bytes that are queued for writing
	writing      bool   // whether writeLoop is running
	closingWrite bool   // the sending side is shut down once outgoing is written
	closed       bool   // netpoll is closing the descriptor, which must not be used any more
	detached     bool   // the connection continues under a duplicate of its descriptor
	// onDetached, if it is not nil, is called after the connection is detached, with the input that is not a complete line.
	onDetached func(unparsed []byte)

	// The fields below are accessed by the loop only.
	session         *session
	unansweredPings int    // number of PINGs received while the balancer is not ready
	finished        bool   // the client has its final answer or the connection is detached: further events are ignored
	handingOver     bool   // the connection is being handed over to the successor
	handoverInput   []byte // input to hand over with the connection
}

// newConn wraps a client's connection. It must be called before the first byte is read.
func newConn(netConn netpoll.Connection, to eventSink, descriptors *atomic.Int64) *conn {
	c := &conn{netConn: netConn, sink: to, descriptors: descriptors}
	c.stage.Store(int32(StageConnected))
	// netpoll reads everything that has arrived, even if its handler is behind: a small receive buffer bounds that. An error is ignored,
	// as the connection works with a larger buffer too. The relay, which reads no more than it can write, lets the buffer grow again.
	_ = unix.SetsockoptInt(c.fd(), unix.SOL_SOCKET, unix.SO_RCVBUF, maxQueuedInput/2)
	relay.DisableNagle(c.fd())
	_ = netConn.AddCloseCallback(func(netpoll.Connection) error { // returns an error only for a nil callback
		c.onClosed()
		return nil
	})
	return c
}

func (c *conn) fd() int { return c.netConn.(netpoll.Conn).Fd() }

// onReadable reads the input that has arrived and posts its complete lines. A panic ends this connection only.
func (c *conn) onReadable(context.Context, netpoll.Connection) (err error) {
	defer c.recoverPanic("reading a connection")
	reader := c.netConn.Reader()
	size := reader.Len()
	input, err := reader.Next(size)
	if err != nil {
		return err
	}
	if c.readingStopped || c.queuedBytes.Load() > maxQueuedInput {
		_ = reader.Release() // the input is discarded
		c.discard(size)
		return nil
	}
	c.splitter.Add(input)
	_ = reader.Release() // the splitter has copied the input
	c.postLines()
	return nil
}

// recoverPanic reports a panic and has the loop end the connection. It must be deferred.
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

// discard drops the input of a client that sends too much. A client that keeps sending is reset once it has its final line.
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

// postLines posts the complete lines of the input that has been read.
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
		e.lineBytes += len(line.Raw)
	}
	if len(e.lines) > 0 {
		c.queuedBytes.Add(int64(e.lineBytes))
		c.sink.post(e)
	}
}

// checkLine marks a line that a client may not send before its session is established, and stops the reading of lines. It runs before
// the line is posted, so that the session is not served. before is the number of lines that precede the line in the same event.
func (c *conn) checkLine(line *protocol.Line, before int) {
	if line.Err != nil {
		c.readingStopped = true
		return
	}
	if c.phase.Load() == expectFirstLine {
		isPing := line.Kind == protocol.KindPing
		c.awaitsPong.Store(isPing)
		c.idleConns.lineReceived(c, isPing)
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

// onClosed is netpoll's close callback. It runs once, after all input was read and before the descriptor is closed.
func (c *conn) onClosed() {
	disconnect := &DisconnectError{Stage: c.currentStage(), Cause: errPeerClosed}
	c.mu.Lock()
	detached, onDetached := c.detached, c.onDetached
	c.closed = true
	c.mu.Unlock()
	c.descriptors.Add(-1)
	c.idleConns.remove(c)
	if onDetached != nil { // input that netpoll has read and nobody has handled is handed over too
		reader := c.netConn.Reader()
		if input, err := reader.Next(reader.Len()); err == nil {
			c.splitter.Add(input)
		}
		onDetached(c.splitter.Buffered())
	}
	if detached {
		return
	}
	// A read may have consumed the error of a reset, but the connection's state still shows it.
	if info, err := c.tcpInfo(); err == nil {
		disconnect.Abrupt = info.State == unix.BPF_TCP_CLOSE
	}
	c.postDisconnect(disconnect)
}

func (c *conn) tcpInfo() (*unix.TCPInfo, error) {
	return unix.GetsockoptTCPInfo(c.fd(), unix.IPPROTO_TCP, unix.TCP_INFO)
}

// hasUnreadBytes reports whether the socket's receive buffer holds input.
func (c *conn) hasUnreadBytes() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return false
	}
	n, err := unix.IoctlGetInt(c.fd(), unix.TIOCINQ)
	return err == nil && n > 0
}

// clientPresence is the state of a client whose session waits, by its socket. The reading goroutine may not have seen it yet.
type clientPresence uint8

const (
	// clientWaiting means that the connection is open and no input is unread.
	clientWaiting clientPresence = iota
	// clientSentMore means that the client has sent more than its request. The end of the connection may follow that input unseen.
	clientSentMore
	// clientGone means that the connection is closed, half-closed or reset.
	clientGone
)

// presence returns the state of the client by its socket.
func (c *conn) presence() clientPresence {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return clientGone
	}
	var next [1]byte
	n, _, err := unix.Recvfrom(c.fd(), next[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
	switch {
	case errors.Is(err, unix.EAGAIN) || errors.Is(err, unix.EINTR):
		return clientWaiting
	case n > 0 && !c.isClosedByClientLocked():
		return clientSentMore
	}
	return clientGone
}

// isClosedByClientLocked reports whether the client has closed, half-closed or reset the connection. The caller holds c.mu.
func (c *conn) isClosedByClientLocked() bool {
	info, err := c.tcpInfo()
	return err == nil && (info.State == unix.BPF_TCP_CLOSE_WAIT || info.State == unix.BPF_TCP_CLOSE)
}

// sinceLastByte returns the time since the kernel received the newest bytes, or 0 if it is unknown.
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
