package relay

import "golang.org/x/sys/unix"

// PairEnd tells how a pair ended.
type PairEnd struct {
	Pair    *Pair
	EndedBy Side // that ended first
	Abrupt  bool
	Cause   error // of the first side's end, nil if it was ended in order
	Fault   error // why the relay itself ended the pair, nil otherwise
	// Pending is what each side was still owed at that moment.
	Pending [2]Pending
}

// Pending is what was taken over for one connection and has not reached its peer, in bytes.
type Pending struct {
	Buffered       int // in the relay
	Unacknowledged int // in the kernel, sent or not
}

// pendingLocked returns what the connection's peer has not received.
func (c *Conn) pendingLocked() Pending {
	if c.closed {
		return Pending{}
	}
	pending := Pending{Buffered: len(c.writeBuffer) - c.writeOffset}
	if n, err := unix.IoctlGetInt(c.fd, unix.SIOCOUTQ); err == nil {
		pending.Unacknowledged = n
	}
	return pending
}

// pending returns what each side of a pair has not received.
func (p *Pair) pending() (all [2]Pending) {
	for side, c := range p.conns {
		c.mu.Lock()
		all[side] = c.pendingLocked()
		c.mu.Unlock()
	}
	return all
}

// countUnsentLocked counts what a reset now would discard.
func (c *Conn) countUnsentLocked() {
	unsent := len(c.writeBuffer) - c.writeOffset
	if n, err := unix.IoctlGetInt(c.fd, unix.SIOCOUTQNSD); err == nil {
		unsent += n
	}
	c.worker.relay.UnsentBytes.Add(int64(unsent))
}
