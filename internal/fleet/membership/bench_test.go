package membership

import (
	"fmt"
	"runtime"
	"syscall"
	"testing"
	"time"
)

// measureCPU starts a measurement. The returned function ends it and reports and returns the CPU time of one operation in ns, garbage
// collection included. On a shared machine the wall clock is less meaningful.
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

// fleetSizes are the fleet sizes for which docs/CAPACITY.md gives figures.
var fleetSizes = []int{17, 100, 300, 1000, 2300, 4600}

// fullTable returns the table of member 0 in a fleet of n members that are all alive, and the heap bytes that it uses.
func fullTable(n int) (*Table, uint64) {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	table := newTable(n)
	for i := 1; i < n; i++ {
		table.HandleAlive(member(i))
		table.drain()
	}
	table.runUntil(2 * second)
	runtime.GC()
	runtime.ReadMemStats(&after)
	return table, after.HeapAlloc - min(before.HeapAlloc, after.HeapAlloc)
}

// BenchmarkHeartbeat measures what the gossip agent does with the table ten times a second: a tick, then listing all members.
func BenchmarkHeartbeat(b *testing.B) {
	for _, n := range fleetSizes {
		table, heapBytes := fullTable(n)
		b.Run(fmt.Sprintf("members=%d", n), func(b *testing.B) {
			done := measureCPU(b)
			for range b.N {
				table.Tick(table.now + HeartbeatInterval)
				table.drain()
				if len(table.Peers()) != n-1 {
					b.Fatal("some members are not listed")
				}
			}
			cpuTime := done()
			b.ReportMetric(cpuTime/float64(HeartbeatInterval)*100, "%core")
			b.ReportMetric(float64(heapBytes), "heap-B")
		})
	}
}

// BenchmarkRestart measures the failure and return of one member.
func BenchmarkRestart(b *testing.B) {
	for _, n := range fleetSizes {
		table, _ := fullTable(n)
		b.Run(fmt.Sprintf("members=%d", n), func(b *testing.B) {
			done := measureCPU(b)
			for i := range b.N {
				m := member(1 + i%(n-1))
				m.Incarnation = table.peers[m.ID].Incarnation + 1
				table.HandleFailure(m.ID)
				table.HandleAlive(m)
				table.drain()
			}
			done()
		})
	}
}
