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

// TestAnEvictedClientIsNotServed guards against a request that is sent after its client's BUSY: the client is evicted, and its line, which
// was read at the same time, reaches the loop before the end of its connection.
func TestAnEvictedClientIsNotServed(t *testing.T) {
	lc := newLeavingClient(t, "end", "")
	lc.l.idleConns.add(lc.conn, lc.l.idleConns.silent)
	if evicted, _ := lc.l.idleConns.evict(nil); evicted != lc.conn {
		t.Fatal("the silent client is not evicted")
	}
	lc.admit()
	lc.expectNoMoreAttempts(0, 0)
}
