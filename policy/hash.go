package policy

import (
	"math"
	"math/bits"
	"time"
)

// This file holds the arithmetic of hashes, of chance and of means. It knows no server and decides nothing.

// random draws from [0, 1) with a multiply-with-carry generator.
func (b *Balancer) random() float64 {
	b.chance = (b.chance&0xffffffff)*4294957665 + b.chance>>32
	return float64(b.chance&0xffffffff) / (1 << 32)
}

func (b *Balancer) jitter(d time.Duration) time.Duration {
	return time.Duration((0.5 + b.random()) * float64(d))
}

// mix hashes two numbers into one.
func mix(a, z uint64) uint64 {
	hi, lo := bits.Mul64(a^0x9e3779b97f4a7c15, z^0xd1b54a32d192ed03)
	x := hi ^ lo
	x = (x ^ x>>32) * 0xd6e8feb86659fd93
	return x ^ x>>32
}

// unit maps a hash to (0, 1).
func unit(x uint64) float64 { return (float64(x>>11) + 0.5) / (1 << 53) }

// score is a server's weighted rendezvous score for a key: the highest wins.
func score(weight float64, key uint64, id EndpointID) float64 {
	return -weight / math.Log(unit(mix(key, uint64(id))))
}

// average is a mean that goes back over learnOver figures; of the first of them each counts alike.
type average struct {
	mean    float64
	figures int
}

const learnOver = 128

func (a *average) learn(figure float64) {
	a.figures = min(a.figures+1, learnOver)
	a.mean += (figure - a.mean) / float64(a.figures)
}
