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
	if r.Fleet != "" {
		d.fleet = r.Fleet
	}
	if len(r.Agree.Hard) > 0 {
		d.hard = r.Agree.Hard
	}
	if len(r.Agree.Entries) > 0 {
		maps.DeleteFunc(d.entries, func(i uint64, _ []byte) bool { return i >= r.Agree.First })
		for i, e := range r.Agree.Entries {
			d.entries[r.Agree.First+uint64(i)] = e
		}
	}
	if len(r.Agree.Snapshot) > 0 {
		d.snap, d.upto = r.Agree.Snapshot, r.Agree.Upto
		maps.DeleteFunc(d.entries, func(i uint64, _ []byte) bool { return i <= d.upto })
	}
	for _, w := range r.Slots {
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
func (d *disk) read() node.Saved {
	out := node.Saved{Fleet: d.fleet, Agree: consensus.Saved{Hard: d.hard, Snapshot: d.snap}, Slots: map[int]node.Slot{}}
	for _, i := range slices.Sorted(maps.Keys(d.entries)) {
		out.Agree.Entries = append(out.Agree.Entries, d.entries[i])
	}
	for num, s := range d.slots {
		one := node.Slot{Ballot: s.ballot}
		for _, k := range slices.Sorted(maps.Keys(s.records)) {
			one.Records = append(one.Records, s.records[k])
		}
		out.Slots[num] = one
	}
	return out
}
