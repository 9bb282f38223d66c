package relay

import (
	"container/list"
	"sync"
)

// lingerSet keeps the connections that were ended here, whose peers have received everything and have not ended them yet. They can be
// closed when descriptors run short. Its methods are safe for concurrent use.
type lingerSet struct {
	mu         sync.Mutex
	ended      list.List // of *Conn: nothing of them is forwarded any more
	halfClosed list.List // of *Conn: what they still send is; those that may bring an answer last
	elements   map[*Conn]lingeringElement
}

// lingeringElement is where a connection is kept.
type lingeringElement struct {
	list    *list.List
	element *list.Element
}

// add keeps a connection. The caller holds its lock.
func (l *lingerSet) add(c *Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.elements == nil {
		l.elements = map[*Conn]lingeringElement{}
	}
	to := &l.ended
	if c.forwardsInputLocked() {
		to = &l.halfClosed
	}
	if l.elements[c].list == to {
		return
	}
	l.removeLocked(c)
	if c.awaitsAnswer() {
		l.elements[c] = lingeringElement{to, to.PushBack(c)}
	} else {
		l.elements[c] = lingeringElement{to, to.PushFront(c)}
	}
}

// remove forgets a connection. The caller holds its lock.
func (l *lingerSet) remove(c *Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.removeLocked(c)
}

func (l *lingerSet) removeLocked(c *Conn) {
	if kept, found := l.elements[c]; found {
		kept.list.Remove(kept.element)
		delete(l.elements, c)
	}
}

// firstEnded returns a connection of which nothing is forwarded any more, nil where there is none.
func (l *lingerSet) firstEnded() *Conn {
	l.mu.Lock()
	defer l.mu.Unlock()
	if front := l.ended.Front(); front != nil {
		return front.Value.(*Conn)
	}
	return nil
}

// firstHalfClosed returns the connection to close first of those that may still send something, nil where there is none.
func (l *lingerSet) firstHalfClosed() *Conn {
	l.mu.Lock()
	defer l.mu.Unlock()
	for element := l.halfClosed.Front(); element != nil; element = element.Next() {
		if c := element.Value.(*Conn); !c.isReadingSuspended() {
			return c
		}
	}
	return nil
}

// isReadingSuspended reports whether the connection is not read because the other side of its pair takes nothing more now.
func (c *Conn) isReadingSuspended() bool {
	p := c.pair.Load()
	return p != nil && c.side == Server && p.conns[Client].writeBlocked.Load()
}

// awaitsAnswer reports whether a server may still answer a client that has ended its sending.
func (c *Conn) awaitsAnswer() bool {
	p := c.pair.Load()
	return c.side == Server && p != nil && p.requestedAt.Load() > 0
}

// CloseLingering closes one connection, and with it the other one of its pair, that waits only for its peer's own end. It reports false
// if there is none.
func (r *Relay) CloseLingering() bool { return closeAtOnce(r.lingering.firstEnded()) }

// CloseHalfClosed does the same to one whose client has ended its sending, and whose server may still say something.
func (r *Relay) CloseHalfClosed() bool { return closeAtOnce(r.lingering.firstHalfClosed()) }

func closeAtOnce(c *Conn) bool {
	if c == nil {
		return false
	}
	c.withLock(c.closeLocked)
	return true
}
