package balancer

import (
	"sync/atomic"
	"testing"
	"time"
)

// slowCloseConn is a connection whose close takes 100 ms.
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

// TestANewConnectionIsEvictedAtOnce guards against a panic of netpoll when the connection to evict is the one that is being accepted.
// netpoll registers that connection as soon as evictIdle returns, and panics if another goroutine closes it meanwhile, so evictIdle must
// close it before it returns.
func TestANewConnectionIsEvictedAtOnce(t *testing.T) {
	_, l := newFullLoop(t)
	_, far := tcpPipe(t)
	netConn := &slowCloseConn{unpolledConn: unpolledConn{fd: detachDescriptor(t, far)}}
	l.descriptors.Store(l.descriptorLimit - 1) // held by sessions
	l.evictIdle(l.addClient(netConn))
	if !netConn.closed.Load() {
		t.Error("the connection is not closed yet")
	}
	if n := l.Evicted.Load(); n != 1 {
		t.Errorf("%d connections were evicted, want 1", n)
	}
	if n := l.descriptors.Load(); n != l.descriptorLimit-1 {
		t.Errorf("%d descriptors are counted, want %d", n, l.descriptorLimit-1)
	}
}
