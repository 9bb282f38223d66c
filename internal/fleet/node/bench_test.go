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

// scales are the fleet sizes at which docs/CAPACITY.md takes its points.
var scales = []int{17, 100, 300, 1000, 2300, 4600}

func members(n int) (all []shardmap.Member) {
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

// newNonVoter makes a member that knows of a fleet of n, with a configuration of each shard. It neither votes nor has replicas.
func newNonVoter(b *testing.B, n int) (*Node, []placement.MemberStatus) {
	all := members(n)
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
		b.Fatal("the list was not accepted")
	}
	var peers []placement.MemberStatus
	for _, m := range all[1:] {
		peers = append(peers, placement.MemberStatus{Member: m, Alive: true, StateAge: time.Hour})
	}
	return node, peers
}

// BenchmarkAnswerPoll encodes and decodes the response to a poll: after an epoch, after a change of one shard's configuration, to a member that
// knows nothing, and where nothing has changed.
func BenchmarkAnswerPoll(b *testing.B) {
	for _, n := range scales {
		for _, kind := range []string{"epoch", "shard", "all", "nothing"} {
			b.Run(fmt.Sprintf("kind=%s/members=%d", kind, n), func(b *testing.B) {
				node, _ := newNonVoter(b, n)
				from := members(2)[1].ID
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
				done := measureCPU(b)
				for range b.N {
					_ = node.Step(Packet{From: from, To: node.cfg.Self.ID, FleetID: "f", PollRequest: &PollRequest{Version: since}})
					text, err := cbor.Marshal(node.ready.Packets[0])
					if err != nil {
						b.Fatal(err)
					}
					node.ready.Packets = node.ready.Packets[:0]
					var p Packet
					if err := cbor.Unmarshal(text, &p); err != nil {
						b.Fatal(err)
					}
					size = len(text)
				}
				done()
				b.ReportMetric(float64(size), "packet-B")
			})
		}
	}
}

// BenchmarkIdleTurn is a turn of a member that neither votes nor has replicas. There is one each 50 ms at least.
func BenchmarkIdleTurn(b *testing.B) {
	for _, n := range scales {
		b.Run(fmt.Sprintf("members=%d", n), func(b *testing.B) {
			node, peers := newNonVoter(b, n)
			now, packets := time.Duration(0), 0
			var newest Packet
			done := measureCPU(b)
			for range b.N {
				now += 50 * time.Millisecond
				node.Tick(now, peers)
				r, err := node.Ready()
				if err != nil {
					b.Fatal(err)
				}
				for _, p := range r.Packets {
					packets++
					newest = p
				}
			}
			per := done()
			b.ReportMetric(per/5e7*100, "%core")
			text, err := cbor.Marshal(newest)
			if err != nil {
				b.Fatal(err)
			}
			b.ReportMetric(float64(packets)/now.Seconds(), "packets/s")
			b.ReportMetric(float64(len(text)), "packet-B")
		})
	}
}
