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

// benchCluster is a number of nodes whose messages are delivered at once and, if asked for, counted as they would be encoded.
type benchCluster struct {
	nodes     map[string]*Node
	ids       []string
	committed int

	countsTraffic   bool
	messages, bytes int
}

// newBenchCluster makes a number of nodes, of which minReplicas have to have a write.
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

// configure gives all nodes the same configuration for every shard.
func (c *benchCluster) configure(v shardmap.Configuration) {
	for _, id := range c.ids {
		for num := range shardmap.ShardCount {
			c.nodes[id].SetConfiguration(num, v)
		}
	}
	c.deliver()
}

func (c *benchCluster) deliver() {
	for again := true; again; {
		again = false
		for _, id := range c.ids {
			r := c.nodes[id].Ready()
			for _, m := range r.Messages {
				if c.countsTraffic {
					text, _ := cbor.Marshal(m)
					c.messages, c.bytes = c.messages+1, c.bytes+len(text)
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

// fill writes a number of records of 256 bytes, with the keys that key gives.
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

// BenchmarkWrite overwrites a record of 256 bytes, submitted at a member that is no replica, until the result is back: the work of all
// nodes together, without disks.
func BenchmarkWrite(b *testing.B) {
	for _, size := range [][2]int{{1, 1000}, {1, 10000}, {1, 50000}, {2, 10000}, {3, 1000}, {3, 10000}, {3, 50000}, {5, 10000}} {
		b.Run(fmt.Sprintf("replicas=%d/records=%d", size[0], size[1]), func(b *testing.B) {
			h := newBenchCluster(size[0]+1, min(2, size[0]), 100000) // the last one is the client
			var before, after runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			h.configure(shardmap.Configuration{Number: 1, InSync: h.ids[:size[0]]})
			client := h.ids[len(h.ids)-1]
			for n := range size[1] {
				h.nodes[h.ids[0]].Submit(Operation{ID: fmt.Sprint("o", n), Key: spreadKey(n), Value: make([]byte, 256)}, time.Second)
				if n%256 == 255 {
					h.deliver()
				}
			}
			h.deliver()
			if keys, _ := h.nodes[h.ids[0]].Usage(); keys != size[1] {
				b.Fatalf("%d of %d records are stored", keys, size[1])
			}
			runtime.GC()
			runtime.ReadMemStats(&after)
			write := func(i int) {
				key := spreadKey(i % size[1])
				h.nodes[client].Submit(Operation{ID: fmt.Sprint("w", i), Key: key, ExpectedVersion: h.nodes[h.ids[0]].Record(key).Version, Value: make([]byte, 256)}, time.Second)
				h.deliver()
			}
			h.committed, h.countsTraffic = 0, true
			write(1 << 30) // its traffic, encoded outside the measured time
			h.countsTraffic = false
			done := startCPUMeter(b)
			for i := range b.N {
				write(i)
			}
			done()
			if h.committed != b.N+1 {
				b.Fatalf("%d of %d are committed", h.committed, b.N+1)
			}
			b.ReportMetric(float64(h.messages), "msgs/op")
			b.ReportMetric(float64(h.bytes), "wire-B/op")
			if size[0] == 1 { // several nodes of one process share each value's bytes
				b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(size[1]), "stored-B/record")
			}
		})
	}
}

// BenchmarkRepair lets one more replica join a shard of records of 256 bytes until it has caught up.
func BenchmarkRepair(b *testing.B) {
	const num = 7
	for _, records := range []int{10, 100, 1000, 10000} {
		b.Run(fmt.Sprintf("records=%d", records), func(b *testing.B) {
			var keys []string
			for n := 0; len(keys) < records; n++ {
				if key := spreadKey(n); shardmap.ShardOf(key) == num {
					keys = append(keys, key)
				}
			}
			h := newBenchCluster(3, 2, 100000)
			full := h.ids[:2]
			h.configure(shardmap.Configuration{Number: 1, InSync: full})
			for n, key := range keys {
				h.nodes[h.ids[0]].Submit(Operation{ID: fmt.Sprint("o", n), Key: key, Value: make([]byte, 256)}, time.Second)
				if n%64 == 63 {
					h.deliver()
				}
			}
			h.deliver()
			joining := h.nodes[h.ids[2]]
			repair := func(number uint64) {
				for _, id := range h.ids {
					h.nodes[id].SetConfiguration(num, shardmap.Configuration{Number: number, InSync: full, Joining: h.ids[2:]})
				}
				h.deliver()
				if got, _ := joining.Usage(); got != records {
					b.Fatalf("%d of %d records were copied", got, records)
				}
				for _, id := range h.ids { // the replica is removed again
					h.nodes[id].SetConfiguration(num, shardmap.Configuration{Number: number + 1, InSync: full})
				}
				h.deliver()
				if got, _ := joining.Usage(); got != 0 {
					b.Fatalf("%d records were left", got)
				}
			}
			h.countsTraffic = true
			repair(2)
			h.countsTraffic = false
			done := startCPUMeter(b)
			for i := range b.N {
				repair(uint64(4 + 2*i))
			}
			done()
			b.ReportMetric(float64(h.bytes), "wire-B/op")
		})
	}
}

// BenchmarkIdleSecond is one second of a primary of all shards and its two followers without operations: heartbeats, and the
// primary's search for expired records.
func BenchmarkIdleSecond(b *testing.B) {
	for _, records := range []int{0, 1000, 10000, 50000} {
		b.Run(fmt.Sprintf("records=%d", records), func(b *testing.B) {
			h := newBenchCluster(3, 2, 100000)
			h.configure(shardmap.Configuration{Number: 1, InSync: slices.Clone(h.ids)})
			h.fill(b, records, func(n int) string { return fmt.Sprintf("old/%016x", n) })
			n := h.nodes[h.ids[0]]
			now := time.Duration(0)
			done := startCPUMeter(b)
			for range b.N {
				for range 20 {
					now += 50 * time.Millisecond
					n.Tick(now)
					n.SetWallClock(1)
					h.deliver()
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
