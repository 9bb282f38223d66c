package node

import (
	"fmt"
	"syscall"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"

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

// fleetSizes are the fleet sizes that docs/CAPACITY.md reports.
var fleetSizes = []int{17, 100, 300, 1000, 2300, 4600}

func newMembers(n int) (all []shardmap.Member) {
	for i := range n {
		all = append(all, shardmap.Member{
			ID:      fmt.Sprintf("%032x", i+1),
			Addr:    fmt.Sprintf("10.%d.%d.%d:7001", i>>16, i>>8&255, i&255),
			Machine: fmt.Sprintf("m%04d", i),
			Zone:    fmt.Sprintf("zone-%02d", i%11),
			Site:    fmt.Sprintf("region-%d", i%11%3),
		})
	}
	return all
}

// newNonVoter returns a member that knows a fleet of n members with a configuration for each shard, and the status of its peers. The member
// neither votes nor has replicas.
func newNonVoter(b *testing.B, n int) (*Node, []placement.MemberStatus) {
	all := newMembers(n)
	node, err := New(Config{
		Self:                 all[0],
		Incarnation:          1,
		VoterCount:           5,
		ReplicationFactor:    3,
		EvictAfter:           10 * time.Second,
		MaxJoiningShards:     4,
		Seed:                 7,
		MaxKeys:              1000,
		MaxBytes:             1 << 20,
		MaxPendingOperations: 100,
	}, PersistentState{}, 0)
	if err != nil {
		b.Fatal(err)
	}
	response := PollResponse{
		FleetID:  "f",
		Version:  2,
		Epoch:    1,
		Members:  all,
		Shards:   map[int]shardmap.Configuration{},
		LeaderID: all[1].ID,
		Addr:     all[1].Addr,
	}
	for num := range shardmap.ShardCount {
		response.Shards[num] = shardmap.Configuration{Number: 1, InSync: shardmap.PickReplicas(num, all[1:], 3)}
	}
	if err := node.Step(Packet{From: all[1].ID, To: all[0].ID, FleetID: "f", PollResponse: &response}); err != nil {
		b.Fatal(err)
	}
	if len(node.State().Members) != n {
		b.Fatal("the poll response was not applied")
	}
	var peers []placement.MemberStatus
	for _, m := range all[1:] {
		peers = append(peers, placement.MemberStatus{Member: m, Alive: true, StateAge: time.Hour})
	}
	return node, peers
}

// BenchmarkAnswerPoll measures the response to a poll, encoded and decoded: after a new epoch, after a change of one shard's configuration, for
// a member that knows nothing, and without any change.
func BenchmarkAnswerPoll(b *testing.B) {
	for _, n := range fleetSizes {
		for _, kind := range []string{"epoch", "shard", "all", "nothing"} {
			b.Run(fmt.Sprintf("kind=%s/members=%d", kind, n), func(b *testing.B) {
				node, _ := newNonVoter(b, n)
				from := newMembers(2)[1].ID
				since := uint64(2)
				switch kind {
				case "epoch":
					clear(node.agreedState.shardVersions)
					since = 1
				case "shard":
					clear(node.agreedState.shardVersions)
					node.agreedState.membersVersion = 0
					node.agreedState.shardVersions[17] = 2
					since = 1
				case "all":
					since = 0
				}
				size := 0
				stopMeasurement := measureCPU(b)
				for range b.N {
					_ = node.Step(Packet{From: from, To: node.cfg.Self.ID, FleetID: "f", PollRequest: &PollRequest{Version: since}})
					encoded, err := cbor.Marshal(node.ready.Packets[0])
					if err != nil {
						b.Fatal(err)
					}
					node.ready.Packets = node.ready.Packets[:0]
					var p Packet
					if err := cbor.Unmarshal(encoded, &p); err != nil {
						b.Fatal(err)
					}
					size = len(encoded)
				}
				stopMeasurement()
				b.ReportMetric(float64(size), "packet-B")
			})
		}
	}
}

// BenchmarkIdleTurn measures one tick of a member that neither votes nor has replicas. A member ticks at least every 50 ms.
func BenchmarkIdleTurn(b *testing.B) {
	for _, n := range fleetSizes {
		b.Run(fmt.Sprintf("members=%d", n), func(b *testing.B) {
			node, peers := newNonVoter(b, n)
			now, packetCount := time.Duration(0), 0
			var newest Packet
			stopMeasurement := measureCPU(b)
			for range b.N {
				now += 50 * time.Millisecond
				node.Tick(now, peers)
				ready, err := node.Ready()
				if err != nil {
					b.Fatal(err)
				}
				for _, p := range ready.Packets {
					packetCount++
					newest = p
				}
			}
			perTick := stopMeasurement()
			b.ReportMetric(perTick/5e7*100, "%core")
			encoded, err := cbor.Marshal(newest)
			if err != nil {
				b.Fatal(err)
			}
			b.ReportMetric(float64(packetCount)/now.Seconds(), "packets/s")
			b.ReportMetric(float64(len(encoded)), "packet-B")
		})
	}
}
