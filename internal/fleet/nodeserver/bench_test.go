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

// measureCPU starts a measurement. The returned function ends it, and reports and returns the CPU time of one operation in nanoseconds,
// garbage collection included. On a shared machine CPU time varies less than wall-clock time.
func measureCPU(b *testing.B) func() float64 {
	cpuTime := func() time.Duration {
		var u syscall.Rusage
		if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
			b.Fatal(err)
		}
		return time.Duration(u.Utime.Nano() + u.Stime.Nano())
	}
	b.ReportAllocs()
	startTime := cpuTime()
	b.ResetTimer()
	return func() float64 {
		b.StopTimer()
		perOperation := float64(cpuTime()-startTime) / float64(b.N)
		b.ReportMetric(perOperation, "cpu-ns/op")
		return perOperation
	}
}

// BenchmarkIdleTurn measures what an iteration of the server's loop does for each member even if nothing is sent: the conversion of peerStatus,
// and the map of addresses. There is an iteration every 50 ms and after each packet.
func BenchmarkIdleTurn(b *testing.B) {
	for _, n := range []int{17, 100, 300, 1000, 2300, 4600} {
		b.Run(fmt.Sprintf("members=%d", n), func(b *testing.B) {
			var gossipPeers []membership.Peer
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
				gossipPeers = append(gossipPeers, membership.Peer{Member: m})
				all = append(all, ShardMember(m))
			}
			memberNode, err := node.New(node.Config{Self: all[0], Incarnation: 1, ReplicationFactor: 3}, node.PersistentState{}, 0)
			if err != nil {
				b.Fatal(err)
			}
			if err := memberNode.Step(node.Packet{FleetID: "f", PollResponse: &node.PollResponse{FleetID: "f", Version: 2, Epoch: 1, Members: all}}); err != nil {
				b.Fatal(err)
			}
			s := &Server{node: memberNode, links: newLinkTable("", "", nil, nil)}
			stopMeasurement := measureCPU(b)
			for range b.N {
				var peers []placement.MemberStatus
				for _, peer := range gossipPeers[1:] {
					peers = append(peers, placement.MemberStatus{Member: ShardMember(peer.Member), Alive: true, StateAge: time.Hour})
				}
				s.send(nil, peers)
			}
			perIteration := stopMeasurement()
			b.ReportMetric(perIteration/float64(tickInterval)*100, "%core")
		})
	}
}
