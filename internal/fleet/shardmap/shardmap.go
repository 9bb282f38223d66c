// Package shardmap contains the state that the members agree on: the epoch, which is a numbered list of members; for each shard of the key
// space its configuration, which names the shard's replicas; and the operators' items.
//
// The state is a deterministic state machine driven by the log of package consensus: the same entries lead to the same state at every
// member. It must never change by itself, and never apply a change that was made from another state than the current one.
package shardmap

import "github.com/cespare/xxhash/v2"

// ShardCount is the number of shards that divide the key space. A shard always migrates as a whole.
const ShardCount = 256

// ShardOf returns the number of a key's shard.
func ShardOf(key string) int { return int(xxhash.Sum64String(key) % ShardCount) }

// Member is one member of an epoch.
type Member struct {
	ID   string `json:"id"`
	Addr string `json:"addr"` // host:port
	// Machine, Zone and Site are the member's failure domains, from the smallest to the largest.
	Machine string `json:"m"`
	Zone    string `json:"z"`
	Site    string `json:"s"`
}
