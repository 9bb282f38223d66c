package consensus

import (
	"fmt"
	"syscall"
	"testing"
	"time"

	"sabletally/internal/fleet/shardmap"
)

// measureCPU starts a benchmark's measured part. The returned function ends it, and reports and returns the CPU time of one operation in
// nanoseconds, including garbage collection. On a shared machine CPU time is more stable than elapsed time.
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

// cluster is a Raft group in memory, without disks. The first node is the leader.
type cluster struct {
	b     testing.TB
	nodes map[uint64]*Node
	order []uint64
	now   time.Duration

	messages, wireBytes, diskBytes int // sent and written so far by all nodes
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

func newCluster(b testing.TB, voters int) *cluster {
	v := &cluster{b: b, nodes: map[uint64]*Node{}}
	for i := range voters {
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
	if voters > 1 {
		if err := v.leader().ChangeVoters(v.order[1:], 0); err != nil {
			b.Fatal(err)
		}
	}
	for range 50 {
		v.advanceTick()
	}
	for _, n := range v.nodes {
		if len(n.Voters()) != voters || n.State().FleetID != "f" {
			b.Fatalf("a node knows %d of %d voters, or not the fleet ID", len(n.Voters()), voters)
		}
	}
	return v
}

func (v *cluster) leader() *Node { return v.nodes[v.order[0]] }

// deliverAll delivers messages in order until no node sends any more.
func (v *cluster) deliverAll() {
	for again := true; again; {
		again = false
		for _, id := range v.order {
			r, err := v.nodes[id].Ready()
			if err != nil {
				v.b.Fatal(err)
			}
			for _, e := range r.Write.Entries {
				v.diskBytes += len(e)
			}
			v.diskBytes += len(r.Write.HardState) + len(r.Write.Snapshot)
			for _, m := range r.Messages {
				v.messages++
				v.wireBytes += len(m.Data)
				again = true
				if err := v.nodes[m.To].Step(m.Data); err != nil {
					v.b.Fatal(err)
				}
			}
		}
	}
}

// advanceTick advances the time by one tick at every node and delivers the messages.
func (v *cluster) advanceTick() {
	v.now += tickInterval
	for _, id := range v.order {
		v.nodes[id].Tick(v.now)
	}
	v.deliverAll()
}

// propose proposes an entry and checks that every voter applies it.
func (v *cluster) propose(e shardmap.Entry) {
	before := v.leader().State().Version
	if err := v.leader().Propose(e); err != nil {
		v.b.Fatal(err)
	}
	v.deliverAll()
	for range 3 { // followers learn the commit index with the next heartbeat
		if v.allAt(before + 1) {
			return
		}
		v.advanceTick()
	}
	if !v.allAt(before + 1) {
		v.b.Fatal("the entry is not applied at every voter")
	}
}

// allAt reports whether every node's state has this version.
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
	b.ReportMetric(float64(v.wireBytes)/float64(b.N), "wire-B/op")
	b.ReportMetric(float64(v.diskBytes)/float64(b.N), "disk-B/op")
}

// BenchmarkPropose measures the CPU time of all voters together from the proposal of a shard's new configuration until all of them have
// applied it, including the log's compactions.
func BenchmarkPropose(b *testing.B) {
	for _, many := range []int{1, 3, 5, 7} {
		b.Run(fmt.Sprintf("voters=%d", many), func(b *testing.B) {
			v := newCluster(b, many)
			inSync := []string{member(0).ID, member(1).ID, member(2).ID}
			v.messages, v.wireBytes, v.diskBytes = 0, 0, 0
			done := measureCPU(b)
			for i := range b.N {
				shard := i % shardmap.ShardCount
				v.propose(shardmap.Entry{ShardChanges: []shardmap.ShardChange{{Shard: shard, BaseNumber: v.leader().State().Configurations[shard].Number, InSync: inSync}}})
			}
			done()
			v.reportTraffic(b)
		})
	}
}

// BenchmarkProposeEpoch measures a change of the member list until five voters have applied it, for lists of different lengths.
func BenchmarkProposeEpoch(b *testing.B) {
	for _, n := range []int{17, 100, 300, 1000, 2300, 4600} {
		b.Run(fmt.Sprintf("voters=5/members=%d", n), func(b *testing.B) {
			v := newCluster(b, 5)
			var all []shardmap.Member
			for i := range n {
				all = append(all, member(i))
			}
			v.propose(shardmap.Entry{BaseEpoch: v.leader().State().Epoch, Members: all})
			v.messages, v.wireBytes, v.diskBytes = 0, 0, 0
			done := measureCPU(b)
			for range b.N {
				v.propose(shardmap.Entry{BaseEpoch: v.leader().State().Epoch, Members: all})
			}
			done()
			v.reportTraffic(b)
		})
	}
}

// BenchmarkIdle measures one second of all voters together in which nothing is proposed.
func BenchmarkIdle(b *testing.B) {
	for _, many := range []int{1, 3, 5, 7} {
		b.Run(fmt.Sprintf("voters=%d", many), func(b *testing.B) {
			v := newCluster(b, many)
			v.messages, v.wireBytes, v.diskBytes = 0, 0, 0
			done := measureCPU(b)
			for range b.N {
				for range time.Second / tickInterval {
					v.advanceTick()
				}
			}
			done()
			v.reportTraffic(b)
		})
	}
}
