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
				t.Fatalf("%d bytes, %+v, %v", len(datagram), part, err)
			}
			got.Loads, got.Overloaded = append(got.Loads, part.Loads...), append(got.Overloaded, part.Overloaded...)
		}
		if !slices.Equal(got.Overloaded, message.Overloaded) {
			t.Fatalf("%+v", got)
		}
		for n, load := range loads {
			if math.Abs(got.Loads[n]-load) > slices.Max(loads)/250 {
				t.Errorf("%v is read as %v", load, got.Loads[n])
			}
		}
	}
	nan := Encode(policy.GossipMessage{})[0]
	copy(nan[6:], []byte{0, 0, 0xc0, 0x7f})
	for _, bad := range [][]byte{nil, make([]byte, headerSize-1), make([]byte, MaxDatagramSize+1), nan} {
		if _, err := Decode(bad); err == nil {
			t.Errorf("%d malformed bytes are decoded", len(bad))
		}
	}
}

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
	a, b, stranger := transports[0], transports[1], transports[2]
	a.SetPeers([]netip.AddrPort{anyAddress, b.Addr()}) // nobody listens at the first
	b.SetPeers([]netip.AddrPort{a.Addr()})
	stranger.SetPeers([]netip.AddrPort{a.Addr()})
	stranger.Broadcast(policy.GossipMessage{})
	for end := time.Now().Add(10 * time.Second); counters[0].Dropped.Load() == 0; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("the message of an unknown sender is not counted")
		}
	}
	b.Broadcast(policy.GossipMessage{})
	if from := <-received; from != 1 || counters[0].Received.Load() != 1 {
		t.Fatalf("received from %d, %d messages", from, counters[0].Received.Load())
	}
	if _, err := Listen(a.Addr(), false, nil, &counters[0], handle); err == nil {
		t.Fatal("two listen at one address")
	}
	old, err := Listen(anyAddress, true, nil, &counters[2], handle) // two processes of one balancer may, and the newest receives
	if err != nil {
		t.Fatal(err)
	}
	defer old.Close()
	young, err := Listen(old.Addr(), true, []netip.AddrPort{b.Addr()}, &counters[0], handle)
	if err != nil {
		t.Fatal(err)
	}
	defer young.Close()
	b.SetPeers([]netip.AddrPort{old.Addr()})
	b.Broadcast(policy.GossipMessage{})
	if from := <-received; from != 0 || counters[0].Received.Load() != 2 {
		t.Fatalf("received from %d, %d messages", from, counters[0].Received.Load())
	}
}
