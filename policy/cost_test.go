package policy

import (
	"fmt"
	"testing"
	"time"
)

// settled is a balancer that holds so many circuits on so many servers.
func settled(servers, circuits int) *Balancer {
	d := deployment()
	d.Classes[0].SetupObjective = time.Minute
	b := started(d, fleet(servers))
	for i := range circuits {
		id := SessionID(i + 1)
		b.AdoptSession(SessionRequest{ID: id, Key: uint64(id), Group: 1 + uint64(i%(circuits/20+1)), Load: 1000}, EndpointID(100+i%servers))
	}
	return b
}

// BenchmarkDecision is a circuit from its arrival to its end, with all else that falls due meanwhile; the clock goes on so
// that a round comes each 250 circuits.
func BenchmarkDecision(b *testing.B) {
	for _, size := range [][2]int{{10, 1000}, {100, 1000}, {1000, 1000}, {100, 10000}, {100, 100000}, {1000, 100000}} {
		b.Run(fmt.Sprintf("servers=%d/circuits=%d", size[0], size[1]), func(b *testing.B) {
			bal := settled(size[0], size[1])
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

// BenchmarkRound is a round alone, as it falls due each 250 ms.
func BenchmarkRound(b *testing.B) {
	for _, size := range [][2]int{{10, 1000}, {100, 10000}, {1000, 100000}} {
		b.Run(fmt.Sprintf("servers=%d/circuits=%d", size[0], size[1]), func(b *testing.B) {
			bal := settled(size[0], size[1])
			b.ReportAllocs()
			b.ResetTimer()
			for i := range b.N {
				bal.AdvanceClock(time.Duration(i+1) * roundInterval)
				pull(bal)
			}
		})
	}
}
