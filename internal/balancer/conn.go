package balancer

import (
	"errors"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"

	"sabletally/internal/poller"
	"sabletally/internal/protocol"
	"sabletally/internal/relay"
	"sabletally/internal/socket"
)

const (
	maxQueuedInput = 64 << 10 // maximum bytes of one connection that are posted to the loop and not handled yet
	maxDiscarded   = 64 << 10 // maximum bytes that are read and dropped after the reading of lines has stopped
	maxPings       = 4        // maximum PING lines that a client may send at once before its request

	readRetryDelay = 10 * time.Millisecond // time until a read that failed because the kernel was short of memory is made again
)

// Values of conn.phase: what a client may send next.
const (
	expectFirstLine int32 = iota // PING or a request
	expectNothing                // nothing until the client has its answer
)

// conn is a client's connection until its session is relayed. It reads lines and posts them to the loop, writes through a bounded
// buffer (conn_write.go), and can be passed to another owner (conn_detach.go). It never accesses a session or the policy, and it never
// blocks the loop.
//
// Its descriptor has one owner at each moment: the conn, until close or detach under mu sets closed, and then nobody or the new owner. Each
// system call on the descriptor is made under mu while closed is not set.
type conn struct {
	fd          int
	sink        eventSink
	descriptors *atomic.Int64 // counter of open descriptors that includes this connection's
	idleConns   *idleConns
	stage       atomic.Int32 // progress of the connection, a Stage
	phase       atomic.Int32 // expectFirstLine or expectNothing
	queuedBytes atomic.Int64 // bytes of lines that are posted to the loop and not handled yet
	awaitsPong  atomic.Bool  // whether the client waits for the answer to a PING

	// inputMu guards the fields below. It is held from a read until the lines of the input are posted, and may be locked before mu and
	// before the lock of idleConns, but not while one of them is held.
	inputMu        sync.Mutex
	splitter       protocol.Splitter
	readingStopped bool // whether further input is discarded
	discardedBytes int  // bytes received since readingStopped was set

	mu           sync.Mutex
	outgoing     []byte               // bytes that are queued for writing
	writing      bool                 // whether writeLoop is running
	closingWrite bool                 // the sending side is shut down once outgoing is written
	closed       bool                 // the descriptor is closed or has another owner, and must not be used any more
	evicted      bool                 // the client gets a rejection beside the loop, and must not be served
	registration *poller.Registration // registration with a poller, nil before the connection is read

	// The fields below are accessed by the loop only.
	session         *session
	unansweredPings int    // number of PINGs received while the balancer is not ready
	lingerTimer     *timer // closes the connection if the client does not, nil before the final line
	finished        bool   // the client has its final answer or the connection is detached: further events are ignored
	handingOver     bool   // the connection is being handed over to the successor
	handoverInput   []byte // input to hand over with the connection
}

// newConn returns the connection of a client's descriptor, which it owns from then on. It reads nothing before startReading.
func newConn(fd int, to eventSink, descriptors *atomic.Int64) *conn {
	c := &conn{fd: fd, sink: to, descriptors: descriptors}
	c.stage.Store(int32(StageConnected))
	// A small receive buffer bounds the input of a client that sends before it may. An error is ignored, as the connection works with a
	// larger buffer too. The relay, which reads no more than it can write, lets the buffer grow again.
	_ = unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_RCVBUF, maxQueuedInput/2)
	relay.DisableNagle(fd)
	return c
}

// startReading has a poller report the connection's input. It closes the connection if that is not possible.
func (c *conn) startReading(by *poller.Poller) {
	if err := c.register(by); err != nil {
		c.postDisconnect(&DisconnectError{Stage: c.currentStage(), Abrupt: true, Cause: err})
		c.close()
	}
}

// register registers the connection with a poller, unless it is closed already.
func (c *conn) register(by *poller.Poller) (err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return nil
	}
	c.registration, err = by.Add(c.fd, c)
	return err
}

// OnReadable implements poller.Handler: it reads the input that has arrived, up to the size of scratch, and posts its complete lines. A
// panic ends this connection only.
func (c *conn) OnReadable(registration *poller.Registration, scratch []byte) {
	defer c.recoverPanic("reading a connection")
	if hasEnded := c.readInput(registration, scratch); hasEnded {
		c.close()
	}
}

// readInput reads once and handles the input. It reports whether the connection has ended.
func (c *conn) readInput(registration *poller.Registration, scratch []byte) (hasEnded bool) {
	c.inputMu.Lock()
	defer c.inputMu.Unlock()
	n, err := c.read(scratch)
	switch {
	case errors.Is(err, os.ErrClosed), errors.Is(err, unix.EAGAIN), errors.Is(err, unix.EINTR):
		return false
	case socket.IsTemporary(err):
		registration.Pause(readRetryDelay)
		return false
	case n <= 0 || err != nil:
		return true
	}
	if c.readingStopped || c.queuedBytes.Load() > maxQueuedInput {
		c.discard(n)
		return false
	}
	c.splitter.Add(scratch[:n])
	c.postLines()
	return false
}

// resumeInput handles input that another process has read from the connection. It must be called before startReading.
func (c *conn) resumeInput(input []byte) {
	c.inputMu.Lock()
	defer c.inputMu.Unlock()
	c.splitter.Add(input)
	c.postLines()
}

// read reads from the descriptor. It returns os.ErrClosed if the connection does not own it any more.
func (c *conn) read(scratch []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return 0, os.ErrClosed
	}
	return socket.Read(c.fd, scratch)
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

func (c *conn) tcpInfo() (*unix.TCPInfo, error) {
	return unix.GetsockoptTCPInfo(c.fd, unix.IPPROTO_TCP, unix.TCP_INFO)
}

// hasUnreadBytes reports whether the socket's receive buffer holds input.
func (c *conn) hasUnreadBytes() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return false
	}
	n, err := unix.IoctlGetInt(c.fd, unix.TIOCINQ)
	return err == nil && n > 0
}

// clientPresence is the state of a client whose session waits, by its socket. The reading goroutine may not have seen it yet.
type clientPresence uint8

const (
	// clientWaiting means that the connection is open and no input is unread.
	clientWaiting clientPresence = iota
	// clientSentMore means that the client has sent more than its request. The end of the connection may follow that input unseen.
	clientSentMore
	// clientGone means that the connection is closed, half-closed or reset, or about to be closed by an eviction.
	clientGone
)

// presence returns the state of the client by its socket.
func (c *conn) presence() clientPresence {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed || c.evicted {
		return clientGone
	}
	var next [1]byte
	n, _, err := unix.Recvfrom(c.fd, next[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
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
