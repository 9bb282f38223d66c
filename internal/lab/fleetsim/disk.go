package fleetsim

import (
	"maps"
	"slices"

	"sabletally/internal/fleet/consensus"
	"sabletally/internal/fleet/node"
	"sabletally/internal/fleet/replication"
)

// disk is the in-memory disk of a member. It survives the member's process and is lost with the machine.
type disk struct {
	fleetID             string
	hardState, snapshot []byte
	snapshotIndex       uint64
	entries             map[uint64][]byte
	shards              map[int]*shardData
}

// shardData is the stored state of one shard.
type shardData struct {
	ballot  replication.Ballot
	records map[string]replication.Record
}

func newDisk() *disk { return &disk{entries: map[uint64][]byte{}, shards: map[int]*shardData{}} }

// write stores everything that a Ready of the core asks to store.
func (d *disk) write(r node.Ready) {
	if r.FleetID != "" {
		d.fleetID = r.FleetID
	}
	if len(r.Log.HardState) > 0 {
		d.hardState = r.Log.HardState
	}
	if len(r.Log.Entries) > 0 {
		maps.DeleteFunc(d.entries, func(i uint64, _ []byte) bool { return i >= r.Log.FirstIndex })
		for i, e := range r.Log.Entries {
			d.entries[r.Log.FirstIndex+uint64(i)] = e
		}
	}
	if len(r.Log.Snapshot) > 0 {
		d.snapshot, d.snapshotIndex = r.Log.Snapshot, r.Log.SnapshotIndex
		maps.DeleteFunc(d.entries, func(i uint64, _ []byte) bool { return i <= d.snapshotIndex })
	}
	for _, w := range r.ShardWrites {
		s := d.shards[w.Shard]
		if s == nil {
			s = &shardData{records: map[string]replication.Record{}}
			d.shards[w.Shard] = s
		}
		s.ballot = w.Ballot
		if w.ReplaceAll {
			clear(s.records)
		}
		for _, record := range w.Records {
			if s.records[record.Key] = record; record.Version == 0 {
				delete(s.records, record.Key)
			}
		}
	}
}

// read returns the state that a process loads at its start.
func (d *disk) read() node.PersistentState {
	out := node.PersistentState{FleetID: d.fleetID, Log: consensus.PersistentState{HardState: d.hardState, Snapshot: d.snapshot}, Shards: map[int]node.ShardState{}}
	for _, i := range slices.Sorted(maps.Keys(d.entries)) {
		out.Log.Entries = append(out.Log.Entries, d.entries[i])
	}
	for shard, s := range d.shards {
		state := node.ShardState{Ballot: s.ballot}
		for _, k := range slices.Sorted(maps.Keys(s.records)) {
			state.Records = append(state.Records, s.records[k])
		}
		out.Shards[shard] = state
	}
	return out
}
