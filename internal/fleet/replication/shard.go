package replication

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// shard is one shard as this member knows it.
type shard struct {
	number  int
	ballot  Ballot
	inSync  []string // as in the configuration: the first is the primary
	joining []string
	records map[string]Record
	digest  uint64 // of all records: the exclusive or of their digests

	// primary is nil while another member leads the shard.
	primary *primaryState

	// As a replica of another member's ballot.
	ballotAdopted   bool          // the records are those of the primary at appliedSequence
	appliedSequence uint64        // of the newest write of this ballot that was applied
	ballotSince     time.Duration // a primary that was not heard of yet is missed from here on
}

// isPrimary reports whether this member leads the shard.
func (s *shard) isPrimary() bool { return s.primary != nil }

// followers are all replicas of a shard but its primary.
func (s *shard) followers() []string {
	all := slices.Concat(s.inSync, s.joining)
	if len(all) == 0 {
		return nil
	}
	return all[1:]
}

// sortedRecords are the shard's records by key.
func (s *shard) sortedRecords() []Record {
	all := make([]Record, 0, len(s.records))
	for _, r := range s.records {
		all = append(all, r)
	}
	slices.SortFunc(all, func(a, b Record) int { return cmp.Compare(a.Key, b.Key) })
	return all
}

// setRecord stores a record in memory; one with version 0 is removed.
func (n *Node) setRecord(s *shard, r Record) {
	if old, exists := s.records[r.Key]; exists {
		s.digest ^= recordDigest(old)
		n.keys--
		n.bytes -= len(old.Key) + len(old.Value)
	}
	if r.Version == 0 {
		delete(s.records, r.Key)
		return
	}
	s.records[r.Key] = r
	s.digest ^= recordDigest(r)
	n.keys++
	n.bytes += len(r.Key) + len(r.Value)
}

// clearRecords removes all of a shard's records from memory.
func (n *Node) clearRecords(s *shard) {
	for _, r := range s.records {
		n.keys--
		n.bytes -= len(r.Key) + len(r.Value)
	}
	clear(s.records)
	s.digest = 0
}

// recordDigest is compared between members: it must not change.
func recordDigest(r Record) uint64 {
	var deleted byte
	if r.Deleted {
		deleted = 1
	}
	d := xxhash.New()
	_, _ = d.WriteString(r.Key) // a hash's writes never fail
	_, _ = d.Write([]byte{0, byte(r.Version), byte(r.Version >> 8), byte(r.Version >> 16), byte(r.Version >> 24), deleted})
	_, _ = d.Write(r.Value)
	_, _ = d.WriteString(r.OperationID)
	for _, id := range r.PastOperationIDs {
		_, _ = d.WriteString(id)
	}
	return d.Sum64()
}
