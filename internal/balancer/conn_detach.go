package balancer

import "bytes"

// This file passes clients' connections to another owner: the relay, or another process.

// detachResult is the result of a detach.
type detachResult uint8

const (
	detachDone   detachResult = iota // the connection is detached
	detachRetry                      // a line is being written: the detach has to be tried again
	detachClosed                     // the connection has ended
)

// detach passes the connection's descriptor to the caller, with the input that was read and is not a complete line. All complete lines
// have been posted before detach returns, and everything that the client sends after the returned input is read from the descriptor:
// reading and detaching exclude each other.
func (c *conn) detach() (fd int, unparsed []byte, result detachResult) {
	c.inputMu.Lock()
	defer c.inputMu.Unlock()
	if result = c.release(); result != detachDone {
		return -1, nil, result
	}
	c.descriptors.Add(-1)
	c.idleConns.remove(c)
	return c.fd, bytes.Clone(c.splitter.Buffered()), detachDone
}

// release ends the connection's ownership of its descriptor, without closing it.
func (c *conn) release() detachResult {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.closed || c.closingWrite || c.evicted:
		return detachClosed
	case c.writing:
		return detachRetry
	}
	c.stopUsingLocked()
	return detachDone
}

// stopUsingLocked marks the descriptor as not used any more and ends its registration. The caller holds c.mu.
func (c *conn) stopUsingLocked() {
	c.closed = true
	if c.registration != nil {
		c.registration.Remove()
	}
}
