package consensus

import (
	"fmt"
	"syscall"
	"testing"
	"time"

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

// cluster is voters in memory, without a disk; the first one is the leader.
type cluster struct {
	b     testing.TB
	nodes map[uint64]*Node
	order []uint64
	now   time.Duration

	messages, bytes, written int
}

func member(i int) shardmap.Member {
	return shardmap.Member{
		ID:      fmt.Sprintf("%016x%016x", i+1, i+1),
		Addr:    fmt.Sprintf("10.%d.%d.%d:7001", i>>16, i>>8&255, i&255),
		Machine: fmt.Sprintf("m%04d", i),
		Zone:    fmt.Sprintf("zone-%02d", i%11),
		Site:    fmt.Sprintf("region-%d", i%11%3),
	}
}

func newCluster(b testing.TB, many int) *cluster {
	v := &cluster{b: b, nodes: map[uint64]*Node{}}
	for i := range many {
		n, err := New(member(i).ID, PersistentState{}, uint64(i), 0)
		if err != nil {
			b.Fatal(err)
		}
		v.nodes[NodeID(member(i).ID)] = n
		v.order = append(v.order, NodeID(member(i).ID))
	}
	if err := v.leader().Bootstrap("f"); err != nil {
		b.Fatal(err)
	}
	v.deliverAll()
	if many > 1 {
		if err := v.leader().ChangeVoters(v.order[1:], 0); err != nil {
			b.Fatal(err)
		}
	}
	for range 50 {
		v.tick()
	}
	for _, n := range v.nodes {
		if len(n.Voters()) != many || n.State().FleetID != "f" {
			b.Fatalf("%d of %d vote", len(n.Voters()), many)
		}
	}
	return v
}

func (v *cluster) leader() *Node { return v.nodes[v.order[0]] }

// deliverAll delivers all messages in order until there is none.
func (v *cluster) deliverAll() {
	for again := true; again; {
		again = false
		for _, id := range v.order {
			r, err := v.nodes[id].Ready()
			if err != nil {
				v.b.Fatal(err)
			}
			for _, e := range r.Write.Entries {
				v.written += len(e)
			}
			v.written += len(r.Write.HardState) + len(r.Write.Snapshot)
			for _, m := range r.Messages {
				v.messages++
				v.bytes += len(m.Data)
				again = true
				if err := v.nodes[m.To].Step(m.Data); err != nil {
					v.b.Fatal(err)
				}
			}
		}
	}
}

// tick is one tick of all voters.
func (v *cluster) tick() {
	v.now += tickInterval
	for _, id := range v.order {
		v.nodes[id].Tick(v.now)
	}
	v.deliverAll()
}

// propose has an entry committed, and checks that all voters applied it.
func (v *cluster) propose(e shardmap.Entry) {
	before := v.leader().State().Version
	if err := v.leader().Propose(e); err != nil {
		v.b.Fatal(err)
	}
	v.deliverAll()
	for range 3 { // followers learn with the next heartbeat that it is committed
		if v.allAt(before + 1) {
			return
		}
		v.tick()
	}
	if !v.allAt(before + 1) {
		v.b.Fatal("not committed everywhere")
	}
}

func (v *cluster) allAt(version uint64) bool {
	for _, n := range v.nodes {
		if n.State().Version != version {
			return false
		}
	}
	return true
}

func (v *cluster) reportTraffic(b *testing.B) {
	b.ReportMetric(float64(v.messages)/float64(b.N), "msgs/op")
	b.ReportMetric(float64(v.bytes)/float64(b.N), "wire-B/op")
	b.ReportMetric(float64(v.written)/float64(b.N), "disk-B/op")
}

// BenchmarkPropose is a change of one shard's configuration until all voters have it, the CPU time of all together, with the log's compactions.
func BenchmarkPropose(b *testing.B) {
	for _, many := range []int{1, 3, 5, 7} {
		b.Run(fmt.Sprintf("voters=%d", many), func(b *testing.B) {
			v := newCluster(b, many)
			full := []string{member(0).ID, member(1).ID, member(2).ID}
			v.messages, v.bytes, v.written = 0, 0, 0
			done := measureCPU(b)
			for i := range b.N {
				num := i % shardmap.ShardCount
				v.propose(shardmap.Entry{ShardChanges: []shardmap.ShardChange{{Shard: num, BaseNumber: v.leader().State().Configurations[num].Number, InSync: full}}})
			}
			done()
			v.reportTraffic(b)
		})
	}
}

// BenchmarkProposeEpoch is a change of the list of members until five voters have it, by the list's length.
func BenchmarkProposeEpoch(b *testing.B) {
	for _, n := range []int{17, 100, 300, 1000, 2300, 4600} {
		b.Run(fmt.Sprintf("voters=5/members=%d", n), func(b *testing.B) {
			v := newCluster(b, 5)
			var all []shardmap.Member
			for i := range n {
				all = append(all, member(i))
			}
			v.propose(shardmap.Entry{BaseEpoch: v.leader().State().Epoch, Members: all})
			v.messages, v.bytes, v.written = 0, 0, 0
			done := measureCPU(b)
			for range b.N {
				v.propose(shardmap.Entry{BaseEpoch: v.leader().State().Epoch, Members: all})
			}
			done()
			v.reportTraffic(b)
		})
	}
}

// BenchmarkIdle is a second in which nothing is proposed, all voters together.
func BenchmarkIdle(b *testing.B) {
	for _, many := range []int{1, 3, 5, 7} {
		b.Run(fmt.Sprintf("voters=%d", many), func(b *testing.B) {
			v := newCluster(b, many)
			v.messages, v.bytes, v.written = 0, 0, 0
			done := measureCPU(b)
			for range b.N {
				for range time.Second / tickInterval {
					v.tick()
				}
			}
			done()
			v.reportTraffic(b)
		})
	}
}
