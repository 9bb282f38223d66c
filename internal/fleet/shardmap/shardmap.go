// Package shardmap is the state that the members agree on: the epochs, which are numbered lists of members; for each shard of the key
// space its configuration, which names the shard's replicas; and the items that operators put.
//
// It is a pure state machine under the log of package consensus: the same entries leave the same state at every member. It must never
// decide by itself that something changes, and never apply a change that was made from another state than the one in force.
package shardmap

import "github.com/cespare/xxhash/v2"

// ShardCount is the number of shards that the key space is divided into. A shard migrates as a whole.
const ShardCount = 256

// ShardOf is the number of the shard of a key.
func ShardOf(key string) int { return int(xxhash.Sum64String(key) % ShardCount) }

// Member is one member of an epoch.
type Member struct {
	ID   string `json:"id"`
	Addr string `json:"addr"` // host:port
	// Machine, Zone and Site are the failure domains that the member is in, the smallest first.
	Machine string `json:"m"`
	Zone    string `json:"z"`
	Site    string `json:"s"`
}
