package shardmap

import "slices"

// Configuration names the replicas of a shard. Each change increments the number, and no two configurations of a shard have the same one.
type Configuration struct {
	// Number is 0 before the first configuration.
	Number uint64 `json:"n"`
	// InSync are the replicas that have every committed write. The first one is the primary.
	InSync []string `json:"f"`
	// Joining are the replicas that are still copying the shard's records.
	Joining []string `json:"j,omitempty"`
	// DataLosses counts how often the shard was restarted empty because all replicas with its records were lost.
	DataLosses int `json:"l,omitempty"`
}

// Primary returns the ID of the member that orders the shard's writes, empty before the first configuration.
func (c Configuration) Primary() string {
	if len(c.InSync) == 0 {
		return ""
	}
	return c.InSync[0]
}

// ShardChange replaces the configuration of one shard.
type ShardChange struct {
	Shard int `json:"s"`
	// BaseNumber is the number of the configuration that the change was made from.
	BaseNumber uint64   `json:"o"`
	InSync     []string `json:"f"`
	Joining    []string `json:"j,omitempty"`
	// Reset gives up the shard's records: the new replicas need not include any replica of the previous configuration.
	Reset bool `json:"a,omitempty"`
}

// nextConfiguration returns the configuration that the change replaces the current one with.
func (c ShardChange) nextConfiguration(current Configuration) Configuration {
	next := Configuration{
		Number:     c.BaseNumber + 1,
		InSync:     slices.Clone(c.InSync),
		Joining:    slices.Clone(c.Joining),
		DataLosses: current.DataLosses,
	}
	if c.Reset {
		next.DataLosses++
	}
	return next
}

// keepsCommittedWrites reports whether the change preserves every committed write. The new primary must be a current in-sync replica, as
// each of these has all committed writes. Any other new in-sync replica must at least have been joining; the primary has then reported that
// it has caught up.
func (c ShardChange) keepsCommittedWrites(current Configuration) bool {
	if len(c.InSync) == 0 || hasDuplicate(slices.Concat(c.InSync, c.Joining)) {
		return false
	}
	if current.Number == 0 || c.Reset {
		return true
	}
	if !slices.Contains(current.InSync, c.InSync[0]) {
		return false
	}
	for _, id := range c.InSync {
		if !slices.Contains(current.InSync, id) && !slices.Contains(current.Joining, id) {
			return false
		}
	}
	return true
}

func hasDuplicate(ids []string) bool {
	for i, id := range ids {
		if slices.Contains(ids[:i], id) {
			return true
		}
	}
	return false
}
