package changefeed

import (
	"encoding/binary"
	"math/bits"

	"github.com/cespare/xxhash/v2"
)

// hashItem returns an item's contribution to the digest of a state, which is the sum over all items.
func hashItem(key string, value []byte) uint64 {
	return mixBits(xxhash.Sum64String(key)*0x9e3779b97f4a7c15 + bits.RotateLeft64(xxhash.Sum64(value), 17))
}

// mixBits is the 64-bit finalizer of MurmurHash3: each input bit affects all output bits. It maps zero to zero, so the empty state at
// version 0 has the digest 0.
func mixBits(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}

// rendezvousScore returns the score of a publisher for a subscriber by rendezvous hashing; a higher score ranks first. Each subscriber has
// its own ranking, so the subscribers of a failed publisher spread over all others.
func rendezvousScore(subscriber, publisher string) uint64 {
	var publisherHash [8]byte
	binary.LittleEndian.PutUint64(publisherHash[:], xxhash.Sum64String(publisher))
	digest := xxhash.New()
	_, _ = digest.WriteString(subscriber) // a Digest never returns an error
	_, _ = digest.Write(publisherHash[:])
	return mixBits(digest.Sum64())
}
