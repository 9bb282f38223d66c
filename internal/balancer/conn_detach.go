package balancer

import "golang.org/x/sys/unix"

// This file detaches clients' connections from netpoll, for the relay or for another process.

// detachResult is the result of a detach.
type detachResult uint8

const (
	detachDone   detachResult = iota // the connection is detached
	detachRetry                      // a line is being written or no descriptor is free: the detach has to be tried again
	detachClosed                     // the connection has ended
)

// detach detaches the connection from netpoll and returns a descriptor under which it continues. The client waits for its answer and
// must not send anything until then: input that arrives while netpoll closes its descriptor is lost.
func (c *conn) detach() (fd int, result detachResult) { return c.detachTo(nil) }

// detachWithInput detaches a connection that continues in another process. done is called with the descriptor and with the input that
// is not a complete line.
func (c *conn) detachWithInput(done func(fd int, unparsed []byte)) detachResult {
	_, result := c.detachTo(done)
	return result
}

func (c *conn) detachTo(done func(fd int, unparsed []byte)) (int, detachResult) {
	fd, result := c.duplicate(done)
	if result == detachDone {
		c.close() // onClosed calls done
	}
	return fd, result
}

// duplicate duplicates the connection's descriptor and marks the connection as detached.
func (c *conn) duplicate(done func(fd int, unparsed []byte)) (int, detachResult) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.closed || c.closingWrite:
		return -1, detachClosed
	case c.writing:
		return -1, detachRetry
	}
	fd, err := unix.FcntlInt(uintptr(c.fd()), unix.F_DUPFD_CLOEXEC, 0)
	if err != nil {
		return -1, detachRetry // no descriptor is free
	}
	c.detached = true
	if done != nil {
		c.onDetached = func(unparsed []byte) { done(fd, unparsed) }
	}
	return fd, detachDone
}
