package placement

import (
	"fmt"
	"syscall"
	"testing"
	"time"

	"sabletally/internal/fleet/shardmap"
)

// startCPUMeter starts a benchmark's measured part. The returned function ends it, and reports and returns the processor time of one
// operation in ns, garbage collection included: it depends less on the machine's other load than elapsed time.
func startCPUMeter(b *testing.B) func() float64 {
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

// scales are the fleet sizes of docs/CAPACITY.md.
var scales = []int{17, 100, 300, 1000, 2300, 4600}

// stableFleet is a fleet of n members, all alive, with the configurations that its epoch asks for.
func stableFleet(n int) (*shardmap.State, []MemberStatus) {
	var all []shardmap.Member
	var seen []MemberStatus
	for i := range n {
		m := shardmap.Member{ID: fmt.Sprintf("%032x", i+1), Addr: fmt.Sprintf("10.%d.%d.%d:7001", i>>16, i>>8&255, i&255),
			Machine: fmt.Sprintf("m%04d", i), Zone: fmt.Sprintf("zone-%02d", i%11), Site: fmt.Sprintf("region-%d", i%11%3)}
		all = append(all, m)
		seen = append(seen, MemberStatus{Member: m, Alive: true, StateAge: time.Hour})
	}
	st := shardmap.New()
	st.Apply(shardmap.Entry{BootstrapID: "f", Members: all})
	for num := range shardmap.ShardCount {
		st.Apply(shardmap.Entry{ShardChanges: []shardmap.ShardChange{{Shard: num, InSync: shardmap.PickReplicas(num, st.Members, 3)}}})
	}
	return st, seen
}

func newPlanner() *Planner {
	return New(Config{ReplicationFactor: 3, MinReplicas: 2, EvictAfter: 10 * time.Second, MaxJoiningShards: 4}, 0)
}

// BenchmarkPropose is one look of the log's leader while nothing changes.
func BenchmarkPropose(b *testing.B) {
	for _, n := range scales {
		st, seen := stableFleet(n)
		b.Run(fmt.Sprintf("members=%d", n), func(b *testing.B) {
			t := newPlanner()
			now := time.Duration(0)
			t.Propose(now, st, seen, true) // ranks the epoch's replicas once
			done := startCPUMeter(b)
			for range b.N {
				now += proposalInterval
				if _, is := t.Propose(now, st, seen, true); is {
					b.Fatal("a proposal where nothing has changed")
				}
			}
			per := done()
			b.ReportMetric(per/float64(proposalInterval)*100, "%core")
		})
	}
}

// BenchmarkProposeAfterEpoch is the first look after a new epoch, at which every shard's replicas are ranked again.
func BenchmarkProposeAfterEpoch(b *testing.B) {
	for _, n := range scales {
		st, seen := stableFleet(n)
		b.Run(fmt.Sprintf("members=%d", n), func(b *testing.B) {
			t := newPlanner()
			now := time.Duration(0)
			done := startCPUMeter(b)
			for range b.N {
				now += proposalInterval
				st.Epoch++
				t.Propose(now, st, seen, true)
			}
			done()
		})
	}
}
