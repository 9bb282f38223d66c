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

// holders are nodes whose messages come at once, and are counted as they would be worded.
type holders struct {
	nodes map[string]*Node
	ids   []string
	done  int

	count       bool
	msgs, bytes int
}

// hold makes so many nodes, of which least have to have a write.
func hold(many, least, keys int) *holders {
	h := &holders{nodes: map[string]*Node{}}
	for i := range many {
		id := fmt.Sprintf("%032x", i+1)
		h.ids = append(h.ids, id)
		h.nodes[id] = New(Config{ID: id, Incarnation: 1, MinReplicas: least, MaxKeys: keys, MaxBytes: 1 << 30, MaxPendingOperations: 1000,
			Retention: []RetentionRule{{"old/", 10 * time.Minute}}}, 0)
	}
	return h
}

// view tells all of a view of every slot.
func (h *holders) view(v shardmap.Configuration) {
	for _, id := range h.ids {
		for num := range shardmap.ShardCount {
			h.nodes[id].SetConfiguration(num, v)
		}
	}
	h.settle()
}

func (h *holders) settle() {
	for again := true; again; {
		again = false
		for _, id := range h.ids {
			r := h.nodes[id].Ready()
			for _, m := range r.Messages {
				if h.count {
					text, _ := cbor.Marshal(m)
					h.msgs, h.bytes = h.msgs+1, h.bytes+len(text)
				}
				h.nodes[m.To].Step(m)
				again = true
			}
			for _, one := range r.Results {
				if one.Outcome == OutcomeCommitted {
					h.done++
				}
			}
		}
	}
}

// fill writes so many records of 256 bytes; key is the n-th one's.
func (h *holders) fill(b *testing.B, records int, key func(n int) string) {
	for n := range records {
		h.nodes[h.ids[0]].Submit(Operation{ID: fmt.Sprint("o", n), Key: key(n), Value: make([]byte, 256)}, time.Second)
		if n%256 == 255 {
			h.settle()
		}
	}
	h.settle()
	if keys, _ := h.nodes[h.ids[len(h.ids)-1]].Usage(); keys != records {
		b.Fatalf("%d of %d records are held", keys, records)
	}
	h.done = 0
}

func anywhere(n int) string { return fmt.Sprintf("k/%016x", n) }

// BenchmarkRecord is a record of 256 bytes that is written over until all its holders have it and who asked is told, by a member
// that is none of them, all nodes together, without disks.
func BenchmarkRecord(b *testing.B) {
	for _, size := range [][2]int{{1, 1000}, {1, 10000}, {1, 50000}, {2, 10000}, {3, 1000}, {3, 10000}, {3, 50000}, {5, 10000}} {
		b.Run(fmt.Sprintf("holders=%d/records=%d", size[0], size[1]), func(b *testing.B) {
			h := hold(size[0]+1, min(2, size[0]), 100000) // the last one asks
			var before, after runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			h.view(shardmap.Configuration{Number: 1, InSync: h.ids[:size[0]]})
			asks := h.ids[len(h.ids)-1]
			for n := range size[1] {
				h.nodes[h.ids[0]].Submit(Operation{ID: fmt.Sprint("o", n), Key: anywhere(n), Value: make([]byte, 256)}, time.Second)
				if n%256 == 255 {
					h.settle()
				}
			}
			h.settle()
			if keys, _ := h.nodes[h.ids[0]].Usage(); keys != size[1] {
				b.Fatalf("%d of %d records are held", keys, size[1])
			}
			runtime.GC()
			runtime.ReadMemStats(&after)
			write := func(i int) {
				key := anywhere(i % size[1])
				h.nodes[asks].Submit(Operation{ID: fmt.Sprint("w", i), Key: key, ExpectedVersion: h.nodes[h.ids[0]].Record(key).Version, Value: make([]byte, 256)}, time.Second)
				h.settle()
			}
			h.done, h.count = 0, true
			write(1 << 30) // what it takes on the wire, worded outside the measured time
			h.count = false
			done := metered(b)
			for i := range b.N {
				write(i)
			}
			done()
			if h.done != b.N+1 {
				b.Fatalf("%d of %d are done", h.done, b.N+1)
			}
			b.ReportMetric(float64(h.msgs), "msgs/op")
			b.ReportMetric(float64(h.bytes), "wire-B/op")
			if size[0] == 1 { // more nodes of one process share each value's bytes
				b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(size[1]), "held-B/record")
			}
		})
	}
}

// BenchmarkRepair has one more holder join a slot of so many records of 256 bytes until it has caught up. The slot's records go in
// one message.
func BenchmarkRepair(b *testing.B) {
	const num = 7
	for _, records := range []int{10, 100, 1000, 10000} {
		b.Run(fmt.Sprintf("records=%d", records), func(b *testing.B) {
			var keys []string
			for n := 0; len(keys) < records; n++ {
				if key := anywhere(n); shardmap.ShardOf(key) == num {
					keys = append(keys, key)
				}
			}
			h := hold(3, 2, 100000)
			full := h.ids[:2]
			h.view(shardmap.Configuration{Number: 1, InSync: full})
			for n, key := range keys {
				h.nodes[h.ids[0]].Submit(Operation{ID: fmt.Sprint("o", n), Key: key, Value: make([]byte, 256)}, time.Second)
				if n%64 == 63 {
					h.settle()
				}
			}
			h.settle()
			joins := h.nodes[h.ids[2]]
			repair := func(view uint64) {
				for _, id := range h.ids {
					h.nodes[id].SetConfiguration(num, shardmap.Configuration{Number: view, InSync: full, Joining: h.ids[2:]})
				}
				h.settle()
				if got, _ := joins.Usage(); got != records {
					b.Fatalf("%d of %d records were copied", got, records)
				}
				for _, id := range h.ids { // and it leaves again
					h.nodes[id].SetConfiguration(num, shardmap.Configuration{Number: view + 1, InSync: full})
				}
				h.settle()
				if got, _ := joins.Usage(); got != 0 {
					b.Fatalf("%d records were kept", got)
				}
			}
			h.count = true
			repair(2)
			h.count = false
			done := metered(b)
			for i := range b.N {
				repair(uint64(4 + 2*i))
			}
			done()
			b.ReportMetric(float64(h.bytes), "wire-B/op")
		})
	}
}

// BenchmarkSecond is a second of a primary of all slots and its two followers, in which nobody asks for anything: beats, and the
// primary's look for records that were held for their time.
func BenchmarkSecond(b *testing.B) {
	for _, records := range []int{0, 1000, 10000, 50000} {
		b.Run(fmt.Sprintf("records=%d", records), func(b *testing.B) {
			h := hold(3, 2, 100000)
			h.view(shardmap.Configuration{Number: 1, InSync: slices.Clone(h.ids)})
			h.fill(b, records, func(n int) string { return fmt.Sprintf("old/%016x", n) })
			n := h.nodes[h.ids[0]]
			now := time.Duration(0)
			done := metered(b)
			for range b.N {
				for range 20 {
					now += 50 * time.Millisecond
					n.Tick(now)
					n.SetWallClock(1)
					h.settle()
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
