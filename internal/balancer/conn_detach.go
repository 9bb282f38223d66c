package balancer

import "golang.org/x/sys/unix"

// detachResult is how a detach went.
type detachResult uint8

const (
	detachDone    detachResult = iota
	detachWriting              // a line is being written, or no descriptor is free: try again
	detachClosed               // the connection has ended
)

// detach takes the connection away from netpoll and returns a descriptor under which it goes on. The client waits for its answer and
// must be silent until then: what it sends all the same while netpoll lets go is lost.
func (c *conn) detach() (fd int, result detachResult) { return c.detachTo(nil) }

// detachWithInput is detach for a connection that goes on in another process. done is called with the descriptor and with the input
// that makes no complete line.
func (c *conn) detachWithInput(done func(fd int, unparsed []byte)) detachResult {
	_, result := c.detachTo(done)
	return result
}

func (c *conn) detachTo(done func(fd int, unparsed []byte)) (int, detachResult) {
	fd, result := c.duplicate(done)
	if result == detachDone {
		c.close() // onClosed does the rest
	}
	return fd, result
}

// duplicate duplicates the descriptor and marks the connection as detached.
func (c *conn) duplicate(done func(fd int, unparsed []byte)) (int, detachResult) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.closed || c.closingWrite:
		return -1, detachClosed
	case c.writing:
		return -1, detachWriting
	}
	fd, err := unix.FcntlInt(uintptr(c.fd()), unix.F_DUPFD_CLOEXEC, 0)
	if err != nil {
		return -1, detachWriting // out of descriptors
	}
	c.detached = true
	if done != nil {
		c.onDetached = func(unparsed []byte) { done(fd, unparsed) }
	}
	return fd, detachDone
}
