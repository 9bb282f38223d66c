package shardmap

import (
	"fmt"
	"syscall"
	"testing"
	"time"
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

// listed are n members on machines of their own, in eleven zones of three sites.
func listed(n int) (all []Member) {
	for i := range n {
		all = append(all, Member{ID: fmt.Sprintf("%032x", i+1), Addr: fmt.Sprintf("10.%d.%d.%d:7001", i>>16, i>>8&255, i&255),
			Machine: fmt.Sprintf("m%04d", i), Zone: fmt.Sprintf("zone-%02d", i%11), Site: fmt.Sprintf("region-%d", i%11%3)})
	}
	return all
}

// populated is a state with n members and a view of each slot.
func populated(b *testing.B, n int) *State {
	st := New()
	st.Apply(Entry{BootstrapID: "f", Members: listed(n)})
	for num := range ShardCount {
		if got := st.Apply(Entry{ShardChanges: []ShardChange{{Shard: num, InSync: PickReplicas(num, st.Members, 3)}}}); len(got.Shards) != 1 {
			b.Fatalf("slot %d has no view", num)
		}
	}
	return st
}

// BenchmarkPick ranks one slot's holders.
func BenchmarkPick(b *testing.B) {
	for _, n := range scales {
		b.Run(fmt.Sprintf("members=%d", n), func(b *testing.B) {
			all := listed(n)
			done := metered(b)
			for i := range b.N {
				if len(PickReplicas(i%ShardCount, all, 3)) != 3 {
					b.Fatal("too few are picked")
				}
			}
			done()
		})
	}
}

// BenchmarkEpoch is one change of the list of members, worded, read and applied, as each voter does.
func BenchmarkEpoch(b *testing.B) {
	for _, n := range scales {
		st := populated(b, n)
		b.Run(fmt.Sprintf("members=%d", n), func(b *testing.B) {
			size := 0
			done := metered(b)
			for range b.N {
				text := Entry{BaseEpoch: st.Epoch, Members: st.Members}.Encode()
				e, err := DecodeEntry(text)
				if err != nil {
					b.Fatal(err)
				}
				if !st.Apply(e).EpochChanged {
					b.Fatal("refused")
				}
				size = len(text)
			}
			done()
			b.ReportMetric(float64(size), "packet-B")
		})
	}
}

// BenchmarkSnapshot words all that is agreed, and reads it.
func BenchmarkSnapshot(b *testing.B) {
	for _, n := range scales {
		st := populated(b, n)
		b.Run(fmt.Sprintf("members=%d", n), func(b *testing.B) {
			size := 0
			done := metered(b)
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
