package fleetsim

import (
	"maps"
	"slices"

	"sabletally/internal/fleet/consensus"
	"sabletally/internal/fleet/node"
	"sabletally/internal/fleet/replication"
)

// disk is a member's in memory: what was written stays until its machine is lost.
type disk struct {
	fleet      string
	hard, snap []byte
	upto       uint64
	entries    map[uint64][]byte
	slots      map[int]*part
}

type part struct {
	ballot  replication.Ballot
	records map[string]replication.Record
}

func newDisk() *disk { return &disk{entries: map[uint64][]byte{}, slots: map[int]*part{}} }

// write takes all of a Ready.
func (d *disk) write(r node.Ready) {
	if r.FleetID != "" {
		d.fleet = r.FleetID
	}
	if len(r.Log.HardState) > 0 {
		d.hard = r.Log.HardState
	}
	if len(r.Log.Entries) > 0 {
		maps.DeleteFunc(d.entries, func(i uint64, _ []byte) bool { return i >= r.Log.FirstIndex })
		for i, e := range r.Log.Entries {
			d.entries[r.Log.FirstIndex+uint64(i)] = e
		}
	}
	if len(r.Log.Snapshot) > 0 {
		d.snap, d.upto = r.Log.Snapshot, r.Log.SnapshotIndex
		maps.DeleteFunc(d.entries, func(i uint64, _ []byte) bool { return i <= d.upto })
	}
	for _, w := range r.ShardWrites {
		s := d.slots[w.Shard]
		if s == nil {
			s = &part{records: map[string]replication.Record{}}
			d.slots[w.Shard] = s
		}
		s.ballot = w.Ballot
		if w.ReplaceAll {
			clear(s.records)
		}
		for _, one := range w.Records {
			if s.records[one.Key] = one; one.Version == 0 {
				delete(s.records, one.Key)
			}
		}
	}
}

// read is what a process finds at its start.
func (d *disk) read() node.PersistentState {
	out := node.PersistentState{FleetID: d.fleet, Log: consensus.PersistentState{HardState: d.hard, Snapshot: d.snap}, Shards: map[int]node.ShardState{}}
	for _, i := range slices.Sorted(maps.Keys(d.entries)) {
		out.Log.Entries = append(out.Log.Entries, d.entries[i])
	}
	for num, s := range d.slots {
		one := node.ShardState{Ballot: s.ballot}
		for _, k := range slices.Sorted(maps.Keys(s.records)) {
			one.Records = append(one.Records, s.records[k])
		}
		out.Shards[num] = one
	}
	return out
}
