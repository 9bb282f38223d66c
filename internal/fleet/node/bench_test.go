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

// scales are the fleet sizes at which docs/CAPACITY.md takes its points.
var scales = []int{17, 100, 300, 1000, 2300, 4600}

func listed(n int) (all []shardmap.Member) {
	for i := range n {
		all = append(all, shardmap.Member{ID: fmt.Sprintf("%032x", i+1), Addr: fmt.Sprintf("10.%d.%d.%d:7001", i>>16, i>>8&255, i&255),
			Machine: fmt.Sprintf("m%04d", i), Zone: fmt.Sprintf("zone-%02d", i%11), Site: fmt.Sprintf("region-%d", i%11%3)})
	}
	return all
}

// follower is a member that has been told of a fleet of n, with a view of each slot; it neither votes nor holds anything.
func follower(b *testing.B, n int) (*Node, []placement.MemberStatus) {
	all := listed(n)
	c, err := New(Config{Self: all[0], Incarnation: 1, VoterCount: 5, ReplicationFactor: 3, EvictAfter: 10 * time.Second, MaxJoiningShards: 4, Seed: 7, MaxKeys: 1000, MaxBytes: 1 << 20, MaxPendingOperations: 100}, PersistentState{}, 0)
	if err != nil {
		b.Fatal(err)
	}
	told := PollResponse{FleetID: "f", Version: 2, Epoch: 1, Members: all, Shards: map[int]shardmap.Configuration{}, LeaderID: all[1].ID, Addr: all[1].Addr}
	for num := range shardmap.ShardCount {
		told.Shards[num] = shardmap.Configuration{Number: 1, InSync: shardmap.PickReplicas(num, all[1:], 3)}
	}
	if err := c.Step(Packet{From: all[1].ID, To: all[0].ID, FleetID: "f", PollResponse: &told}); err != nil {
		b.Fatal(err)
	}
	if len(c.State().Members) != n {
		b.Fatal("the list was not taken over")
	}
	var seen []placement.MemberStatus
	for _, m := range all[1:] {
		seen = append(seen, placement.MemberStatus{Member: m, Alive: true, StateAge: time.Hour})
	}
	return c, seen
}

// BenchmarkTold words what a poll is answered with and reads it again: after an epoch, after a change of one slot's view, to a
// member that knows nothing, and where nothing has changed.
func BenchmarkTold(b *testing.B) {
	for _, n := range scales {
		for _, kind := range []string{"epoch", "slot", "all", "nothing"} {
			b.Run(fmt.Sprintf("kind=%s/members=%d", kind, n), func(b *testing.B) {
				c, _ := follower(b, n)
				from := listed(2)[1].ID
				since := uint64(2)
				switch kind {
				case "epoch":
					clear(c.agreed.shardVersions)
					since = 1
				case "slot":
					clear(c.agreed.shardVersions)
					c.agreed.membersVersion = 0
					c.agreed.shardVersions[17] = 2
					since = 1
				case "all":
					since = 0
				}
				size := 0
				done := metered(b)
				for range b.N {
					_ = c.Step(Packet{From: from, To: c.cfg.Self.ID, FleetID: "f", PollRequest: &PollRequest{Version: since}})
					text, err := cbor.Marshal(c.ready.Packets[0])
					if err != nil {
						b.Fatal(err)
					}
					c.ready.Packets = c.ready.Packets[:0]
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

// BenchmarkClock is a turn of a member that neither votes nor holds anything, as it comes at least each 50 ms.
func BenchmarkClock(b *testing.B) {
	for _, n := range scales {
		b.Run(fmt.Sprintf("members=%d", n), func(b *testing.B) {
			c, seen := follower(b, n)
			now, packets := time.Duration(0), 0
			var newest Packet
			done := metered(b)
			for range b.N {
				now += 50 * time.Millisecond
				c.Tick(now, seen)
				r, err := c.Ready()
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
