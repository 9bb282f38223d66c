package replication

import (
	"fmt"
	"runtime"
	"slices"
	"syscall"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"

	"sabletally/internal/fleet/shardmap"
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

// benchCluster is a set of nodes whose messages are delivered at once. With countsTraffic, it counts the messages and their encoded size.
type benchCluster struct {
	nodes     map[string]*Node
	ids       []string
	committed int // number of operations that were committed

	countsTraffic       bool
	messages, wireBytes int
}

// newBenchCluster returns a cluster of count nodes whose shards need minReplicas in-sync replicas.
func newBenchCluster(count, minReplicas, maxKeys int) *benchCluster {
	c := &benchCluster{nodes: map[string]*Node{}}
	for i := range count {
		id := fmt.Sprintf("%032x", i+1)
		c.ids = append(c.ids, id)
		c.nodes[id] = New(Config{ID: id, Incarnation: 1, MinReplicas: minReplicas, MaxKeys: maxKeys, MaxBytes: 1 << 30, MaxPendingOperations: 1000,
			Retention: []RetentionRule{{"old/", 10 * time.Minute}}}, 0)
	}
	return c
}

// configure sets the same configuration for every shard at all nodes.
func (c *benchCluster) configure(v shardmap.Configuration) {
	for _, id := range c.ids {
		for shard := range shardmap.ShardCount {
			c.nodes[id].SetConfiguration(shard, v)
		}
	}
	c.deliver()
}

// deliver delivers messages until no node sends any more.
func (c *benchCluster) deliver() {
	for again := true; again; {
		again = false
		for _, id := range c.ids {
			r := c.nodes[id].Ready()
			for _, m := range r.Messages {
				if c.countsTraffic {
					encoded, _ := cbor.Marshal(m)
					c.messages, c.wireBytes = c.messages+1, c.wireBytes+len(encoded)
				}
				c.nodes[m.To].Step(m)
				again = true
			}
			for _, one := range r.Results {
				if one.Outcome == OutcomeCommitted {
					c.committed++
				}
			}
		}
	}
}

// fill writes records of 256 bytes with the keys that the function key returns.
func (c *benchCluster) fill(b *testing.B, records int, key func(n int) string) {
	for n := range records {
		c.nodes[c.ids[0]].Submit(Operation{ID: fmt.Sprint("o", n), Key: key(n), Value: make([]byte, 256)}, time.Second)
		if n%256 == 255 {
			c.deliver()
		}
	}
	c.deliver()
	if keys, _ := c.nodes[c.ids[len(c.ids)-1]].Usage(); keys != records {
		b.Fatalf("%d of %d records are stored", keys, records)
	}
	c.committed = 0
}

func spreadKey(n int) string { return fmt.Sprintf("k/%016x", n) }

// BenchmarkWrite measures the overwriting of a record of 256 bytes, from its submission at a member that is not a replica until the result
// arrives there. It includes the work of all nodes, but no disks.
func BenchmarkWrite(b *testing.B) {
	for _, size := range [][2]int{{1, 1000}, {1, 10000}, {1, 50000}, {2, 10000}, {3, 1000}, {3, 10000}, {3, 50000}, {5, 10000}} {
		b.Run(fmt.Sprintf("replicas=%d/records=%d", size[0], size[1]), func(b *testing.B) {
			c := newBenchCluster(size[0]+1, min(2, size[0]), 100000) // the last node is the client
			var before, after runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			c.configure(shardmap.Configuration{Number: 1, InSync: c.ids[:size[0]]})
			client := c.ids[len(c.ids)-1]
			for n := range size[1] {
				c.nodes[c.ids[0]].Submit(Operation{ID: fmt.Sprint("o", n), Key: spreadKey(n), Value: make([]byte, 256)}, time.Second)
				if n%256 == 255 {
					c.deliver()
				}
			}
			c.deliver()
			if keys, _ := c.nodes[c.ids[0]].Usage(); keys != size[1] {
				b.Fatalf("%d of %d records are stored", keys, size[1])
			}
			runtime.GC()
			runtime.ReadMemStats(&after)
			write := func(i int) {
				key := spreadKey(i % size[1])
				c.nodes[client].Submit(Operation{ID: fmt.Sprint("w", i), Key: key, ExpectedVersion: c.nodes[c.ids[0]].Record(key).Version, Value: make([]byte, 256)}, time.Second)
				c.deliver()
			}
			c.committed, c.countsTraffic = 0, true
			write(1 << 30) // counts the traffic of one write, outside the measured time
			c.countsTraffic = false
			done := startCPUMeter(b)
			for i := range b.N {
				write(i)
			}
			done()
			if c.committed != b.N+1 {
				b.Fatalf("%d of %d writes were committed", c.committed, b.N+1)
			}
			b.ReportMetric(float64(c.messages), "msgs/op")
			b.ReportMetric(float64(c.wireBytes), "wire-B/op")
			if size[0] == 1 { // only a single replica is measured: more replicas share each value's bytes in this process
				b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(size[1]), "stored-B/record")
			}
		})
	}
}

