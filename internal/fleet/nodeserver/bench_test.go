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

// measureCPU starts a measurement. The function that it returns ends it, and reports and returns the CPU time of one operation in ns, garbage
// collection included: on a shared machine the wall clock says less.
func measureCPU(b *testing.B) func() float64 {
	cpuTime := func() time.Duration {
		var u syscall.Rusage
		if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
			b.Fatal(err)
		}
		return time.Duration(u.Utime.Nano() + u.Stime.Nano())
	}
	b.ReportAllocs()
	from := cpuTime()
	b.ResetTimer()
	return func() float64 {
		b.StopTimer()
		each := float64(cpuTime()-from) / float64(b.N)
		b.ReportMetric(each, "cpu-ns/op")
		return each
	}
}

// BenchmarkIdleTurn is what each turn does with the members though nothing is sent: their agreed form, as peerStatus makes it, and the map of
// their addresses. There is a turn each 50 ms, and with each packet.
func BenchmarkIdleTurn(b *testing.B) {
	for _, n := range []int{17, 100, 300, 1000, 2300, 4600} {
		b.Run(fmt.Sprintf("members=%d", n), func(b *testing.B) {
			var known []membership.Peer
			var all []shardmap.Member
			for i := range n {
				m := membership.Member{
					ID:      fmt.Sprintf("%032x", i+1),
					Name:    fmt.Sprintf("b%04d", i),
					Machine: fmt.Sprintf("m%04d", i),
					Addr:    netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)}), 7001),
					Zone:    fmt.Sprintf("zone-%02d", i%11),
					Site:    fmt.Sprintf("region-%d", i%11%3),
				}
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
			s := &Server{node: c, links: newLinkTable("", "", nil, nil)}
			done := measureCPU(b)
			for range b.N {
				var at []placement.MemberStatus
				for _, k := range known[1:] {
					at = append(at, placement.MemberStatus{Member: ShardMember(k.Member), Alive: true, StateAge: time.Hour})
				}
				s.send(nil, at)
			}
			per := done()
			b.ReportMetric(per/float64(tickInterval)*100, "%core")
		})
	}
}
