package admin

import (
	"container/list"
	"net"
	"sync"
)

// connKey is the context key of a request's connection.
type connKey struct{}

// boundedListener keeps at most maxConns connections open. One more closes the oldest connection whose request headers are
// not read yet, so that idle connections do not lock operators out.
type boundedListener struct {
	net.Listener
	maxConns int
	mu       sync.Mutex
	conns    *list.List // open connections (*conn), the oldest first
}

// conn is a connection that a boundedListener has accepted.
type conn struct {
	net.Conn
	listener *boundedListener
	element  *list.Element // position in listener.conns

	// Guarded by listener.mu.
	requestRead bool // set once the request's headers are read
	closed      bool // set once the connection is no longer in listener.conns
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

// evict removes and returns the connection to close: the oldest whose request headers are not read yet, or the oldest of
// all if there is none. The caller holds mu.
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

// markRequestRead records that the request's headers are read.
func (c *conn) markRequestRead() {
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	c.requestRead = true
}

// Close closes the connection and removes it from the listener's list.
func (c *conn) Close() error {
	c.listener.mu.Lock()
	if !c.closed {
		c.closed = true
		c.listener.conns.Remove(c.element)
	}
	c.listener.mu.Unlock()
	return c.Conn.Close()
}
