package subscriber

import (
	"bufio"
	"net"
	"sync"
	"time"

	"sabletally/internal/fleet/changefeed"
	"sabletally/internal/fleet/framing"
)

const (
	dialTimeout       = time.Second
	writeTimeout      = 5 * time.Second        // limit of one write
	disconnectTimeout = 500 * time.Millisecond // limit of the last write before the connection is closed
	progressInterval  = 500 * time.Millisecond // minimum time between two reports of progress
	maxQueuedBodies   = 8192                   // maximum number of bodies in the send queue of a connection
	readBufferBytes   = 4 << 10
)

// conn is a connection to one control process. It is created before it is dialed.
type conn struct {
	client  *Client
	address string

	mu        sync.Mutex
	netConn   net.Conn // nil while the connection is being dialed
	queue     [][]byte // bodies to send
	isWriting bool     // whether a goroutine is writing the queue
	markSent  bool     // whether the stream mark was sent; used only by the writing goroutine, without mu
	isClosing bool     // set when nothing more may be queued; the connection is closed once the queue is sent
}

// run dials the control process, then reads until the connection ends.
func (c *conn) run() {
	client := c.client
	defer client.goroutines.Done()
	dialer := net.Dialer{Timeout: dialTimeout}
	if client.options.LocalAddr.IsValid() {
		dialer.LocalAddr = &net.TCPAddr{IP: client.options.LocalAddr.AsSlice()}
	}
	netConn, err := dialer.DialContext(client.dialContext, "tcp", c.address)
	if err != nil {
		client.onDisconnected(c, false)
		return
	}
	defer func() { _ = netConn.Close() }() // the core learns about the end from onDisconnected
	c.mu.Lock()
	c.netConn = netConn
	c.mu.Unlock()
	if !client.onConnected(c) {
		return
	}
	c.readMessages(netConn)
	client.onDisconnected(c, true)
}

// readMessages processes messages until the connection ends or is abandoned, or a message is malformed.
func (c *conn) readMessages(netConn net.Conn) {
	reader := &progressReader{conn: c, netConn: netConn, reportedAt: time.Now()}
	buffered := bufio.NewReaderSize(reader, readBufferBytes)
	for {
		body, err := framing.Read(buffered, changefeed.MaxMessageBytes)
		if err != nil {
			return
		}
		c.client.received.Add(int64(framing.HeaderSize + len(body)))
		message, err := changefeed.Decode(body)
		if err != nil || !c.client.handleMessage(c, message) {
			return
		}
	}
}

// progressReader reads from a connection and reports progress to the client, at most once per progressInterval. A large message that
// arrives slowly thus counts as a sign of life.
type progressReader struct {
	conn       *conn
	netConn    net.Conn
	reportedAt time.Time // time of the last report
}

// Read implements io.Reader.
func (r *progressReader) Read(buffer []byte) (int, error) {
	n, err := r.netConn.Read(buffer)
	if now := time.Now(); n > 0 && now.Sub(r.reportedAt) >= progressInterval {
		r.reportedAt = now
		r.conn.client.reportProgress(r.conn)
	}
	return n, err
}

// enqueue queues a body. It never blocks. A connection whose queue is full is closed.
func (c *conn) enqueue(body []byte) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.isClosing || c.netConn == nil {
		return
	}
	if len(c.queue) >= maxQueuedBodies {
		_ = c.netConn.Close() // the reader ends even if this returns an error
		return
	}
	c.queue = append(c.queue, body)
	c.startWriting()
}

// closeAfterQueue closes the connection once the queued bodies are sent. Nothing more can be queued.
func (c *conn) closeAfterQueue() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.isClosing = true
	if c.netConn != nil {
		c.startWriting()
	}
}

// startWriting starts a goroutine that writes the queue, unless one is running. An idle connection has no such goroutine. mu is held.
func (c *conn) startWriting() {
	if c.isWriting {
		return
	}
	c.isWriting = true
	c.client.goroutines.Add(1)
	go c.writeQueue()
}

// writeQueue writes queued bodies until the queue is empty.
func (c *conn) writeQueue() {
	defer c.client.goroutines.Done()
	for {
		queue, isClosing := c.takeQueue()
		if len(queue) == 0 {
			return
		}
		timeout := writeTimeout
		if isClosing {
			timeout = disconnectTimeout
		}
		_ = c.netConn.SetWriteDeadline(time.Now().Add(timeout)) // fails only on a closed connection, on which the write fails as well
		if err := c.writeFrames(queue); err != nil {
			_ = c.netConn.Close() // the reader then reports the end of the connection
		}
	}
}

// takeQueue removes and returns the queued bodies. If there are none, the writing goroutine has to end; a closing connection is then
// closed.
func (c *conn) takeQueue() (queue [][]byte, isClosing bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	queue = c.queue
	c.queue = nil
	if len(queue) == 0 {
		c.isWriting = false
		if c.isClosing {
			_ = c.netConn.Close() // everything is sent
		}
	}
	return queue, c.isClosing
}

// writeFrames writes bodies as frames, after the stream mark if that was not sent yet.
func (c *conn) writeFrames(bodies [][]byte) error {
	var buffers net.Buffers
	size := int64(0)
	if !c.markSent {
		c.markSent = true
		buffers = append(buffers, []byte{framing.StreamMark})
		size++
	}
	for _, body := range bodies {
		buffers = append(buffers, framing.Header(body), body)
		size += int64(framing.HeaderSize + len(body))
	}
	if _, err := buffers.WriteTo(c.netConn); err != nil {
		return err
	}
	c.client.sent.Add(size)
	return nil
}
