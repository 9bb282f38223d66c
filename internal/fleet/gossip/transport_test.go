package gossip

import (
	"net"
	"net/netip"
	"testing"
	"time"

	"sabletally/internal/fleet/framing"
)

// TestNumberOfStreamsIsBounded has as many streams open at once as there may be members: each is accepted, and the next one is closed
// and counted.
func TestNumberOfStreamsIsBounded(t *testing.T) {
	const members, within = 1024, 20 * time.Second
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
	until := time.After(within)
	for n := range members {
		open()
		select {
		case s := <-transport.StreamCh():
			t.Cleanup(func() { _ = s.Close() })
		case <-until:
			t.Fatalf("%d of %d streams were accepted within %v", n, members, within)
		}
	}
	if n := transport.StreamsRejected.Load(); n != 0 {
		t.Errorf("%d were rejected", n)
	}
	c := open()
	_ = c.SetReadDeadline(time.Now().Add(within))
	if _, err := c.Read(make([]byte, 1)); err == nil {
		t.Error("one more was not closed")
	}
	if n := transport.StreamsRejected.Load(); n != 1 {
		t.Errorf("%d are counted as rejected, not 1", n)
	}
}
