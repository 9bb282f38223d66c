package subscriber

import (
	"bufio"
	"net"
	"time"

	"sabletally/internal/fleet/changefeed"
	"sabletally/internal/fleet/framing"
)

const (
	dialIn      = time.Second
	writeIn     = 5 * time.Second // the core leaves who is silent for half a lease
	queueMost   = 8192            // words that wait to be written to one
	progressMin = 500 * time.Millisecond
)

// run dials, then reads until the connection ends.
func (c *conn) run() {
	f := c.of
	defer f.all.Done()
	d := net.Dialer{Timeout: dialIn}
	if f.opt.LocalAddr.IsValid() {
		d.LocalAddr = &net.TCPAddr{IP: f.opt.LocalAddr.AsSlice()}
	}
	nc, err := d.DialContext(f.ctx, "tcp", c.addr)
	if err != nil {
		f.closed(c, false)
		return
	}
	defer func() { _ = nc.Close() }()
	c.mu.Lock()
	c.c = nc
	c.mu.Unlock()
	if !f.opened(c) {
		return
	}
	r := bufio.NewReaderSize(&noted{c: c, nc: nc, at: time.Now()}, 4<<10)
	for {
		body, err := framing.Read(r, changefeed.MaxMessageBytes)
		if err != nil {
			break
		}
		f.got.Add(int64(framing.HeaderSize + len(body)))
		m, err := changefeed.Decode(body)
		if err != nil || !f.heard(c, m) {
			break
		}
	}
	f.closed(c, true)
}

// noted tells the core that bytes come.
type noted struct {
	c  *conn
	nc net.Conn
	at time.Time
}

func (n *noted) Read(b []byte) (int, error) {
	got, err := n.nc.Read(b)
	if now := time.Now(); got > 0 && now.Sub(n.at) >= progressMin {
		n.at = now
		n.c.of.progress(n.c)
	}
	return got, err
}

// put has a word written; it never waits. A connection whose queue is full ends.
func (c *conn) put(body []byte) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.last || c.c == nil {
		return
	}
	if len(c.queue) >= queueMost {
		_ = c.c.Close()
		return
	}
	c.queue = append(c.queue, body)
	c.write()
}

// end has the connection end after what waits.
func (c *conn) end() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.last = true; c.c != nil {
		c.write()
	}
}

// write begins to write, under c's lock, unless it is under way. Nobody waits in it: who has nothing to say costs no goroutine.
func (c *conn) write() {
	if c.writing {
		return
	}
	c.writing = true
	c.of.all.Add(1)
	go func() {
		defer c.of.all.Done()
		for {
			c.mu.Lock()
			queue, last := c.queue, c.last
			c.queue = nil
			if len(queue) == 0 {
				if c.writing = false; last {
					_ = c.c.Close()
				}
				c.mu.Unlock()
				return
			}
			c.mu.Unlock()
			within := writeIn
			if last {
				within = byeIn
			}
			_ = c.c.SetWriteDeadline(time.Now().Add(within))
			if !c.send(queue) {
				_ = c.c.Close() // which its reader finds
			}
		}
	}()
}

func (c *conn) send(queue [][]byte) bool {
	var out net.Buffers
	size := int64(0)
	if !c.marked {
		c.marked = true
		out = append(out, []byte{framing.StreamMark})
		size++
	}
	for _, body := range queue {
		out = append(out, framing.Header(body), body)
		size += int64(framing.HeaderSize + len(body))
	}
	if _, err := out.WriteTo(c.c); err != nil {
		return false
	}
	c.of.sent.Add(size)
	return true
}
