package policy

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

// placed is a balancer that holds so many circuits in so many groups on so many servers, and the bytes that it holds.
func placed(servers, circuits, groups int) (*Balancer, uint64) {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	d := deployment()
	d.Classes[0].SetupObjective = time.Minute
	b := started(d, fleet(servers))
	for i := range circuits {
		id := SessionID(i + 1)
		b.AdoptSession(SessionRequest{ID: id, Key: uint64(id), Group: 1 + uint64(i%groups), Load: 1000}, EndpointID(100+i%servers))
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	return b, after.HeapAlloc - min(before.HeapAlloc, after.HeapAlloc)
}

// each plays one circuit from its arrival to its end, again and again; a round comes each 250 of them.
func each(b *testing.B, bal *Balancer, groups int) {
	stood := 0
	done := metered(b)
	for i := range b.N {
		id := SessionID(1<<40 + i)
		bal.AdvanceClock(time.Duration(i) * ms)
		bal.AddSession(SessionRequest{ID: id, Key: uint64(id), Group: uint64(1 + i%groups), Timeout: 2 * time.Second, Load: 1000})
		for d, ok := bal.Next(); ok; d, ok = bal.Next() {
			if d.Action == StartAttempt && d.Session == id {
				bal.AttemptEstablished(id, 0, ms)
				stood++
			}
		}
		bal.AttemptEnded(id, 0, true, Succeeded)
	}
	if 10*stood < 9*b.N {
		b.Fatalf("%d of %d circuits stood", stood, b.N)
	}
	b.ReportMetric(1e9/done(), "circuits/core-s")
}

// BenchmarkByCircuits, BenchmarkByGroups and BenchmarkByServers are one circuit from arrival to end, by what is held meanwhile.
func BenchmarkByCircuits(b *testing.B) {
	for _, circuits := range []int{1000, 3000, 10000, 30000, 100000} {
		b.Run(fmt.Sprintf("servers=100/groups=1000/circuits=%d", circuits), func(b *testing.B) {
			bal, held := placed(100, circuits, 1000)
			each(b, bal, 1000)
			b.ReportMetric(float64(held), "held-B")
		})
	}
}

func BenchmarkByGroups(b *testing.B) {
	for _, groups := range []int{100, 1000, 10000, 30000, 100000} {
		b.Run(fmt.Sprintf("servers=100/circuits=100000/groups=%d", groups), func(b *testing.B) {
			bal, held := placed(100, 100000, groups)
			each(b, bal, groups)
			b.ReportMetric(float64(held), "held-B")
		})
	}
}

func BenchmarkByServers(b *testing.B) {
	for _, servers := range []int{10, 100, 300, 1000, 2300, 5000} {
		b.Run(fmt.Sprintf("circuits=100000/groups=100000/servers=%d", servers), func(b *testing.B) {
			bal, held := placed(servers, 100000, 100000)
			each(b, bal, 100000)
			b.ReportMetric(float64(held), "held-B")
		})
	}
}

// BenchmarkNackByServers is one circuit that is nacked, as every server is jammed.
func BenchmarkNackByServers(b *testing.B) {
	for _, servers := range []int{100, 300, 1000, 2300, 5000} {
		b.Run(fmt.Sprintf("circuits=100000/groups=100000/servers=%d", servers), func(b *testing.B) {
			bal, _ := placed(servers, 100000, 100000)
			bal.AdvanceClock(roundInterval)
			pull(bal)
			for i := range servers {
				bal.RecordLatency(EndpointID(100+i), time.Second)
			}
			nacks := 0
			done := metered(b)
			for i := range b.N {
				id := SessionID(1<<40 + i)
				bal.AddSession(SessionRequest{ID: id, Key: uint64(id), Group: uint64(1 + i%100000), Timeout: 2 * time.Second, Load: 1000})
				nacks += count(pull(bal), Reject)
			}
			done()
			if nacks != b.N {
				b.Fatalf("%d of %d are nacked", nacks, b.N)
			}
		})
	}
}

// BenchmarkRoundByServers is a round alone, as it falls due four times a second.
func BenchmarkRoundByServers(b *testing.B) {
	for _, servers := range []int{100, 300, 1000, 2300, 5000} {
		b.Run(fmt.Sprintf("circuits=100000/groups=100000/servers=%d", servers), func(b *testing.B) {
			bal, _ := placed(servers, 100000, 100000)
			done := metered(b)
			for i := range b.N {
				bal.AdvanceClock(time.Duration(i+1) * roundInterval)
				pull(bal)
			}
			b.ReportMetric(done()/float64(roundInterval)*100, "%core")
		})
	}
}

// BenchmarkListByServers is a whole list that changes one server's state, which makes a version.
func BenchmarkListByServers(b *testing.B) {
	for _, servers := range []int{100, 300, 1000, 2300, 5000} {
		b.Run(fmt.Sprintf("servers=%d", servers), func(b *testing.B) {
			bal, list := started(deployment(), fleet(servers)), fleet(servers)
			done := metered(b)
			for i := range b.N {
				at := i / 2 % servers
				list[at].State = EndpointState(1 - i%2)
				bal.UpdateEndpoints(list, true)
			}
			done()
		})
	}
}

// BenchmarkLargestTopic has some of 4,600 balancers place their 24 each of a group's 110,000 members beside 100,000 circuits of other
// groups, and tells at how many servers the members come to stand, and what part of them at the fullest.
func BenchmarkLargestTopic(b *testing.B) {
	const balancers, members, others = 20, 24, 100000
	for _, servers := range []int{100, 1000, 5000} {
		b.Run(fmt.Sprintf("members=%d/servers=%d", balancers*members, servers), func(b *testing.B) {
			var at map[EndpointID]int
			stood := 0
			for range b.N {
				at, stood = map[EndpointID]int{}, 0
				for n := range balancers {
					d := deployment()
					d.Balancers = 4600
					bal := New(d, uint64(n+1))
					bal.UpdateEndpoints(fleet(servers), true)
					for i := range others {
						id := SessionID(i + 1)
						bal.AdoptSession(SessionRequest{ID: id, Key: uint64(n)<<32 + uint64(id), Group: 1000 + uint64(n*others+i)},
							EndpointID(100+(n*others+i)%servers))
					}
					for i := range members {
						id := SessionID(1<<40 + i)
						bal.AddSession(SessionRequest{ID: id, Key: uint64(n)<<32 + uint64(id), Group: 7, Timeout: 2 * time.Second})
						for _, one := range pull(bal) {
							if one.Action == StartAttempt && one.Session == id {
								bal.AttemptEstablished(id, 0, ms)
								at[one.Endpoint]++
								stood++
							}
						}
					}
				}
			}
			fullest := 0
			for _, held := range at {
				fullest = max(fullest, held)
			}
			if stood == 0 {
				b.Fatal("none came to stand")
			}
			b.ReportMetric(float64(stood)/(balancers*members)*100, "%stood")
			b.ReportMetric(float64(len(at)), "places")
			b.ReportMetric(float64(fullest)/float64(stood)*100, "%fullest")
		})
	}
}
