package nodeserver

import (
	"fmt"
	"net/netip"
	"syscall"
	"testing"
	"time"

	"sabletally/internal/fleet/membership"
	"sabletally/internal/fleet/node"
	"sabletally/internal/fleet/placement"
	"sabletally/internal/fleet/shardmap"
)

// metered begins what is measured; the answer ends it, and tells the processor's time of one operation in ns, garbage collection within:
// on a machine that others use as well the clock on the wall tells less.
func metered(b *testing.B) func() float64 {
	processor := func() time.Duration {
		var u syscall.Rusage
		if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
			b.Fatal(err)
		}
		return time.Duration(u.Utime.Nano() + u.Stime.Nano())
	}
	b.ReportAllocs()
	from := processor()
	b.ResetTimer()
	return func() float64 {
		b.StopTimer()
		each := float64(processor()-from) / float64(b.N)
		b.ReportMetric(each, "cpu-ns/op")
		return each
	}
}

// BenchmarkOut is what each turn does of the members though nothing is to go out: their agreed form (as seen makes it of what the
// contact knows), and the map of their addresses. A turn comes each 50 ms, and with each packet.
func BenchmarkOut(b *testing.B) {
	for _, n := range []int{17, 100, 300, 1000, 2300, 4600} {
		b.Run(fmt.Sprintf("members=%d", n), func(b *testing.B) {
			var known []membership.Peer
			var all []shardmap.Member
			for i := range n {
				m := membership.Member{ID: fmt.Sprintf("%032x", i+1), Name: fmt.Sprintf("b%04d", i), Machine: fmt.Sprintf("m%04d", i),
					Addr: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)}), 7001), Zone: fmt.Sprintf("zone-%02d", i%11),
					Site: fmt.Sprintf("region-%d", i%11%3)}
				known = append(known, membership.Peer{Member: m})
				all = append(all, ShardMember(m))
			}
			c, err := node.New(node.Config{Self: all[0], Incarnation: 1, ReplicationFactor: 3}, node.PersistentState{}, 0)
			if err != nil {
				b.Fatal(err)
			}
			if err := c.Step(node.Packet{FleetID: "f", PollResponse: &node.PollResponse{FleetID: "f", Version: 2, Epoch: 1, Members: all}}); err != nil {
				b.Fatal(err)
			}
			h := &Server{core: c}
			done := metered(b)
			for range b.N {
				var at []placement.MemberStatus
				for _, k := range known[1:] {
					at = append(at, placement.MemberStatus{Member: ShardMember(k.Member), Alive: true, StateAge: time.Hour})
				}
				h.out(node.Ready{}, at)
			}
			per := done()
			b.ReportMetric(per/float64(beat)*100, "%core")
		})
	}
}
