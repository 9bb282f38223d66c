package placement

import (
	"fmt"
	"syscall"
	"testing"
	"time"

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

// calm is a fleet of n in which all are here, with the views that its list asks for.
func calm(n int) (*shardmap.State, []MemberStatus) {
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

func steerer() *Planner {
	return New(Config{ReplicationFactor: 3, MinReplicas: 2, EvictAfter: 10 * time.Second, MaxJoiningShards: 4}, 0)
}

// BenchmarkDecide is what the log's leader does ten times a second while nothing changes.
func BenchmarkDecide(b *testing.B) {
	for _, n := range scales {
		st, seen := calm(n)
		b.Run(fmt.Sprintf("members=%d", n), func(b *testing.B) {
			t := steerer()
			now := time.Duration(0)
			t.Propose(now, st, seen, true) // the epoch's ranking, which is kept
			done := metered(b)
			for range b.N {
				now += each
				if _, is := t.Propose(now, st, seen, true); is {
					b.Fatal("a change where nothing has")
				}
			}
			per := done()
			b.ReportMetric(per/float64(each)*100, "%core")
		})
	}
}

// BenchmarkDecideEpoch is the same at the first look after each epoch: every slot is ranked anew.
func BenchmarkDecideEpoch(b *testing.B) {
	for _, n := range scales {
		st, seen := calm(n)
		b.Run(fmt.Sprintf("members=%d", n), func(b *testing.B) {
			t := steerer()
			now := time.Duration(0)
			done := metered(b)
			for range b.N {
				now += each
				st.Epoch++
				t.Propose(now, st, seen, true)
			}
			done()
		})
	}
}
