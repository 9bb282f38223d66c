// Package replication stores records on several members. Each shard of the key space has a configuration, which the members agree on by
// package consensus. The configuration's primary orders the shard's writes; a write is committed once every in-sync replica has it on
// disk.
//
// The package implements the protocol without I/O: messages, operations, configurations and the time go in; disk writes, messages and
// results come out. It must never commit a write that fewer than the minimum number of replicas have, never accept a write of an older
// ballot, and never decide on a configuration by itself, as two primaries could then commit at the same time.
package replication

import (
	"slices"
	"strings"
	"time"

	"sabletally/internal/fleet/shardmap"
)

// Node is one member of the replication protocol. It is the primary of some shards, a replica of others, and a client of any shard for the
// operations submitted at it. It is not safe for concurrent use.
type Node struct {
	cfg Config
	now time.Duration
	// unixTime is the wall clock time in Unix seconds.
	unixTime int64

	shards []shard // this member's state of each shard, by shard number
	keys   int     // number of records stored, of all shards
	bytes  int     // total size of the stored records' keys and values

	pending      map[string]*pendingOperation // operations submitted here without a result, by operation ID
	pendingOrder []string                     // IDs of the pending operations in the order of submission

	lastHeard     map[string]time.Duration // time of the last message of a member, by member ID
	lastHeartbeat time.Duration
	lastExpiry    time.Duration

	diskFailed bool
	ready      Ready

	// Rejections counts the rejected operations of those submitted at this member, by reason.
	Rejections [ReasonDiskFailed + 1]int
}

// New returns a node without records. Times are durations since an arbitrary fixed point in time.
func New(cfg Config, now time.Duration) *Node {
	n := &Node{
		cfg:           cfg,
		now:           now,
		shards:        make([]shard, shardmap.ShardCount),
		pending:       map[string]*pendingOperation{},
		lastHeard:     map[string]time.Duration{},
		lastHeartbeat: now,
	}
	for i := range n.shards {
		n.shards[i].number = i
		n.shards[i].records = map[string]Record{}
	}
	return n
}

// Load sets a shard's ballot and records to those on disk. It must be called before all other methods.
func (n *Node) Load(number int, ballot Ballot, records []Record) {
	s := &n.shards[number]
	s.ballot = ballot
	for _, r := range records {
		n.setRecord(s, r)
	}
}

// Tick advances the time, which must never decrease.
func (n *Node) Tick(now time.Duration) {
	n.now = now
	n.checkPendingOperations()
	if now-n.lastHeartbeat >= heartbeatInterval {
		n.lastHeartbeat = now
		n.forgetSilentMembers()
		n.sendHeartbeats()
	}
	for i := range n.shards {
		n.checkTimeouts(&n.shards[i])
	}
}

// SetWallClock sets the wall clock time in Unix seconds. At most once in expiryInterval it also deletes the expired records of the shards
// that this member leads. The order of writes does not depend on this clock: if it is wrong, records are stored for a shorter or longer
// time.
func (n *Node) SetWallClock(unixTime int64) {
	n.unixTime = unixTime
	if n.now-n.lastExpiry < expiryInterval {
		return
	}
	n.lastExpiry = n.now
	n.expireRecords()
}

// SetConfiguration sets a shard's newest configuration. A configuration that is not newer than the known one is ignored.
func (n *Node) SetConfiguration(number int, c shardmap.Configuration) {
	s := &n.shards[number]
	if c.Number < s.ballot.Configuration || c.Number == s.ballot.Configuration && s.inSync != nil {
		return
	}
	if c.Primary() == n.cfg.ID {
		n.becomePrimary(s, c)
		return
	}
	if c.Number > s.ballot.Configuration {
		n.becomeReplica(s, Ballot{Configuration: c.Number}, c.InSync, c.Joining) // the primary will announce its incarnation
	} else {
		s.inSync = c.InSync
		s.joining = c.Joining
		s.ballotSince = n.now
	}
	if slices.Contains(c.InSync, n.cfg.ID) || slices.Contains(c.Joining, n.cfg.ID) {
		n.persist(s, nil, false)
	} else {
		n.dropShard(s)
	}
}

// Submit starts an operation and passes it to its shard's primary, at this or another member. A later Ready returns the result, at the
// latest after the first Tick past the timeout.
func (n *Node) Submit(op Operation, timeout time.Duration) {
	if len(n.pending) >= n.cfg.MaxPendingOperations {
		n.ready.Results = append(n.ready.Results, Result{OperationID: op.ID, Outcome: OutcomeRejected, Reason: ReasonBusy})
		n.Rejections[ReasonBusy]++
		return
	}
	p := &pendingOperation{operation: op, deadline: n.now + timeout}
	n.pending[op.ID] = p
	n.pendingOrder = append(n.pendingOrder, op.ID)
	n.attemptOperation(p)
}

// Step handles a message. A message that does not fit this member's state is ignored: it may be late, or its sender may have another
// configuration.
func (n *Node) Step(m Message) {
	if m.To != n.cfg.ID || m.Shard < 0 || m.Shard >= len(n.shards) || n.diskFailed {
		return
	}
	n.lastHeard[m.From] = n.now
	s := &n.shards[m.Shard]
	switch m.Kind {
	case MessageOperation:
		n.serveOperation(s, m.Operation, m.From)
	case MessageResult:
		n.handleResult(m.Result)
	case MessageBallot, MessageSnapshot, MessageWrite:
		n.handlePrimaryMessage(s, m)
	case MessageWriteAck, MessageBallotAck, MessageSnapshotRequest:
		if s.isPrimary() && m.Ballot == s.ballot {
			n.handleReplicaMessage(s, m)
		}
	case MessageStaleBallot:
		if s.isPrimary() && s.ballot.Less(m.Ballot) {
			s.resign() // a configuration that has not arrived here yet names another primary
		}
	}
}

// MarkDiskFailed records that the disk can't be written. From then on this member commits and acknowledges nothing.
func (n *Node) MarkDiskFailed() { n.diskFailed = true }

// Ready returns the work that has accumulated since the last call.
func (n *Node) Ready() Ready {
	r := n.ready
	n.ready = Ready{}
	if n.diskFailed {
		r.Writes = nil
		r.Messages = nil
		r.Reports = nil
	}
	return r
}

// Record returns this member's newest record of a key, committed or not. Its version is 0 if there is none.
func (n *Node) Record(key string) Record { return n.shards[shardmap.ShardOf(key)].records[key] }

// Usage returns the number of records that this member stores and the total size of their keys and values.
func (n *Node) Usage() (keys, bytes int) { return n.keys, n.bytes }

// Keys returns the keys with a prefix whose records at this member are not deleted, sorted.
func (n *Node) Keys(prefix string) []string {
	var all []string
	for i := range n.shards {
		for key, r := range n.shards[i].records {
			if !r.Deleted && strings.HasPrefix(key, prefix) {
				all = append(all, key)
			}
		}
	}
	slices.Sort(all)
	return all
}

// send queues a message for the next Ready.
func (n *Node) send(m Message) {
	m.From = n.cfg.ID
	m.Incarnation = n.cfg.Incarnation
	n.ready.Messages = append(n.ready.Messages, m)
}

// persist queues a write of the shard's ballot and of records for the next Ready.
func (n *Node) persist(s *shard, records []Record, replaceAll bool) {
	n.ready.Writes = append(n.ready.Writes, Write{Shard: s.number, Ballot: s.ballot, ReplaceAll: replaceAll, Records: records})
}
