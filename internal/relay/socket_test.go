package relay

import (
	"testing"

	"golang.org/x/sys/unix"
)

// sendsAtOnce reports whether TCP_NODELAY is set on a connection's socket.
func sendsAtOnce(t *testing.T, c *Conn) bool {
	t.Helper()
	value, err := unix.GetsockoptInt(c.fd, unix.IPPROTO_TCP, unix.TCP_NODELAY)
	if err != nil {
		t.Fatal(err)
	}
	return value != 0
}

// Guards against incident 0fd2d2: without TCP_NODELAY, sockets that were accepted or received from another process delayed small lines.
func TestSocketsOfAPairSendAtOnce(t *testing.T) {
	b := newTestbed(t, 1)
	p, _, _ := b.pair()
	for _, c := range p.conns {
		if !sendsAtOnce(t, c) {
			t.Errorf("the socket of the joined %v has no TCP_NODELAY", c.side)
		}
	}
	done := make(chan PairState, 1)
	p.Detach(func(state PairState, _ bool) { done <- state })
	state := receive(t, done)
	for _, fd := range []int{state.Client.FD, state.Server.FD} { // earlier releases hand over sockets without TCP_NODELAY
		if err := unix.SetsockoptInt(fd, unix.IPPROTO_TCP, unix.TCP_NODELAY, 0); err != nil {
			t.Fatal(err)
		}
	}
	p, err := b.Attach(state, 1, nil)
	if err != nil {
		t.Fatal(err)
	}
	for _, c := range p.conns {
		if !sendsAtOnce(t, c) {
			t.Errorf("the socket of the attached %v has no TCP_NODELAY", c.side)
		}
	}
}

// Guards against the failure of incident 0fd2d2, delayed lines, by another cause: a receive buffer of fixed size overflowed, and the
// kernel dropped acknowledgements along with small lines.
func TestSocketsOfAPairHaveNoReceiveBufferOfFixedSize(t *testing.T) {
	b := newTestbed(t, 1)
	p, _, _ := b.pair()
	done := make(chan PairState, 1)
	p.Detach(func(state PairState, _ bool) { done <- state })
	state := receive(t, done)
	// SO_RCVBUF fixes the buffer's size, as may have happened before the relay receives a socket.
	if err := unix.SetsockoptInt(state.Client.FD, unix.SOL_SOCKET, unix.SO_RCVBUF, 32<<10); err != nil {
		t.Fatal(err)
	}
	p, err := b.Attach(state, 1, nil)
	if err != nil {
		t.Fatal(err)
	}
	locks, err := unix.GetsockoptInt(p.conns[Client].fd, unix.SOL_SOCKET, unix.SO_BUF_LOCK)
	if err != nil || locks != 0 {
		t.Fatalf("SO_BUF_LOCK is %d (%v), want 0", locks, err)
	}
}
