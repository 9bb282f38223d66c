package discovery

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"sabletally/policy"
)

// BenchmarkList words a whole list and reads it again, by the servers in it; packet-B is its length on the wire.
func BenchmarkList(b *testing.B) {
	for _, servers := range []int{100, 300, 1000, 2300, 5000} {
		b.Run(fmt.Sprintf("servers=%d", servers), func(b *testing.B) {
			rng := rand.New(rand.NewPCG(1, 2))
			l := List{Rev: 1 << 20, Whole: true}
			for i := range servers {
				l.Servers = append(l.Servers, Server{UID: fmt.Sprintf("%016x%016x", rng.Uint64(), rng.Uint64()), Zone: fmt.Sprintf("zone-%02d", i%11),
					Endpoint: fmt.Sprintf("10.%d.%d.%d:9000", i>>16, i>>8&255, i&255), Cell: i % 40, State: policy.Ready, Heft: 1})
			}
			size := 0
			b.ReportAllocs()
			b.ResetTimer()
			for range b.N {
				text := Encode(l)
				got, err := Decode(text)
				if err != nil || len(got.Servers) != servers {
					b.Fatal(len(got.Servers), err)
				}
				size = len(text)
			}
			b.ReportMetric(float64(size), "packet-B")
		})
	}
}
