package relay

import "golang.org/x/sys/unix"

// PairEnd describes how a pair ended.
type PairEnd struct {
	Pair    *Pair
	EndedBy Side  // side whose connection ended first
	Abrupt  bool  // whether that side's connection ended with a reset or an error
	Cause   error // error that ended the first side's connection, nil if its peer closed it in an orderly way
	Fault   error // reason why the relay itself ended the pair, nil if a peer ended it
	// Pending is the data that each side's peer had not received at that moment.
	Pending [2]Pending
}

// Pending is the number of bytes that were accepted for one connection and have not reached its peer.
type Pending struct {
	Buffered       int // bytes in the relay's write buffer
	Unacknowledged int // bytes in the kernel's send queue, whether sent or not
}

// pendingLocked returns the data that the connection's peer has not received.
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

// pending returns the data that the peer of each side has not received.
func (p *Pair) pending() (all [2]Pending) {
	for side, c := range p.conns {
		c.mu.Lock()
		all[side] = c.pendingLocked()
		c.mu.Unlock()
	}
	return all
}

// countUnsentLocked adds to UnsentBytes the bytes that a reset at this moment discards.
func (c *Conn) countUnsentLocked() {
	unsent := len(c.writeBuffer) - c.writeOffset
	if n, err := unix.IoctlGetInt(c.fd, unix.SIOCOUTQNSD); err == nil {
		unsent += n
	}
	c.worker.relay.UnsentBytes.Add(int64(unsent))
}
