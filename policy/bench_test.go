package policy

import (
	"fmt"
	"runtime"
	"syscall"
	"testing"
	"time"
)

// startCPUMeasurement starts a measurement. The returned function ends it and returns the processor time of one
// operation in ns, including garbage collection. A busy machine distorts this less than wall-clock time.
func startCPUMeasurement(b *testing.B) func() float64 {
	processorTime := func() time.Duration {
		var u syscall.Rusage
		if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
			b.Fatal(err)
		}
		return time.Duration(u.Utime.Nano() + u.Stime.Nano())
	}
	b.ReportAllocs()
	from := processorTime()
	b.ResetTimer()
	return func() float64 {
		b.StopTimer()
		each := float64(processorTime()-from) / float64(b.N)
		b.ReportMetric(each, "cpu-ns/op")
		return each
	}
}

// balancerWithSessions returns a balancer with established sessions, evenly distributed over groups and
// endpoints, and the memory that it takes in bytes.
func balancerWithSessions(endpoints, sessions, groups int) (*Balancer, uint64) {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	d := testConfig()
	d.Classes[0].SetupObjective = time.Minute
	b := newBalancer(d, warmEndpointList(endpoints))
	for i := range sessions {
		id := SessionID(i + 1)
		b.AdoptSession(SessionRequest{ID: id, Key: uint64(id), Group: 1 + uint64(i%groups), Load: 1000}, EndpointID(100+i%endpoints))
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	return b, after.HeapAlloc - min(before.HeapAlloc, after.HeapAlloc)
}

// measureSessions measures sessions one at a time, from arrival to end, with a round every 250 sessions.
func measureSessions(b *testing.B, bal *Balancer, groups int) {
	established := 0
	done := startCPUMeasurement(b)
	for i := range b.N {
		id := SessionID(1<<40 + i)
		bal.AdvanceClock(time.Duration(i) * ms)
		bal.AddSession(SessionRequest{ID: id, Key: uint64(id), Group: uint64(1 + i%groups), Timeout: 2 * time.Second, Load: 1000})
		for d, ok := bal.Next(); ok; d, ok = bal.Next() {
			if d.Action == StartAttempt && d.Session == id {
				bal.AttemptEstablished(id, 0, ms)
				established++
			}
		}
		bal.AttemptEnded(id, 0, true, Succeeded)
	}
	if 10*established < 9*b.N {
		b.Fatalf("%d of %d sessions established", established, b.N)
	}
	b.ReportMetric(1e9/done(), "sessions/core-s")
}

// BenchmarkBySessions measures one session from arrival to end, by the number of sessions that the balancer has.
func BenchmarkBySessions(b *testing.B) {
	for _, sessions := range []int{1000, 3000, 10000, 30000, 100000} {
		b.Run(fmt.Sprintf("endpoints=100/groups=1000/sessions=%d", sessions), func(b *testing.B) {
			bal, held := balancerWithSessions(100, sessions, 1000)
			measureSessions(b, bal, 1000)
			b.ReportMetric(float64(held), "held-B")
		})
	}
}

// BenchmarkByGroups measures one session from arrival to end, by the number of groups.
func BenchmarkByGroups(b *testing.B) {
	for _, groups := range []int{100, 1000, 10000, 30000, 100000} {
		b.Run(fmt.Sprintf("endpoints=100/sessions=100000/groups=%d", groups), func(b *testing.B) {
			bal, held := balancerWithSessions(100, 100000, groups)
			measureSessions(b, bal, groups)
			b.ReportMetric(float64(held), "held-B")
		})
	}
}

// BenchmarkByEndpoints measures one session from arrival to end, by the number of endpoints.
func BenchmarkByEndpoints(b *testing.B) {
	for _, endpoints := range []int{10, 100, 300, 1000, 2300, 5000} {
		b.Run(fmt.Sprintf("sessions=100000/groups=100000/endpoints=%d", endpoints), func(b *testing.B) {
			bal, held := balancerWithSessions(endpoints, 100000, 100000)
			measureSessions(b, bal, 100000)
			b.ReportMetric(float64(held), "held-B")
		})
	}
}

// BenchmarkRejectByEndpoints measures the reject of a session while every endpoint is overloaded.
func BenchmarkRejectByEndpoints(b *testing.B) {
	for _, endpoints := range []int{100, 300, 1000, 2300, 5000} {
		b.Run(fmt.Sprintf("sessions=100000/groups=100000/endpoints=%d", endpoints), func(b *testing.B) {
			bal, _ := balancerWithSessions(endpoints, 100000, 100000)
			bal.AdvanceClock(roundInterval)
			allDecisions(bal)
			for i := range endpoints {
				bal.RecordLatency(EndpointID(100+i), time.Second)
			}
			rejects := 0
			done := startCPUMeasurement(b)
			for i := range b.N {
				id := SessionID(1<<40 + i)
				bal.AddSession(SessionRequest{ID: id, Key: uint64(id), Group: uint64(1 + i%100000), Timeout: 2 * time.Second, Load: 1000})
				rejects += count(allDecisions(bal), Reject)
			}
			done()
			if rejects != b.N {
				b.Fatalf("%d of %d are rejected", rejects, b.N)
			}
		})
	}
}

// BenchmarkRoundByEndpoints measures a round, which runs four times a second.
func BenchmarkRoundByEndpoints(b *testing.B) {
	for _, endpoints := range []int{100, 300, 1000, 2300, 5000} {
		b.Run(fmt.Sprintf("sessions=100000/groups=100000/endpoints=%d", endpoints), func(b *testing.B) {
			bal, _ := balancerWithSessions(endpoints, 100000, 100000)
			done := startCPUMeasurement(b)
			for i := range b.N {
				bal.AdvanceClock(time.Duration(i+1) * roundInterval)
				allDecisions(bal)
			}
			b.ReportMetric(done()/float64(roundInterval)*100, "%core")
		})
	}
}

// BenchmarkListByEndpoints measures a complete endpoint list in which the state of one endpoint has changed, so
// that a new pool is made.
func BenchmarkListByEndpoints(b *testing.B) {
	for _, endpoints := range []int{100, 300, 1000, 2300, 5000} {
		b.Run(fmt.Sprintf("endpoints=%d", endpoints), func(b *testing.B) {
			bal, list := newBalancer(testConfig(), warmEndpointList(endpoints)), warmEndpointList(endpoints)
			done := startCPUMeasurement(b)
			for i := range b.N {
				at := i / 2 % endpoints
				list[at].State = EndpointState(1 - i%2)
				bal.UpdateEndpoints(list, true)
			}
			done()
		})
	}
}

// BenchmarkLargestGroup lets 20 of 4,600 balancers each place 24 members of a group of 110,000, beside 100,000
// sessions of other groups. It reports how many endpoints the members use, and the fraction of members at the
// endpoint with the most.
func BenchmarkLargestGroup(b *testing.B) {
	const balancers, members, others = 20, 24, 100000
	for _, endpoints := range []int{100, 1000, 5000} {
		b.Run(fmt.Sprintf("members=%d/endpoints=%d", balancers*members, endpoints), func(b *testing.B) {
			var at map[EndpointID]int
			established := 0
			for range b.N {
				at, established = map[EndpointID]int{}, 0
				for n := range balancers {
					d := testConfig()
					d.Balancers = 4600
					bal := New(d, uint64(n+1))
					bal.UpdateEndpoints(warmEndpointList(endpoints), true)
					for i := range others {
						id := SessionID(i + 1)
						bal.AdoptSession(SessionRequest{ID: id, Key: uint64(n)<<32 + uint64(id), Group: 1000 + uint64(n*others+i)},
							EndpointID(100+(n*others+i)%endpoints))
					}
					for i := range members {
						id := SessionID(1<<40 + i)
						bal.AddSession(SessionRequest{ID: id, Key: uint64(n)<<32 + uint64(id), Group: 7, Timeout: 2 * time.Second})
						for _, one := range allDecisions(bal) {
							if one.Action == StartAttempt && one.Session == id {
								bal.AttemptEstablished(id, 0, ms)
								at[one.Endpoint]++
								established++
							}
						}
					}
				}
			}
			fullest := 0
			for _, held := range at {
				fullest = max(fullest, held)
			}
			if established == 0 {
				b.Fatal("no session was established")
			}
			b.ReportMetric(float64(established)/(balancers*members)*100, "%established")
			b.ReportMetric(float64(len(at)), "endpoints")
			b.ReportMetric(float64(fullest)/float64(established)*100, "%fullest")
		})
	}
}

// newSettledBalancer returns a balancer with established sessions in groups of about twenty.
func newSettledBalancer(endpoints, sessions int) *Balancer {
	d := testConfig()
	d.Classes[0].SetupObjective = time.Minute
	b := newBalancer(d, warmEndpointList(endpoints))
	for i := range sessions {
		id := SessionID(i + 1)
		b.AdoptSession(SessionRequest{ID: id, Key: uint64(id), Group: 1 + uint64(i%(sessions/20+1)), Load: 1000}, EndpointID(100+i%endpoints))
	}
	return b
}

// BenchmarkDecision measures one session from arrival to end, with a round every 250 sessions.
func BenchmarkDecision(b *testing.B) {
	for _, size := range [][2]int{{10, 1000}, {100, 1000}, {1000, 1000}, {100, 10000}, {100, 100000}, {1000, 100000}} {
		b.Run(fmt.Sprintf("endpoints=%d/sessions=%d", size[0], size[1]), func(b *testing.B) {
			bal := newSettledBalancer(size[0], size[1])
			b.ReportAllocs()
			b.ResetTimer()
			for i := range b.N {
				id := SessionID(1<<40 + i)
				bal.AdvanceClock(time.Duration(i) * ms)
				bal.AddSession(SessionRequest{ID: id, Key: uint64(id), Group: uint64(1 + i%100), Timeout: 2 * time.Second, Load: 1000})
				for d, ok := bal.Next(); ok; d, ok = bal.Next() {
					if d.Action == StartAttempt && d.Session == id {
						bal.AttemptEstablished(id, 0, ms)
					}
				}
				bal.AttemptEnded(id, 0, true, Succeeded)
			}
		})
	}
}

// BenchmarkRound measures a round.
func BenchmarkRound(b *testing.B) {
	for _, size := range [][2]int{{10, 1000}, {100, 10000}, {1000, 100000}} {
		b.Run(fmt.Sprintf("endpoints=%d/sessions=%d", size[0], size[1]), func(b *testing.B) {
			bal := newSettledBalancer(size[0], size[1])
			b.ReportAllocs()
			b.ResetTimer()
			for i := range b.N {
				bal.AdvanceClock(time.Duration(i+1) * roundInterval)
				allDecisions(bal)
			}
		})
	}
}
