package membership

import (
	"fmt"
	"runtime"
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

// joined is member 0's table once all of a fleet of n are here, and the bytes that it holds.
func joined(n int) (*Table, uint64) {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	l := table(n)
	for i := 1; i < n; i++ {
		l.HandleAlive(member(i))
		l.drain()
	}
	l.run(2 * s)
	runtime.GC()
	runtime.ReadMemStats(&after)
	return l, after.HeapAlloc - min(before.HeapAlloc, after.HeapAlloc)
}

// BenchmarkBeat is what a contact does of the table ten times a second: the clock, then all members to be published.
func BenchmarkBeat(b *testing.B) {
	for _, n := range scales {
		l, held := joined(n)
		b.Run(fmt.Sprintf("members=%d", n), func(b *testing.B) {
			done := metered(b)
			for range b.N {
				l.Tick(l.now + HeartbeatInterval)
				l.drain()
				if len(l.Peers()) != n-1 {
					b.Fatal("members are missing")
				}
			}
			per := done()
			b.ReportMetric(per/float64(HeartbeatInterval)*100, "%core")
			b.ReportMetric(float64(held), "held-B")
		})
	}
}

// BenchmarkRestart is one member that is lost and comes again.
func BenchmarkRestart(b *testing.B) {
	for _, n := range scales {
		l, _ := joined(n)
		b.Run(fmt.Sprintf("members=%d", n), func(b *testing.B) {
			done := metered(b)
			for i := range b.N {
				m := member(1 + i%(n-1))
				m.Incarnation = l.known[m.ID].Incarnation + 1
				l.HandleFailure(m.ID)
				l.HandleAlive(m)
				l.drain()
			}
			done()
		})
	}
}
