package publisher

import (
	"net"
	"sync"
	"sync/atomic"
	"time"

	"sabletally/internal/fleet/changefeed"
	"sabletally/internal/fleet/framing"
	"sabletally/internal/fleet/replication"
	"sabletally/internal/fleet/shardmap"
)

const (
	writeTimeout  = 30 * time.Second // limit of one write; the core closes a session without acknowledgements after the same time
	closeTimeout  = 2 * time.Second  // limit of the last write before the connection is closed
	maxQueueParts = 2 * 4096         // maximum number of headers and bodies in the send queue of a connection
	maxQueueBytes = 8 << 20          // a queue of at most this size accepts one more message of any size
)

// conn is the connection of one subscriber. One goroutine reads from it and one writes to it.
type conn struct {
	server            *Server
	id                uint64
	netConn           net.Conn
	pendingOperations atomic.Int64 // operations and puts of this subscriber that have no result yet

	mu           sync.Mutex
	queue        [][]byte      // headers and bodies to send; the slices may be shared with other connections
	queueBytes   int           // total size of queue
	isClosing    bool          // set when nothing more may be queued; the connection is closed once the queue is sent
	wakeup       chan struct{} // tells the writer that the queue or isClosing has changed
	writerClosed chan struct{} // closed when the writer has ended, or was never started
}

func newConn(server *Server, netConn net.Conn) *conn {
	return &conn{
		server:       server,
		netConn:      netConn,
		wakeup:       make(chan struct{}, 1),
		writerClosed: make(chan struct{}),
	}
}

// enqueue queues headers and bodies, which are sent in as few writes as possible. It never blocks. A connection whose queue is full is
// closed.
func (c *conn) enqueue(parts ...[]byte) {
	c.mu.Lock()
	isFull := len(c.queue) >= maxQueueParts || c.queueBytes > maxQueueBytes
	if !isFull && !c.isClosing {
		c.queue = append(c.queue, parts...)
		for _, part := range parts {
			c.queueBytes += len(part)
		}
	}
	c.mu.Unlock()
	if isFull {
		c.server.overflowed.Add(1)
		_ = c.netConn.Close() // the reader ends even if this returns an error
		return
	}
	c.signal()
}

// send queues a message for this subscriber only.
func (c *conn) send(message *changefeed.Message) {
	body := changefeed.Encode(message)
	c.enqueue(framing.Header(body), body)
}

// sendResult sends the result of the operation that the subscriber submitted under requestID.
func (c *conn) sendResult(requestID uint64, result replication.Result) {
	c.send(&changefeed.Message{OperationResult: &changefeed.Payload{RequestID: requestID, Body: framing.Encode(result)}})
}

// sendPutResponse sends the result of a put.
func (c *conn) sendPutResponse(result shardmap.PutResult) {
	c.send(&changefeed.Message{PutResponse: &changefeed.PutResponse{OperationID: result.OperationID, Version: result.Version, RejectReason: result.Rejection}})
}

// closeAfterQueue closes the connection once the queued messages are sent. Nothing more can be queued.
func (c *conn) closeAfterQueue() {
	c.mu.Lock()
	c.isClosing = true
	c.mu.Unlock()
	c.signal()
}

// signal wakes the writer, without blocking if a wakeup is already pending.
func (c *conn) signal() {
	select {
	case c.wakeup <- struct{}{}:
	default:
	}
}

// write sends queued messages until the connection ends. readerClosed is closed when the connection's reader has ended.
func (c *conn) write(readerClosed <-chan struct{}) {
	defer c.server.goroutines.Done()
	defer close(c.writerClosed)
	defer func() { _ = c.netConn.Close() }() // closing the connection ends the reader, too
	for {
		queue, isClosing := c.takeQueue()
		if len(queue) > 0 {
			if err := c.writeAll(queue, isClosing); err != nil {
				return
			}
			continue
		}
		if isClosing {
			return
		}
		select {
		case <-readerClosed:
			return
		case <-c.wakeup:
		}
	}
}

// takeQueue removes and returns everything that is queued.
func (c *conn) takeQueue() (queue [][]byte, isClosing bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	queue = c.queue
	c.queue = nil
	c.queueBytes = 0
	return queue, c.isClosing
}

// writeAll sends the parts of a queue in one vectored write.
func (c *conn) writeAll(queue [][]byte, isClosing bool) error {
	size := int64(0)
	for _, part := range queue {
		size += int64(len(part))
	}
	timeout := writeTimeout
	if isClosing {
		timeout = closeTimeout
	}
	_ = c.netConn.SetWriteDeadline(time.Now().Add(timeout)) // fails only on a closed connection, on which the write fails as well
	buffers := net.Buffers(queue)
	if _, err := buffers.WriteTo(c.netConn); err != nil {
		return err
	}
	c.server.sent.Add(size)
	c.server.writes.Add(1)
	return nil
}