// BenchmarkRepair measures how a joining replica copies a shard with records of 256 bytes until it has caught up, and its removal.
func BenchmarkRepair(b *testing.B) {
	const shard = 7
	for _, records := range []int{10, 100, 1000, 10000} {
		b.Run(fmt.Sprintf("records=%d", records), func(b *testing.B) {
			var keys []string
			for n := 0; len(keys) < records; n++ {
				if key := spreadKey(n); shardmap.ShardOf(key) == shard {
					keys = append(keys, key)
				}
			}
			c := newBenchCluster(3, 2, 100000)
			inSync := c.ids[:2]
			c.configure(shardmap.Configuration{Number: 1, InSync: inSync})
			for n, key := range keys {
				c.nodes[c.ids[0]].Submit(Operation{ID: fmt.Sprint("o", n), Key: key, Value: make([]byte, 256)}, time.Second)
				if n%64 == 63 {
					c.deliver()
				}
			}
			c.deliver()
			joining := c.nodes[c.ids[2]]
			repair := func(number uint64) {
				for _, id := range c.ids {
					c.nodes[id].SetConfiguration(shard, shardmap.Configuration{Number: number, InSync: inSync, Joining: c.ids[2:]})
				}
				c.deliver()
				if got, _ := joining.Usage(); got != records {
					b.Fatalf("%d of %d records were copied", got, records)
				}
				for _, id := range c.ids { // remove the replica again
					c.nodes[id].SetConfiguration(shard, shardmap.Configuration{Number: number + 1, InSync: inSync})
				}
				c.deliver()
				if got, _ := joining.Usage(); got != 0 {
					b.Fatalf("the removed replica still stores %d records", got)
				}
			}
			c.countsTraffic = true
			repair(2)
			c.countsTraffic = false
			done := startCPUMeter(b)
			for i := range b.N {
				repair(uint64(4 + 2*i))
			}
			done()
			b.ReportMetric(float64(c.wireBytes), "wire-B/op")
		})
	}
}

// BenchmarkIdleSecond measures one second without operations of a primary of all shards and its two followers: heartbeats and the primary's
// search for expired records.
func BenchmarkIdleSecond(b *testing.B) {
	for _, records := range []int{0, 1000, 10000, 50000} {
		b.Run(fmt.Sprintf("records=%d", records), func(b *testing.B) {
			c := newBenchCluster(3, 2, 100000)
			c.configure(shardmap.Configuration{Number: 1, InSync: slices.Clone(c.ids)})
			c.fill(b, records, func(n int) string { return fmt.Sprintf("old/%016x", n) })
			n := c.nodes[c.ids[0]]
			now := time.Duration(0)
			done := startCPUMeter(b)
			for range b.N {
				for range 20 {
					now += 50 * time.Millisecond
					n.Tick(now)
					n.SetWallClock(1)
					c.deliver()
				}
			}
			per := done()
			if keys, _ := n.Usage(); keys != records {
				b.Fatalf("%d of %d records are left", keys, records)
			}
			b.ReportMetric(per/1e9*100, "%core")
		})
	}
}
