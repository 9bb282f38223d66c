package replication

import (
	"slices"
	"strings"
	"time"
)

// expireRecords deletes the records that have expired under a retention rule, in the shards that this member leads.
func (n *Node) expireRecords() {
	for i := range n.shards {
		s := &n.shards[i]
		if len(s.records) > 0 && s.isPrimary() && s.primary.isBallotAdopted() && len(s.inSync) >= n.cfg.MinReplicas {
			n.expireShard(s)
		}
	}
}

// expireShard deletes the expired records of a shard, at most maxExpiredPerShard. Such a deletion is replicated like any other write, but leaves no record that marks
// the key as deleted.
func (n *Node) expireShard(s *shard) {
	var expired []string
	for key, r := range s.records {
		if n.isExpired(r) {
			expired = append(expired, key)
		}
	}
	slices.Sort(expired)
	for _, key := range expired[:min(len(expired), maxExpiredPerShard)] {
		if s.primary.hasInFlight(key) {
			continue
		}
		removed := Record{Key: key}
		n.setRecord(s, removed)
		n.persist(s, []Record{removed}, false)
		n.replicate(s, &inFlightWrite{record: removed, isExpiry: true})
	}
}

// isExpired reports whether a record is older than a retention rule for its key allows.
func (n *Node) isExpired(r Record) bool {
	for _, rule := range n.cfg.Retention {
		if strings.HasPrefix(r.Key, rule.Prefix) && n.unixTime-r.CreatedAt > int64(rule.TTL/time.Second) {
			return true
		}
	}
	return false
}
