package policy

import (
	"math"
	"math/bits"
)

// hashPair returns a hash of two numbers.
func hashPair(a, z uint64) uint64 {
	hi, lo := bits.Mul64(a^0x9e3779b97f4a7c15, z^0xd1b54a32d192ed03)
	x := hi ^ lo
	x = (x ^ x>>32) * 0xd6e8feb86659fd93
	return x ^ x>>32
}

// unitInterval maps a hash to a number in (0, 1).
func unitInterval(hash uint64) float64 { return (float64(hash>>11) + 0.5) / (1 << 53) }

// rendezvousScore returns the weighted rendezvous hashing score of an endpoint for a key. The endpoint with the
// highest score ranks first.
func rendezvousScore(weight float64, key uint64, id EndpointID) float64 {
	return -weight / math.Log(unitInterval(hashPair(key, uint64(id))))
}
