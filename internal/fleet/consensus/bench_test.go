package consensus

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

// voters are so many logs in memory; the first leads. Nothing of it touches a disk.
type voters struct {
	b     testing.TB
	all   map[uint64]*Node
	order []uint64
	now   time.Duration

	msgs, bytes, written int
}

func member(i int) shardmap.Member {
	return shardmap.Member{ID: fmt.Sprintf("%016x%016x", i+1, i+1), Addr: fmt.Sprintf("10.%d.%d.%d:7001", i>>16, i>>8&255, i&255),
		Machine: fmt.Sprintf("m%04d", i), Zone: fmt.Sprintf("zone-%02d", i%11), Site: fmt.Sprintf("region-%d", i%11%3)}
}

func voting(b testing.TB, many int) *voters {
	v := &voters{b: b, all: map[uint64]*Node{}}
	for i := range many {
		n, err := New(member(i).ID, PersistentState{}, uint64(i), 0)
		if err != nil {
			b.Fatal(err)
		}
		v.all[NodeID(member(i).ID)] = n
		v.order = append(v.order, NodeID(member(i).ID))
	}
	if err := v.leader().Bootstrap("f"); err != nil {
		b.Fatal(err)
	}
	v.settle()
	if many > 1 {
		if err := v.leader().ChangeVoters(v.order[1:], 0); err != nil {
			b.Fatal(err)
		}
	}
	for range 50 {
		v.pass()
	}
	for _, n := range v.all {
		if len(n.Voters()) != many || n.State().FleetID != "f" {
			b.Fatalf("%d of %d vote", len(n.Voters()), many)
		}
	}
	return v
}

func (v *voters) leader() *Node { return v.all[v.order[0]] }

// settle has all messages come, in order, until there is none.
func (v *voters) settle() {
	for again := true; again; {
		again = false
		for _, id := range v.order {
			r, err := v.all[id].Ready()
			if err != nil {
				v.b.Fatal(err)
			}
			for _, e := range r.Write.Entries {
				v.written += len(e)
			}
			v.written += len(r.Write.HardState) + len(r.Write.Snapshot)
			for _, m := range r.Messages {
				v.msgs++
				v.bytes += len(m.Data)
				again = true
				if err := v.all[m.To].Step(m.Data); err != nil {
					v.b.Fatal(err)
				}
			}
		}
	}
}

// pass is a tick of all.
func (v *voters) pass() {
	v.now += tickEach
	for _, id := range v.order {
		v.all[id].Tick(v.now)
	}
	v.settle()
}

// propose has an entry agreed, and checks that it took hold at all.
func (v *voters) propose(e shardmap.Entry) {
	before := v.leader().State().Version
	if err := v.leader().Propose(e); err != nil {
		v.b.Fatal(err)
	}
	v.settle()
	for range 3 { // followers hear with the next heartbeat that it is agreed
		if v.agreed(before + 1) {
			return
		}
		v.pass()
	}
	if !v.agreed(before + 1) {
		v.b.Fatal("not agreed everywhere")
	}
}

func (v *voters) agreed(version uint64) bool {
	for _, n := range v.all {
		if n.State().Version != version {
			return false
		}
	}
	return true
}

func (v *voters) count(b *testing.B) {
	b.ReportMetric(float64(v.msgs)/float64(b.N), "msgs/op")
	b.ReportMetric(float64(v.bytes)/float64(b.N), "wire-B/op")
	b.ReportMetric(float64(v.written)/float64(b.N), "disk-B/op")
}

// BenchmarkPropose is a change of one slot's view until all voters have it, all of them together; with the log's cuts, one in 512.
func BenchmarkPropose(b *testing.B) {
	for _, many := range []int{1, 3, 5, 7} {
		b.Run(fmt.Sprintf("voters=%d", many), func(b *testing.B) {
			v := voting(b, many)
			full := []string{member(0).ID, member(1).ID, member(2).ID}
			v.msgs, v.bytes, v.written = 0, 0, 0
			done := metered(b)
			for i := range b.N {
				num := i % shardmap.ShardCount
				v.propose(shardmap.Entry{ShardChanges: []shardmap.ShardChange{{Shard: num, BaseNumber: v.leader().State().Configurations[num].Number, InSync: full}}})
			}
			done()
			v.count(b)
		})
	}
}

// BenchmarkProposeEpoch is a change of the list of members until five voters have it, by the list's length.
func BenchmarkProposeEpoch(b *testing.B) {
	for _, n := range []int{17, 100, 300, 1000, 2300, 4600} {
		b.Run(fmt.Sprintf("voters=5/members=%d", n), func(b *testing.B) {
			v := voting(b, 5)
			var all []shardmap.Member
			for i := range n {
				all = append(all, member(i))
			}
			v.propose(shardmap.Entry{BaseEpoch: v.leader().State().Epoch, Members: all})
			v.msgs, v.bytes, v.written = 0, 0, 0
			done := metered(b)
			for range b.N {
				v.propose(shardmap.Entry{BaseEpoch: v.leader().State().Epoch, Members: all})
			}
			done()
			v.count(b)
		})
	}
}

// BenchmarkIdle is a second in which nothing is proposed, all voters together.
func BenchmarkIdle(b *testing.B) {
	for _, many := range []int{1, 3, 5, 7} {
		b.Run(fmt.Sprintf("voters=%d", many), func(b *testing.B) {
			v := voting(b, many)
			v.msgs, v.bytes, v.written = 0, 0, 0
			done := metered(b)
			for range b.N {
				for range time.Second / tickEach {
					v.pass()
				}
			}
			done()
			v.count(b)
		})
	}
}
