package placement

import (
	"fmt"
	"syscall"
	"testing"
	"time"

	"sabletally/internal/fleet/shardmap"
)

// startCPUMeter starts the measured part of a benchmark. The returned function ends it, and reports and returns the CPU time of one operation
// in ns, including garbage collection. CPU time depends less on other load of the machine than elapsed time does.
func startCPUMeter(b *testing.B) func() float64 {
	cpuTime := func() time.Duration {
		var usage syscall.Rusage
		if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
			b.Fatal(err)
		}
		return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
	}
	b.ReportAllocs()
	start := cpuTime()
	b.ResetTimer()
	return func() float64 {
		b.StopTimer()
		perOperation := float64(cpuTime()-start) / float64(b.N)
		b.ReportMetric(perOperation, "cpu-ns/op")
		return perOperation
	}
}

// scales are the fleet sizes of docs/CAPACITY.md.
var scales = []int{17, 100, 300, 1000, 2300, 4600}

// stableFleet returns a fleet of n members, all of which are alive, and whose shards have the replicas that they should have.
func stableFleet(n int) (*shardmap.State, []MemberStatus) {
	var members []shardmap.Member
	var statuses []MemberStatus
	for i := range n {
		m := shardmap.Member{ID: fmt.Sprintf("%032x", i+1), Addr: fmt.Sprintf("10.%d.%d.%d:7001", i>>16, i>>8&255, i&255),
			Machine: fmt.Sprintf("m%04d", i), Zone: fmt.Sprintf("zone-%02d", i%11), Site: fmt.Sprintf("region-%d", i%11%3)}
		members = append(members, m)
		statuses = append(statuses, MemberStatus{Member: m, Alive: true, StateAge: time.Hour})
	}
	state := shardmap.New()
	state.Apply(shardmap.Entry{BootstrapID: "f", Members: members})
	for shard := range shardmap.ShardCount {
		state.Apply(shardmap.Entry{ShardChanges: []shardmap.ShardChange{{Shard: shard, InSync: shardmap.PickReplicas(shard, state.Members, 3)}}})
	}
	return state, statuses
}

func newPlanner() *Planner {
	return New(Config{ReplicationFactor: 3, MinReplicas: 2, EvictAfter: 10 * time.Second, MaxJoiningShards: 4}, 0)
}

// BenchmarkPropose measures one call of Propose while nothing changes.
func BenchmarkPropose(b *testing.B) {
	for _, n := range scales {
		state, statuses := stableFleet(n)
		b.Run(fmt.Sprintf("members=%d", n), func(b *testing.B) {
			planner := newPlanner()
			now := time.Duration(0)
			planner.Propose(now, state, statuses, true) // computes the targets of the epoch
			done := startCPUMeter(b)
			for range b.N {
				now += proposalInterval
				if _, ok := planner.Propose(now, state, statuses, true); ok {
					b.Fatal("a proposal although nothing has changed")
				}
			}
			cpuTime := done()
			b.ReportMetric(cpuTime/float64(proposalInterval)*100, "%core")
		})
	}
}

// BenchmarkProposeAfterEpoch measures the first call of Propose after a change of the epoch, which computes the targets of all shards.
func BenchmarkProposeAfterEpoch(b *testing.B) {
	for _, n := range scales {
		state, statuses := stableFleet(n)
		b.Run(fmt.Sprintf("members=%d", n), func(b *testing.B) {
			planner := newPlanner()
			now := time.Duration(0)
			done := startCPUMeter(b)
			for range b.N {
				now += proposalInterval
				state.Epoch++
				planner.Propose(now, state, statuses, true)
			}
			done()
		})
	}
}
