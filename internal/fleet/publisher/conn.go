package publisher

import (
	"bufio"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"sabletally/internal/fleet/changefeed"
	"sabletally/internal/fleet/framing"
	"sabletally/internal/fleet/replication"
)

const (
	helloIn    = 3 * time.Second
	quietMost  = 2 * changefeed.DefaultLease // the relay ends who says nothing for a lease; this ends what the relay does not know
	writeIn    = 30 * time.Second            // of what is written at once; the relay ends who takes nothing for so long
	endIn      = 2 * time.Second             // for the last words
	readMost   = 1 << 20                     // bytes of one word of a follower's
	queueMost  = 2 * 4096                    // heads and bodies of words that wait for one, and their bytes beside the largest word that there is
	queueBytes = 8 << 20
	withinMost = 10 * time.Second // of an operation
	putWithin  = 5 * time.Second
)

// conn is one follower's connection: one goroutine reads, one writes.
type conn struct {
	of  *Server
	id  uint64
	c   net.Conn
	ops atomic.Int64

	mu    sync.Mutex
	queue [][]byte // heads and bodies, shared with other connections
	bytes int
	last  bool // nothing more is taken: what waits is written, and it ends
	wake  chan struct{}

	written chan struct{} // closed when nothing is written any more
}

// put has words written, each a head and a body, in as few writes as there can be; it never waits. A connection whose queue is full
// ends.
func (c *conn) put(words ...[]byte) {
	c.mu.Lock()
	full := len(c.queue) >= queueMost || c.bytes > queueBytes
	if !full && !c.last {
		c.queue = append(c.queue, words...)
		for _, part := range words {
			c.bytes += len(part)
		}
	}
	c.mu.Unlock()
	if full {
		c.of.overflow.Add(1)
		_ = c.c.Close()
		return
	}
	c.poke()
}

// say has one message written to this follower alone.
func (c *conn) say(m *changefeed.Message) {
	body := changefeed.Encode(m)
	c.put(framing.Header(body), body)
}

// end has the connection end after what waits.
func (c *conn) end() {
	c.mu.Lock()
	c.last = true
	c.mu.Unlock()
	c.poke()
}

func (c *conn) poke() {
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

func (c *conn) result(number uint64, r replication.Result) {
	c.say(&changefeed.Message{OperationResult: &changefeed.Payload{RequestID: number, Body: framing.Encode(r)}})
}

// write is the writing goroutine; over is closed when the reading one ends.
func (c *conn) write(over <-chan struct{}) {
	defer c.of.all.Done()
	defer close(c.written)
	defer func() { _ = c.c.Close() }()
	for {
		c.mu.Lock()
		queue, last := c.queue, c.last
		c.queue, c.bytes = nil, 0
		c.mu.Unlock()
		if len(queue) == 0 {
			if last {
				return
			}
			select {
			case <-over:
				return
			case <-c.wake:
			}
			continue
		}
		size := int64(0)
		for _, part := range queue {
			size += int64(len(part))
		}
		within := writeIn
		if last {
			within = endIn
		}
		_ = c.c.SetWriteDeadline(time.Now().Add(within))
		out := net.Buffers(queue) // nobody else's any more; WriteTo lets go of each part that is written
		if _, err := out.WriteTo(c.c); err != nil {
			return
		}
		c.of.sent.Add(size)
		c.of.writes.Add(1)
	}
}

// serve is the reading goroutine.
func (p *Server) serve(nc net.Conn) error {
	defer func() { _ = nc.Close() }()
	r := bufio.NewReaderSize(nc, 4<<10)
	_ = nc.SetReadDeadline(time.Now().Add(helloIn))
	if _, err := r.Discard(1); err != nil { // the mark
		return err
	}
	read := func(most int) ([]byte, error) {
		body, err := framing.Read(r, most)
		p.got.Add(int64(framing.HeaderSize + len(body)))
		return body, err
	}
	body, err := read(4 << 10)
	if err != nil {
		return err
	}
	var g framing.Greeting
	if err := framing.Decode(body, &g); err != nil {
		return err
	}
	if g.Fleet != p.opt.Fleet {
		return fmt.Errorf("a follower of fleet %q at %v", g.Fleet, nc.RemoteAddr())
	}
	if body, err = read(readMost); err != nil {
		return err
	}
	m, err := changefeed.Decode(body)
	if err != nil {
		return err
	}
	if m.Hello == nil {
		return fmt.Errorf("%w: no hello", changefeed.ErrMalformedMessage)
	}
	c, over := &conn{of: p, c: nc, wake: make(chan struct{}, 1), written: make(chan struct{})}, make(chan struct{})
	defer close(over)
	if err := p.open(c, *m.Hello, over); err != nil {
		<-c.written // its last words
		return err
	}
	defer p.close(c)
	for {
		_ = nc.SetReadDeadline(time.Now().Add(quietMost))
		if body, err = read(readMost); err != nil {
			return err
		}
		if m, err = changefeed.Decode(body); err != nil {
			return err
		}
		p.mu.Lock()
		err = p.relay.Step(p.opt.Now(), c.id, m)
		p.carryOut()
		p.mu.Unlock()
		if err != nil {
			return err
		}
		switch {
		case m.Operation != nil:
			var a framing.OperationRequest
			if err := framing.Decode(m.Operation.Body, &a); err != nil {
				return err
			}
			p.ask(c, m.Operation.RequestID, a.Operation, min(a.Timeout, withinMost))
		case m.PutRequest != nil:
			p.change(c, m.PutRequest)
		}
	}
}

// open tells the relay of a follower. What the relay says to one that it does not take is written before the connection ends.
func (p *Server) open(c *conn, h changefeed.Hello, over <-chan struct{}) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	select {
	case <-p.done:
		return net.ErrClosed
	default:
	}
	p.last++
	c.id = p.last
	p.conns[c.id] = c
	p.all.Add(1)
	go c.write(over)
	err := p.relay.Connected(p.opt.Now(), c.id, h)
	p.carryOut()
	if err != nil {
		c.end()
		delete(p.conns, c.id)
	}
	return err
}

func (p *Server) close(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.conns, c.id)
	p.relay.ConnectionClosed(c.id)
	p.carryOut()
}
