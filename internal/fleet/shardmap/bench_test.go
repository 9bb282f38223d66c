package shardmap

import (
	"fmt"
	"syscall"
	"testing"
	"time"
)

// startCPUMeter starts a benchmark's measured part. The returned function ends it, and reports and returns the CPU time of one operation in
// nanoseconds, including garbage collection. On a shared machine CPU time is more stable than elapsed time.
func startCPUMeter(b *testing.B) func() float64 {
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

// scales are the fleet sizes of docs/CAPACITY.md.
var scales = []int{17, 100, 300, 1000, 2300, 4600}

// makeMembers returns n members, each on its own machine, in eleven zones of three sites.
func makeMembers(n int) (all []Member) {
	for i := range n {
		all = append(all, Member{ID: fmt.Sprintf("%032x", i+1), Addr: fmt.Sprintf("10.%d.%d.%d:7001", i>>16, i>>8&255, i&255),
			Machine: fmt.Sprintf("m%04d", i), Zone: fmt.Sprintf("zone-%02d", i%11), Site: fmt.Sprintf("region-%d", i%11%3)})
	}
	return all
}

// populatedState returns a state with n members and a configuration for each shard.
func populatedState(b *testing.B, n int) *State {
	st := New()
	st.Apply(Entry{BootstrapID: "f", Members: makeMembers(n)})
	for num := range ShardCount {
		if got := st.Apply(Entry{ShardChanges: []ShardChange{{Shard: num, InSync: PickReplicas(num, st.Members, 3)}}}); len(got.Shards) != 1 {
			b.Fatalf("the configuration of shard %d was not applied", num)
		}
	}
	return st
}

// BenchmarkPickReplicas measures the choice of one shard's replicas.
func BenchmarkPickReplicas(b *testing.B) {
	for _, n := range scales {
		b.Run(fmt.Sprintf("members=%d", n), func(b *testing.B) {
			all := makeMembers(n)
			done := startCPUMeter(b)
			for i := range b.N {
				if len(PickReplicas(i%ShardCount, all, 3)) != 3 {
					b.Fatal("too few replicas are picked")
				}
			}
			done()
		})
	}
}

// BenchmarkEpoch measures a change of the member list: encoding, decoding and applying it, as every voter does.
func BenchmarkEpoch(b *testing.B) {
	for _, n := range scales {
		st := populatedState(b, n)
		b.Run(fmt.Sprintf("members=%d", n), func(b *testing.B) {
			size := 0
			done := startCPUMeter(b)
			for range b.N {
				text := Entry{BaseEpoch: st.Epoch, Members: st.Members}.Encode()
				e, err := DecodeEntry(text)
				if err != nil {
					b.Fatal(err)
				}
				if !st.Apply(e).EpochChanged {
					b.Fatal("the new member list was not applied")
				}
				size = len(text)
			}
			done()
			b.ReportMetric(float64(size), "packet-B")
		})
	}
}

// BenchmarkSnapshot measures encoding and decoding the whole state.
func BenchmarkSnapshot(b *testing.B) {
	for _, n := range scales {
		st := populatedState(b, n)
		b.Run(fmt.Sprintf("members=%d", n), func(b *testing.B) {
			size := 0
			done := startCPUMeter(b)
			for range b.N {
				text := st.Snapshot()
				if _, err := Restore(text); err != nil {
					b.Fatal(err)
				}
				size = len(text)
			}
			done()
			b.ReportMetric(float64(size), "packet-B")
		})
	}
}
