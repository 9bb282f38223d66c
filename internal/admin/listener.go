package admin

import (
	"container/list"
	"net"
	"sync"
)

// connKey is the key of a request's connection in its context.
type connKey struct{}

// boundedListener holds maxConns connections at most: one more ends the oldest without a request, so that silent
// callers do not keep operators out.
type boundedListener struct {
	net.Listener
	maxConns int
	mu       sync.Mutex
	conns    *list.List // of *conn, oldest first
}

// conn is one connection at a boundedListener.
type conn struct {
	net.Conn
	listener *boundedListener
	element  *list.Element

	// Guarded by listener.mu.
	requestRead bool // the request is complete
	closed      bool
}

// Accept implements net.Listener.
func (b *boundedListener) Accept() (net.Conn, error) {
	nc, err := b.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &conn{Conn: nc, listener: b}
	b.mu.Lock()
	var old *conn
	if b.conns.Len() >= b.maxConns {
		old = b.evict()
	}
	c.element = b.conns.PushBack(c)
	b.mu.Unlock()
	if old != nil {
		_ = old.Conn.Close()
	}
	return c, nil
}

// evict removes and returns the connection to end: the oldest without a complete request, or else the oldest. The
// caller holds mu.
func (b *boundedListener) evict() *conn {
	found := b.conns.Front()
	for e := found; e != nil; e = e.Next() {
		if !e.Value.(*conn).requestRead {
			found = e
			break
		}
	}
	c := found.Value.(*conn)
	b.conns.Remove(found)
	c.closed = true
	return c
}

// markRequestRead records that the request is complete.
func (c *conn) markRequestRead() {
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	c.requestRead = true
}

// Close closes the connection and removes it from the listener's.
func (c *conn) Close() error {
	c.listener.mu.Lock()
	if !c.closed {
		c.closed = true
		c.listener.conns.Remove(c.element)
	}
	c.listener.mu.Unlock()
	return c.Conn.Close()
}
