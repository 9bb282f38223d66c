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
	writeTimeout  = 30 * time.Second // of one write; the core closes a session that acknowledges nothing for as long
	closeTimeout  = 2 * time.Second  // of the last write
	maxQueueParts = 2 * 4096         // headers and bodies
	maxQueueBytes = 8 << 20          // beside one message of any size
)

// conn is a subscriber's connection, with one goroutine that reads and one that writes.
type conn struct {
	server     *Server
	id         uint64
	netConn    net.Conn
	operations atomic.Int64 // pending

	mu           sync.Mutex
	queue        [][]byte // headers and bodies, shared with other connections
	queueBytes   int
	isClosing    bool // nothing more is queued; the connection ends after the queue
	wake         chan struct{}
	writerClosed chan struct{}
}

func newConn(server *Server, netConn net.Conn) *conn {
	return &conn{
		server:       server,
		netConn:      netConn,
		wake:         make(chan struct{}, 1),
		writerClosed: make(chan struct{}),
	}
}

// enqueue queues headers and bodies, which go out in as few writes as possible. It never waits. A connection whose queue is full is
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
		_ = c.netConn.Close() // its reader ends in any case
		return
	}
	c.signal()
}

// send queues a message to this subscriber alone.
func (c *conn) send(message *changefeed.Message) {
	body := changefeed.Encode(message)
	c.enqueue(framing.Header(body), body)
}

func (c *conn) sendResult(requestID uint64, result replication.Result) {
	c.send(&changefeed.Message{OperationResult: &changefeed.Payload{RequestID: requestID, Body: framing.Encode(result)}})
}

func (c *conn) sendPutResponse(result shardmap.PutResult) {
	c.send(&changefeed.Message{PutResponse: &changefeed.PutResponse{OperationID: result.OperationID, Version: result.Version, RejectReason: result.Rejection}})
}

// closeAfterQueue closes the connection after what is queued.
func (c *conn) closeAfterQueue() {
	c.mu.Lock()
	c.isClosing = true
	c.mu.Unlock()
	c.signal()
}

func (c *conn) signal() {
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

// write writes the queue until the connection ends; readerClosed is closed when its reader ends.
func (c *conn) write(readerClosed <-chan struct{}) {
	defer c.server.goroutines.Done()
	defer close(c.writerClosed)
	defer func() { _ = c.netConn.Close() }() // a failed write is seen by the reader
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
		case <-c.wake:
		}
	}
}

func (c *conn) takeQueue() (queue [][]byte, isClosing bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	queue = c.queue
	c.queue = nil
	c.queueBytes = 0
	return queue, c.isClosing
}

func (c *conn) writeAll(queue [][]byte, isClosing bool) error {
	size := int64(0)
	for _, part := range queue {
		size += int64(len(part))
	}
	timeout := writeTimeout
	if isClosing {
		timeout = closeTimeout
	}
	_ = c.netConn.SetWriteDeadline(time.Now().Add(timeout)) // fails on a closed connection alone, and so does the write
	buffers := net.Buffers(queue)
	if _, err := buffers.WriteTo(c.netConn); err != nil {
		return err
	}
	c.server.sent.Add(size)
	c.server.writes.Add(1)
	return nil
}
