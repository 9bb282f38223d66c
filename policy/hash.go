package policy

import (
	"math"
	"math/bits"
)

// hashPair hashes two numbers into one.
func hashPair(a, z uint64) uint64 {
	hi, lo := bits.Mul64(a^0x9e3779b97f4a7c15, z^0xd1b54a32d192ed03)
	x := hi ^ lo
	x = (x ^ x>>32) * 0xd6e8feb86659fd93
	return x ^ x>>32
}

// unitInterval maps a hash to (0, 1).
func unitInterval(hash uint64) float64 { return (float64(hash>>11) + 0.5) / (1 << 53) }

// rendezvousScore is an endpoint's weighted rendezvous score for a key: the highest one wins.
func rendezvousScore(weight float64, key uint64, id EndpointID) float64 {
	return -weight / math.Log(unitInterval(hashPair(key, uint64(id))))
}
