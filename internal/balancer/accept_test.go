package balancer

import "testing"

// TestANewConnectionIsEvictedAtOnce guards against a connection that is evicted while it is being accepted, and whose descriptor is then
// read although it is closed. evictIdle must close it before it returns, and it must not be registered with a poller.
func TestANewConnectionIsEvictedAtOnce(t *testing.T) {
	_, l := newFullLoop(t)
	_, far := tcpPipe(t)
	l.descriptors.Store(l.descriptorLimit - 1) // held by sessions
	c := l.addClient(detachDescriptor(t, far))
	l.evictIdle(c)
	if !c.closed {
		t.Error("the connection is not closed yet")
	}
	c.startReading(l.nextPoller())
	if c.registration != nil {
		t.Error("the closed descriptor is registered")
	}
	if n := l.Evicted.Load(); n != 1 {
		t.Errorf("%d connections were evicted, want 1", n)
	}
	if n := l.descriptors.Load(); n != l.descriptorLimit-1 {
		t.Errorf("%d descriptors are counted, want %d", n, l.descriptorLimit-1)
	}
}
