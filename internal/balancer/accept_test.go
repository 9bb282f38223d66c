package balancer

import (
	"sync/atomic"
	"testing"
	"time"
)

// slowCloseConn is a connection whose close takes long.
type slowCloseConn struct {
	unpolledConn
	closed atomic.Bool
}

func (c *slowCloseConn) Close() error {
	time.Sleep(100 * time.Millisecond)
	err := c.unpolledConn.Close()
	c.closed.Store(true)
	return err
}

// TestANewConnectionIsEvictedAtOnce has descriptors run short while a connection is accepted that is the only one to evict. netpoll registers
// it as soon as evictIdle returns, and panics on a connection that is closed by another goroutine meanwhile: it must be closed by then.
func TestANewConnectionIsEvictedAtOnce(t *testing.T) {
	_, l := newFullLoop(t)
	_, far := tcpPipe(t)
	netConn := &slowCloseConn{unpolledConn: unpolledConn{fd: detachDescriptor(t, far)}}
	l.descriptors.Store(l.descriptorLimit - 1) // of sessions
	l.evictIdle(l.addClient(netConn))
	if !netConn.closed.Load() {
		t.Error("the connection is still being closed")
	}
	if n := l.Evicted.Load(); n != 1 {
		t.Errorf("%d connections are evicted", n)
	}
	if n := l.descriptors.Load(); n != l.descriptorLimit-1 {
		t.Errorf("%d descriptors are counted, not %d", n, l.descriptorLimit-1)
	}
}
