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
	writeTimeout      = 5 * time.Second        // of one write
	disconnectTimeout = 500 * time.Millisecond // of the last write
	progressInterval  = 500 * time.Millisecond
	maxQueuedBodies   = 8192
	readBufferBytes   = 4 << 10
)

// conn is the connection to one control process, dialing or open.
type conn struct {
	client  *Client
	address string

	mu        sync.Mutex
	netConn   net.Conn // nil while it is dialing
	queue     [][]byte // bodies
	isWriting bool     // a goroutine writes the queue
	isMarked  bool     // the mark of the stream was sent; belongs to the writing goroutine
	isClosing bool     // nothing more is queued; the connection ends after the queue
}

// run dials, then reads until the connection ends.
func (c *conn) run() {
	client := c.client
	defer client.goroutines.Done()
	dialer := net.Dialer{Timeout: dialTimeout}
	if client.options.LocalAddr.IsValid() {
		dialer.LocalAddr = &net.TCPAddr{IP: client.options.LocalAddr.AsSlice()}
	}
	netConn, err := dialer.DialContext(client.dialContext, "tcp", c.address)
	if err != nil {
		client.disconnected(c, false)
		return
	}
	defer func() { _ = netConn.Close() }() // the core is told of its end
	c.mu.Lock()
	c.netConn = netConn
	c.mu.Unlock()
	if !client.connected(c) {
		return
	}
	c.readMessages(netConn)
	client.disconnected(c, true)
}

// readMessages handles messages until the connection ends or is given up, or a message is malformed.
func (c *conn) readMessages(netConn net.Conn) {
	progress := &progressReader{conn: c, netConn: netConn, reportedAt: time.Now()}
	buffered := bufio.NewReaderSize(progress, readBufferBytes)
	for {
		body, err := framing.Read(buffered, changefeed.MaxMessageBytes)
		if err != nil {
			return
		}
		c.client.received.Add(int64(framing.HeaderSize + len(body)))
		message, err := changefeed.Decode(body)
		if err != nil || !c.client.handle(c, message) {
			return
		}
	}
}

// progressReader reports arriving bytes to the client, at most once in progressInterval.
type progressReader struct {
	conn       *conn
	netConn    net.Conn
	reportedAt time.Time
}

// Read implements io.Reader.
func (r *progressReader) Read(buffer []byte) (int, error) {
	n, err := r.netConn.Read(buffer)
	if now := time.Now(); n > 0 && now.Sub(r.reportedAt) >= progressInterval {
		r.reportedAt = now
		r.conn.client.progress(r.conn)
	}
	return n, err
}

// enqueue queues a body. It never waits. A connection whose queue is full is closed.
func (c *conn) enqueue(body []byte) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.isClosing || c.netConn == nil {
		return
	}
	if len(c.queue) >= maxQueuedBodies {
		_ = c.netConn.Close() // its reader ends in any case
		return
	}
	c.queue = append(c.queue, body)
	c.startWriting()
}

// closeAfterQueue closes the connection after what is queued.
func (c *conn) closeAfterQueue() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.isClosing = true
	if c.netConn != nil {
		c.startWriting()
	}
}

// startWriting starts a goroutine that writes the queue, unless there is one: an idle connection needs none. mu is held.
func (c *conn) startWriting() {
	if c.isWriting {
		return
	}
	c.isWriting = true
	c.client.goroutines.Add(1)
	go c.writeQueue()
}

// writeQueue writes until the queue is empty.
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
		_ = c.netConn.SetWriteDeadline(time.Now().Add(timeout)) // fails on a closed connection alone, and so does the write
		if err := c.writeFrames(queue); err != nil {
			_ = c.netConn.Close() // its reader reports the end
		}
	}
}

// takeQueue takes the queue over. Where it is empty the writing ends, and the connection with it if it is closing.
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

func (c *conn) writeFrames(bodies [][]byte) error {
	var buffers net.Buffers
	size := int64(0)
	if !c.isMarked {
		c.isMarked = true
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
