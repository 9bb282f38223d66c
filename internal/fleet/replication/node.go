// Package replication keeps records on several members. Each shard of the key space has a configuration, agreed by package consensus,
// whose primary orders the shard's writes; a write is committed once every in-sync replica has it on disk.
//
// The package is the protocol alone, without I/O: messages, operations, configurations and the time go in; disk writes, messages and
// results come out. It must never commit what fewer than the minimum number of replicas have, never accept a write of an older
// ballot, and never decide on a configuration by itself: two primaries could commit at once.
package replication

import (
	"slices"
	"strings"
	"time"

	"sabletally/internal/fleet/shardmap"
)

// Node is one member's part in the replication: primary of some shards, replica of others, and client of all. It is not safe for
// concurrent use.
type Node struct {
	cfg Config
	now time.Duration
	// unixTime is the time of day, in seconds.
	unixTime int64

	shards []shard
	keys   int
	bytes  int

	pending      map[string]*pendingOperation // by operation ID
	pendingOrder []string                     // in the order of submission

	lastHeard     map[string]time.Duration // by member
	lastHeartbeat time.Duration
	lastExpiry    time.Duration

	diskFailed bool
	ready      Ready

	// Rejections counts the operations submitted here that were rejected, by reason.
	Rejections [ReasonDiskFailed + 1]int
}

// New makes a node that stores nothing. The time counts from any fixed moment on.
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

// Load sets what is on disk of a shard. It comes before all other calls.
func (n *Node) Load(number int, ballot Ballot, records []Record) {
	s := &n.shards[number]
	s.ballot = ballot
	for _, r := range records {
		n.setRecord(s, r)
	}
}

// Tick advances the time, which must not go back.
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

// SetWallClock sets the time of day in Unix seconds, by which records expire. It orders nothing: with a wrong clock records are
// stored shorter or longer.
func (n *Node) SetWallClock(unixTime int64) {
	n.unixTime = unixTime
	if n.now-n.lastExpiry < expiryInterval {
		return
	}
	n.lastExpiry = n.now
	n.expireRecords()
}

// SetConfiguration sets a shard's newest configuration. One that is not newer than the known one changes nothing.
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

// Submit starts an operation, here or wherever its shard's primary is. Its result comes with a Ready, within the timeout and the next
// Tick.
func (n *Node) Submit(op Operation, timeout time.Duration) {
	if len(n.pending) >= n.cfg.MaxPendingOperations {
		n.ready.Results = append(n.ready.Results, Result{OperationID: op.ID, Outcome: OutcomeRejected, Reason: ReasonBusy})
		n.Rejections[ReasonBusy]++
		return
	}
	p := &pendingOperation{operation: op, deadline: n.now + timeout}
	n.pending[op.ID] = p
	n.pendingOrder = append(n.pendingOrder, op.ID)
	n.attempt(p)
}

// Step handles a message. One that does not fit the state here is ignored: the sender may have other configurations, and be late.
func (n *Node) Step(m Message) {
	if m.To != n.cfg.ID || m.Shard < 0 || m.Shard >= len(n.shards) || n.diskFailed {
		return
	}
	n.lastHeard[m.From] = n.now
	s := &n.shards[m.Shard]
	switch m.Kind {
	case MessageOperation:
		n.serve(s, m.Operation, m.From)
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
			s.resign() // a configuration that is still on its way names the new primary
		}
	}
}

// MarkDiskFailed says that the disk can't be written: from now on nothing is committed or acknowledged here.
func (n *Node) MarkDiskFailed() { n.diskFailed = true }

// Ready returns what is to be done since the last call.
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

// Record returns this member's newest record of a key, committed or not; its version is 0 where there is none.
func (n *Node) Record(key string) Record { return n.shards[shardmap.ShardOf(key)].records[key] }

// Usage returns how many records this member stores, and the bytes of their keys and values.
func (n *Node) Usage() (keys, bytes int) { return n.keys, n.bytes }

// Keys returns all keys with a prefix that exist at this member, sorted.
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
