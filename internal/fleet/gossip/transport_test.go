package gossip

import (
	"net"
	"net/netip"
	"testing"
	"time"

	"sabletally/internal/fleet/framing"
)

// TestNumberOfStreamsIsBounded guards against too low a limit of streams and against none. It opens as many streams at once as a fleet may
// have members: each must be accepted, and one more must be closed and counted.
func TestNumberOfStreamsIsBounded(t *testing.T) {
	const members, timeout = 1024, 20 * time.Second
	address := netip.MustParseAddrPort("127.0.0.1:0")
	transport, err := Listen(address, address, 0)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = transport.Shutdown() }()
	to := transport.tcp.Addr().String()
	open := func() net.Conn {
		c, err := net.Dial("tcp", to)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = c.Close() })
		if _, err := c.Write([]byte{PeerStreamMark - 1}); err != nil || PeerStreamMark-1 == framing.StreamMark {
			t.Fatal(err)
		}
		return c
	}
	expired := time.After(timeout)
	for n := range members {
		open()
		select {
		case s := <-transport.StreamCh():
			t.Cleanup(func() { _ = s.Close() })
		case <-expired:
			t.Fatalf("%d of %d streams were accepted within %v", n, members, timeout)
		}
	}
	if n := transport.StreamsRejected.Load(); n != 0 {
		t.Errorf("%d streams below the limit were rejected", n)
	}
	c := open()
	_ = c.SetReadDeadline(time.Now().Add(timeout))
	if _, err := c.Read(make([]byte, 1)); err == nil {
		t.Error("a stream beyond the limit was not closed")
	}
	if n := transport.StreamsRejected.Load(); n != 1 {
		t.Errorf("%d streams are counted as rejected, want 1", n)
	}
}
