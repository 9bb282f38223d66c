package relay

import (
	"container/list"
	"sync"
)

// lingerSet holds the connections that the relay has ended, whose peers have received everything and have not ended them yet. They can be
// closed when descriptors run short. Its methods are safe for concurrent use.
type lingerSet struct {
	mu         sync.Mutex
	ended      list.List                  // connections (*Conn) whose input is no longer forwarded
	halfClosed list.List                  // connections (*Conn) whose input is still forwarded; those that may carry an answer are at the back
	elements   map[*Conn]lingeringElement // position of each connection
}

// lingeringElement is the position of a connection in one of the lists.
type lingeringElement struct {
	list    *list.List
	element *list.Element
}

// add adds a connection or moves it to the list that it now belongs to. The caller holds the connection's lock.
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

// remove removes a connection. The caller holds the connection's lock.
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

// firstEnded returns a connection whose input is no longer forwarded, nil if there is none.
func (l *lingerSet) firstEnded() *Conn {
	l.mu.Lock()
	defer l.mu.Unlock()
	if front := l.ended.Front(); front != nil {
		return front.Value.(*Conn)
	}
	return nil
}

// firstHalfClosed returns the connection to close first among those whose input is still forwarded, nil if there is none.
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

// isReadingSuspended reports whether the connection is not read because the client of its pair does not accept more.
func (c *Conn) isReadingSuspended() bool {
	p := c.pair.Load()
	return p != nil && c.side == Server && p.conns[Client].writeBlocked.Load()
}

// awaitsAnswer reports whether a server may still answer a client that has ended its sending.
func (c *Conn) awaitsAnswer() bool {
	p := c.pair.Load()
	return c.side == Server && p != nil && p.requestedAt.Load() > 0
}

// CloseLingering closes one connection that waits only for its peer to end it, and with it the other connection of its pair. It returns
// false if there is none.
func (r *Relay) CloseLingering() bool { return closeAtOnce(r.lingering.firstEnded()) }

// CloseHalfClosed closes one connection to a server that may still send lines after its client has ended its sending, and with it the
// other connection of the pair. It returns false if there is none.
func (r *Relay) CloseHalfClosed() bool { return closeAtOnce(r.lingering.firstHalfClosed()) }

func closeAtOnce(c *Conn) bool {
	if c == nil {
		return false
	}
	c.withLock(c.closeLocked)
	return true
}
