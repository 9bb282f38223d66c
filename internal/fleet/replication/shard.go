package replication

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// shard is this member's state of one shard.
type shard struct {
	number  int
	ballot  Ballot
	inSync  []string          // the configuration's in-sync replicas, the primary first
	joining []string          // the configuration's joining replicas
	records map[string]Record // the records here, by key
	digest  uint64            // exclusive or of the digests of all records

	// primary is the primary's state, nil if this member is not the shard's primary.
	primary *primaryState

	// The remaining fields are used by replicas.
	ballotAdopted   bool          // whether the records equal those of the primary as of appliedSequence
	appliedSequence uint64        // sequence number of the newest applied write of this ballot
	ballotSince     time.Duration // time since which a primary without any message counts as silent
}

// isPrimary reports whether this member leads the shard.
func (s *shard) isPrimary() bool { return s.primary != nil }

// followers returns all replicas of the shard except its primary.
func (s *shard) followers() []string {
	all := slices.Concat(s.inSync, s.joining)
	if len(all) == 0 {
		return nil
	}
	return all[1:]
}

// sortedRecords returns the shard's records, sorted by key.
func (s *shard) sortedRecords() []Record {
	all := make([]Record, 0, len(s.records))
	for _, r := range s.records {
		all = append(all, r)
	}
	slices.SortFunc(all, func(a, b Record) int { return cmp.Compare(a.Key, b.Key) })
	return all
}

// setRecord stores a record in memory. A record with version 0 is removed.
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

// recordDigest hashes a record. Members compare the digests of their shards, so the hash must not change.
func recordDigest(r Record) uint64 {
	var deleted byte
	if r.Deleted {
		deleted = 1
	}
	d := xxhash.New()
	_, _ = d.WriteString(r.Key) // writing to a hash never fails
	_, _ = d.Write([]byte{0, byte(r.Version), byte(r.Version >> 8), byte(r.Version >> 16), byte(r.Version >> 24), deleted})
	_, _ = d.Write(r.Value)
	_, _ = d.WriteString(r.OperationID)
	for _, id := range r.PastOperationIDs {
		_, _ = d.WriteString(id)
	}
	return d.Sum64()
}
