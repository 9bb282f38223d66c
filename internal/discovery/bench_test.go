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
			l := List{Revision: 1 << 20, Complete: true}
			for i := range servers {
				l.Endpoints = append(l.Endpoints, Endpoint{UID: fmt.Sprintf("%016x%016x", rng.Uint64(), rng.Uint64()), Zone: fmt.Sprintf("zone-%02d", i%11),
					Address: fmt.Sprintf("10.%d.%d.%d:9000", i>>16, i>>8&255, i&255), FailureDomain: i % 40, State: policy.Ready, Weight: 1})
			}
			size := 0
			b.ReportAllocs()
			b.ResetTimer()
			for range b.N {
				text := Encode(l)
				got, err := Decode(text)
				if err != nil || len(got.Endpoints) != servers {
					b.Fatal(len(got.Endpoints), err)
				}
				size = len(text)
			}
			b.ReportMetric(float64(size), "packet-B")
		})
	}
}
