package balancer

import (
	"container/list"
	"sync"
	"time"
)

// idleConns keeps the clients' connections that have no session, so that the oldest can be evicted when descriptors run short. Its
// methods are safe for concurrent use.
type idleConns struct {
	mu       sync.Mutex
	silent   *list.List              // *idleConn values of clients without a complete first line, the longest silent first
	ended    *list.List              // *idleConn values of clients with their final answer, the longest ended first
	elements map[*conn]*list.Element // elements of both lists by connection
}

// idleConn is an element of one of the lists of idleConns.
type idleConn struct {
	conn  *conn
	list  *list.List // list that contains this element
	since time.Time  // time at which the connection was added to the list
}

func newIdleConns() *idleConns {
	return &idleConns{silent: list.New(), ended: list.New(), elements: map[*conn]*list.Element{}}
}

// add appends a connection to one of the lists and removes it from the other.
func (i *idleConns) add(c *conn, to *list.List) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.removeLocked(c)
	i.elements[c] = to.PushBack(&idleConn{conn: c, list: to, since: time.Now()})
}

// remove removes a connection from the list that contains it.
func (i *idleConns) remove(c *conn) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.removeLocked(c)
}

func (i *idleConns) removeLocked(c *conn) {
	if element := i.elements[c]; element != nil {
		element.Value.(*idleConn).list.Remove(element)
		delete(i.elements, c)
	}
}

// lineReceived updates the lists when a client has sent a line. After a PING, the client's wait for its first line starts again.
func (i *idleConns) lineReceived(c *conn, isPing bool) {
	if isPing {
		i.add(c, i.silent)
	} else {
		i.remove(c)
	}
}

// evict removes and returns the connection to close next, nil if there is none. It prefers ended connections whose final line is
// written, then silent ones, and among these it takes clients that wait for the answer to a PING last. It never returns excluded, nor a
// silent connection with unread input: a well-behaved client's line arrives right after the connection.
func (i *idleConns) evict(excluded *conn) (c *conn, silent bool) {
	i.mu.Lock()
	defer i.mu.Unlock()
	for element := i.ended.Front(); element != nil; element = element.Next() {
		if c := element.Value.(*idleConn).conn; c.isFlushed() {
			i.removeLocked(c)
			return c, false
		}
	}
	c = i.oldestSilentLocked(excluded)
	if c != nil {
		c.markEvicted() // before its next line can be received, so that it is not served
		i.removeLocked(c)
	}
	return c, true
}

// oldestSilentLocked returns the silent connection to evict next, nil if there is none. The caller holds i.mu.
func (i *idleConns) oldestSilentLocked(excluded *conn) *conn {
	var waitsForPong *conn
	for element := i.silent.Front(); element != nil; element = element.Next() {
		c := element.Value.(*idleConn).conn
		switch {
		case c == excluded || !c.isFlushed() || c.hasUnreadBytes():
		case !c.awaitsPong.Load():
			return c
		case waitsForPong == nil:
			waitsForPong = c
		}
	}
	return waitsForPong
}

// takeSilentSince removes and returns the connections that have been silent since the time then or longer.
func (i *idleConns) takeSilentSince(then time.Time) []*conn {
	i.mu.Lock()
	defer i.mu.Unlock()
	var all []*conn
	for {
		element := i.silent.Front()
		if element == nil || element.Value.(*idleConn).since.After(then) {
			return all
		}
		c := element.Value.(*idleConn).conn
		all = append(all, c)
		i.removeLocked(c)
	}
}
