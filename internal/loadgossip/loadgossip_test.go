package loadgossip

import (
	"math"
	"net/netip"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"sabletally/policy"
)

// TestMessagesAreDecoded guards against messages that change on the way, for any number of loads, and against malformed datagrams that are
// accepted. Loads may lose precision.
func TestMessagesAreDecoded(t *testing.T) {
	for _, loads := range [][]float64{nil, {0, 0}, {1, 0, 3}, {18410.5, 92000, 1}, slices.Repeat([]float64{7e4}, 3*maxLoads-1)} {
		message := policy.GossipMessage{VersionHash: 0xdeadbeef, Offset: 240, Loads: loads, Overloaded: make([]bool, len(loads))}
		if len(loads) > 1 {
			message.Overloaded[1] = true
		}
		got := policy.GossipMessage{VersionHash: message.VersionHash, Offset: 240}
		for _, datagram := range Encode(message) {
			part, err := Decode(datagram)
			if err != nil || len(datagram) > MaxDatagramSize || part.VersionHash != message.VersionHash || part.Offset != 240+len(got.Loads) {
				t.Fatalf("datagram of %d bytes is decoded to %+v, error %v", len(datagram), part, err)
			}
			got.Loads, got.Overloaded = append(got.Loads, part.Loads...), append(got.Overloaded, part.Overloaded...)
		}
		if !slices.Equal(got.Overloaded, message.Overloaded) {
			t.Fatalf("overloaded endpoints differ: %+v", got)
		}
		for n, load := range loads {
			if math.Abs(got.Loads[n]-load) > slices.Max(loads)/250 {
				t.Errorf("load %v is decoded as %v", load, got.Loads[n])
			}
		}
	}
	unitIsNaN := Encode(policy.GossipMessage{})[0]
	copy(unitIsNaN[6:], []byte{0, 0, 0xc0, 0x7f})
	for _, malformed := range [][]byte{nil, make([]byte, headerSize-1), make([]byte, MaxDatagramSize+1), unitIsNaN} {
		if _, err := Decode(malformed); err == nil {
			t.Errorf("malformed datagram of %d bytes is decoded without an error", len(malformed))
		}
	}
}

// TestOnlyPeersAreReceived guards against messages of unknown senders that reach the handler, and against two balancers at one address. Two
// processes of one balancer may share an address, and the newest one must receive.
func TestOnlyPeersAreReceived(t *testing.T) {
	received := make(chan int, 8)
	handle := func(from int, _ policy.GossipMessage, done func()) { done(); received <- from }
	anyAddress := netip.MustParseAddrPort("127.0.0.1:0")
	var transports []*Transport
	counters := make([]Counters, 3)
	for n := range 3 {
		counters[n] = Counters{new(atomic.Int64), new(atomic.Int64), new(atomic.Int64)}
		transport, err := Listen(anyAddress, false, nil, &counters[n], handle)
		if err != nil {
			t.Fatal(err)
		}
		defer transport.Close()
		transports = append(transports, transport)
	}
	a, b, unknown := transports[0], transports[1], transports[2]
	a.SetPeers([]netip.AddrPort{anyAddress, b.Addr()}) // there is no listener at the first address
	b.SetPeers([]netip.AddrPort{a.Addr()})
	unknown.SetPeers([]netip.AddrPort{a.Addr()})
	unknown.Broadcast(policy.GossipMessage{})
	for end := time.Now().Add(10 * time.Second); counters[0].Dropped.Load() == 0; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("message of an unknown sender was not counted as dropped within 10 s")
		}
	}
	b.Broadcast(policy.GossipMessage{})
	if from := <-received; from != 1 || counters[0].Received.Load() != 1 {
		t.Fatalf("message received from peer %d, %d messages received in all", from, counters[0].Received.Load())
	}
	if _, err := Listen(a.Addr(), false, nil, &counters[0], handle); err == nil {
		t.Fatal("two transports listen at one address that is not shared")
	}
	predecessor, err := Listen(anyAddress, true, nil, &counters[2], handle) // two processes of one balancer may share an address, and the newest one receives
	if err != nil {
		t.Fatal(err)
	}
	defer predecessor.Close()
	successor, err := Listen(predecessor.Addr(), true, []netip.AddrPort{b.Addr()}, &counters[0], handle)
	if err != nil {
		t.Fatal(err)
	}
	defer successor.Close()
	b.SetPeers([]netip.AddrPort{predecessor.Addr()})
	b.Broadcast(policy.GossipMessage{})
	if from := <-received; from != 0 || counters[0].Received.Load() != 2 {
		t.Fatalf("message received from peer %d, %d messages received in all", from, counters[0].Received.Load())
	}
}
