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

func TestWhatIsToldIsRead(t *testing.T) {
	for _, loads := range [][]float64{nil, {0, 0}, {1, 0, 3}, {18410.5, 92000, 1}, slices.Repeat([]float64{7e4}, 3*most-1)} {
		told := policy.GossipMessage{VersionHash: 0xdeadbeef, Offset: 240, Loads: loads, Overloaded: make([]bool, len(loads))}
		if len(loads) > 1 {
			told.Overloaded[1] = true
		}
		got := policy.GossipMessage{VersionHash: told.VersionHash, Offset: 240}
		for _, text := range Encode(told) {
			part, err := Decode(text)
			if err != nil || len(text) > MaxDatagramSize || part.VersionHash != told.VersionHash || part.Offset != 240+len(got.Loads) {
				t.Fatalf("%d bytes, %+v, %v", len(text), part, err)
			}
			got.Loads, got.Overloaded = append(got.Loads, part.Loads...), append(got.Overloaded, part.Overloaded...)
		}
		if !slices.Equal(got.Overloaded, told.Overloaded) {
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
	for _, bad := range [][]byte{nil, make([]byte, head-1), make([]byte, MaxDatagramSize+1), nan} {
		if _, err := Decode(bad); err == nil {
			t.Errorf("%d bytes are read", len(bad))
		}
	}
}

func TestOnlyTheOthersAreHeard(t *testing.T) {
	heard := make(chan int, 8)
	told := func(from int, _ policy.GossipMessage, done func()) { done(); heard <- from }
	any := netip.MustParseAddrPort("127.0.0.1:0")
	var links []*Transport
	counts := make([]Counters, 3)
	for n := range 3 {
		counts[n] = Counters{new(atomic.Int64), new(atomic.Int64), new(atomic.Int64)}
		l, err := Listen(any, false, nil, &counts[n], told)
		if err != nil {
			t.Fatal(err)
		}
		defer l.Close()
		links = append(links, l)
	}
	a, b, stranger := links[0], links[1], links[2]
	a.SetPeers([]netip.AddrPort{any, b.Addr()}) // nobody listens at the first
	b.SetPeers([]netip.AddrPort{a.Addr()})
	stranger.SetPeers([]netip.AddrPort{a.Addr()})
	stranger.Broadcast(policy.GossipMessage{})
	for end := time.Now().Add(10 * time.Second); counts[0].Dropped.Load() == 0; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("the stranger's message is not seen")
		}
	}
	b.Broadcast(policy.GossipMessage{})
	if from := <-heard; from != 1 || counts[0].Received.Load() != 1 {
		t.Fatalf("heard from %d, %d messages", from, counts[0].Received.Load())
	}
	if _, err := Listen(a.Addr(), false, nil, &counts[0], told); err == nil {
		t.Fatal("two listen at one address")
	}
	old, err := Listen(any, true, nil, &counts[2], told) // two processes of one balancer may, and the newest hears
	if err != nil {
		t.Fatal(err)
	}
	defer old.Close()
	young, err := Listen(old.Addr(), true, []netip.AddrPort{b.Addr()}, &counts[0], told)
	if err != nil {
		t.Fatal(err)
	}
	defer young.Close()
	b.SetPeers([]netip.AddrPort{old.Addr()})
	b.Broadcast(policy.GossipMessage{})
	if from := <-heard; from != 0 || counts[0].Received.Load() != 2 {
		t.Fatalf("heard from %d, %d messages", from, counts[0].Received.Load())
	}
}
