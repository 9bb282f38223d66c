package discovery

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"sabletally/policy"
)

// BenchmarkList encodes a complete list and decodes it again, for several numbers of servers. packet-B is the size of the encoded list.
func BenchmarkList(b *testing.B) {
	for _, servers := range []int{100, 300, 1000, 2300, 5000} {
		b.Run(fmt.Sprintf("servers=%d", servers), func(b *testing.B) {
			rng := rand.New(rand.NewPCG(1, 2))
			list := List{Revision: 1 << 20, Complete: true}
			for i := range servers {
				list.Endpoints = append(list.Endpoints, Endpoint{UID: fmt.Sprintf("%016x%016x", rng.Uint64(), rng.Uint64()), Zone: fmt.Sprintf("zone-%02d", i%11),
					Address: fmt.Sprintf("10.%d.%d.%d:9000", i>>16, i>>8&255, i&255), FailureDomain: i % 40, State: policy.Ready, Weight: 1})
			}
			size := 0
			b.ReportAllocs()
			b.ResetTimer()
			for range b.N {
				encoded := Encode(list)
				decoded, err := Decode(encoded)
				if err != nil || len(decoded.Endpoints) != servers {
					b.Fatal(len(decoded.Endpoints), err)
				}
				size = len(encoded)
			}
			b.ReportMetric(float64(size), "packet-B")
		})
	}
}
