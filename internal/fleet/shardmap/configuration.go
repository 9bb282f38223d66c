package shardmap

import "slices"

// Configuration names the replicas of a shard. Each change of it has the next number, and each number exists once.
type Configuration struct {
	// Number is 0 before the first configuration.
	Number uint64 `json:"n"`
	// InSync replicas have every committed write; the first is the primary.
	InSync []string `json:"f"`
	// Joining replicas are copying the shard's records.
	Joining []string `json:"j,omitempty"`
	// DataLosses counts how often the shard began empty again, as all replicas with its records were lost.
	DataLosses int `json:"l,omitempty"`
}

// Primary is the member that orders the shard's writes; empty before the first configuration.
func (c Configuration) Primary() string {
	if len(c.InSync) == 0 {
		return ""
	}
	return c.InSync[0]
}

// ShardChange replaces the configuration of one shard.
type ShardChange struct {
	Shard int `json:"s"`
	// BaseNumber is the configuration that the change was made from.
	BaseNumber uint64   `json:"o"`
	InSync     []string `json:"f"`
	Joining    []string `json:"j,omitempty"`
	// Reset gives up the shard's records: no replica of the configuration before needs to be among the new ones.
	Reset bool `json:"a,omitempty"`
}

// next is the configuration that the change makes of the one in force.
func (c ShardChange) next(current Configuration) Configuration {
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

// canFollow reports whether the change keeps every committed write. Each in-sync replica has all of them, so one of these has to be
// the new primary; any other new in-sync replica must have been joining, and was reported by the primary to have caught up.
func (c ShardChange) canFollow(current Configuration) bool {
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
