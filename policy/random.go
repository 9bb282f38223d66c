package policy

import "time"

// randomSource is a multiply-with-carry random number generator.
type randomSource struct{ state uint64 }

func newRandomSource(seed uint64) randomSource {
	return randomSource{state: seed&0xffffffff | 1<<32}
}

// float64 returns a random number in [0, 1).
func (r *randomSource) float64() float64 {
	r.state = (r.state&0xffffffff)*4294957665 + r.state>>32
	return float64(r.state&0xffffffff) / (1 << 32)
}

// jitter returns a random duration between half of d and one and a half times d.
func (r *randomSource) jitter(d time.Duration) time.Duration {
	return time.Duration((0.5 + r.float64()) * float64(d))
}
