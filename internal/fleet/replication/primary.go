package replication

import (
	"slices"
	"time"

	"sabletally/internal/fleet/shardmap"
)

// notWaiting is the value of replicaProgress.waitingSince for a replica that has answered everything.
const notWaiting time.Duration = -1

// primaryState is the state of a shard's primary, apart from the records.
type primaryState struct {
	sequence     uint64                      // sequence number of the newest write of this ballot
	replicas     map[string]*replicaProgress // progress of the other replicas, by member ID
	inFlight     []*inFlightWrite            // writes that not all required replicas have acknowledged, in order
	recentWrites []*inFlightWrite            // newest writes of this ballot in order; the oldest element stands for its initial state until dropped

	queuedByKey map[string][]queuedOperation // operations that wait for an in-flight write of the same key, by key
	queuedCount int                          // number of operations in queuedByKey
}

// replicaProgress is what the primary knows about another replica.
type replicaProgress struct {
	ballotAdopted        bool // whether the replica has adopted this ballot
	joining              bool
	acknowledgedSequence uint64        // sequence number up to which all writes are on the replica's disk
	incarnation          uint64        // incarnation of the replica's process; 0 if not known yet
	lastSent             time.Duration // time at which the last ballot, snapshot or resent writes were sent
	waitingSince         time.Duration // time since which an answer of the replica is outstanding; notWaiting if none is

	caughtUp           bool // whether the replica was reported in this ballot to have caught up
	caughtUpReportedAt time.Duration
}

// isRequired reports whether a write needs this replica's acknowledgement. A joining replica is required as soon as it is reported to have
// caught up: from then on, a configuration may make it an in-sync replica, or even the primary, at any time.
func (p *replicaProgress) isRequired() bool { return !p.joining || p.caughtUp }

// inFlightWrite is a write that the replicas have to acknowledge. Operations that write nothing, such as reads, are sent the same way.
type inFlightWrite struct {
	sequence  uint64
	digest    uint64 // the shard's digest after this write
	record    Record // the record as written; the zero Record if nothing is written
	operation Operation
	client    string
	result    Result // result that is sent to the client once all required replicas have acknowledged the write
	isExpiry  bool   // whether the write deletes an expired record; it has no client then
}

// changesKey reports whether the write changes a record.
func (w *inFlightWrite) changesKey() bool { return w.record.Version > 0 || w.isExpiry }

// queuedOperation is an operation that waits for an in-flight write of the same key.
type queuedOperation struct {
	operation Operation
	client    string
}

// becomePrimary makes this member the primary of a new configuration. It starts with the records that it has: every committed write is on
// each in-sync replica of the previous configuration. It serves operations once all in-sync replicas have adopted its ballot.
func (n *Node) becomePrimary(s *shard, c shardmap.Configuration) {
	s.ballot = Ballot{Configuration: c.Number, Incarnation: n.cfg.Incarnation}
	s.inSync = c.InSync
	s.joining = c.Joining
	s.ballotAdopted = true
	s.ballotSince = n.now
	s.primary = &primaryState{
		replicas:     map[string]*replicaProgress{},
		queuedByKey:  map[string][]queuedOperation{},
		recentWrites: []*inFlightWrite{{digest: s.digest}},
	}
	n.persist(s, nil, false)
	for _, id := range s.followers() {
		s.primary.replicas[id] = &replicaProgress{joining: slices.Contains(s.joining, id), waitingSince: n.now}
		n.announceBallot(s, id)
	}
}

// resign makes this member stop being the primary. In-flight writes are neither committed nor undone. Their clients get no result and ask
// the next primary.
func (s *shard) resign() { s.primary = nil }

// announceBallot sends a replica this primary's ballot, with the digest of the current records.
func (n *Node) announceBallot(s *shard, id string) {
	s.primary.replicas[id].lastSent = n.now
	n.send(Message{
		Kind:     MessageBallot,
		To:       id,
		Shard:    s.number,
		Ballot:   s.ballot,
		Sequence: s.primary.sequence,
		Digest:   s.digest,
		InSync:   s.inSync,
		Joining:  s.joining,
	})
}

// isBallotAdopted reports whether all in-sync replicas have adopted the ballot.
func (p *primaryState) isBallotAdopted() bool {
	for _, replica := range p.replicas {
		if !replica.joining && !replica.ballotAdopted {
			return false
		}
	}
	return true
}

// hasOperation reports whether an operation is already in flight or queued.
func (p *primaryState) hasOperation(op Operation) bool {
	return slices.ContainsFunc(p.inFlight, func(w *inFlightWrite) bool { return w.operation.ID == op.ID }) ||
		slices.ContainsFunc(p.queuedByKey[op.Key], func(q queuedOperation) bool { return q.operation.ID == op.ID })
}

// hasInFlight reports whether a write of the key is in flight.
func (p *primaryState) hasInFlight(key string) bool {
	return slices.ContainsFunc(p.inFlight, func(w *inFlightWrite) bool { return w.record.Key == key })
}

// serveOperation executes an operation as the shard's primary, queues it behind an in-flight write of the same key, or rejects it.
func (n *Node) serveOperation(s *shard, op Operation, client string) {
	if reason := n.rejectReason(s); reason != ReasonNone {
		n.replyToClient(s, client, Result{OperationID: op.ID, Outcome: OutcomeRejected, Reason: reason})
		return
	}
	p := s.primary
	if p.hasOperation(op) {
		return // a retry: the first attempt is still in progress
	}
	if !p.hasInFlight(op.Key) {
		n.executeOperation(s, op, client)
		return
	}
	if p.queuedCount >= n.cfg.MaxPendingOperations {
		n.replyToClient(s, client, Result{OperationID: op.ID, Outcome: OutcomeRejected, Reason: ReasonBusy})
		return
	}
	n.markMayBeCommitted(op.ID, client)
	p.queuedCount++
	p.queuedByKey[op.Key] = append(p.queuedByKey[op.Key], queuedOperation{op, client})
}

// rejectReason returns why this member can't serve any operation on the shard now, ReasonNone if it can.
func (n *Node) rejectReason(s *shard) RejectReason {
	switch {
	case n.diskFailed:
		return ReasonDiskFailed
	case !s.isPrimary():
		return ReasonNotPrimary
	case !s.primary.isBallotAdopted():
		return ReasonReconfiguring
	case len(s.inSync) < n.cfg.MinReplicas:
		return ReasonTooFewReplicas
	}
	return ReasonNone
}

// executeOperation executes an operation on a key without in-flight writes. An operation that writes nothing is sent to the replicas as
// well and needs their acknowledgements: otherwise a primary that was replaced without knowing it would answer with outdated records.
func (n *Node) executeOperation(s *shard, op Operation, client string) {
	current := s.records[op.Key]
	w := &inFlightWrite{
		operation: op,
		client:    client,
		result:    Result{OperationID: op.ID, Outcome: OutcomeCommitted, Record: current},
	}
	switch {
	case !op.ReadOnly && wroteRecord(op, current): // an earlier attempt has written the record
	case op.ReadOnly || !conditionHolds(op, current):
		w.result.Outcome = OutcomeConflict
	case !op.Delete && !current.exists() && !n.hasCapacity(op):
		n.replyToClient(s, client, Result{OperationID: op.ID, Outcome: OutcomeRejected, Reason: ReasonFull})
		return
	default:
		next := nextRecord(op, current)
		n.markMayBeCommitted(op.ID, client)
		n.setRecord(s, next)
		n.persist(s, []Record{next}, false)
		w.record = next
		w.result.Record = next
	}
	n.replicate(s, w)
}

// wroteRecord reports whether an operation wrote the record or one of its past versions.
func wroteRecord(op Operation, r Record) bool {
	return r.OperationID == op.ID || slices.Contains(r.PastOperationIDs, op.ID)
}

// conditionHolds reports whether the current record has the version that the operation expects.
func conditionHolds(op Operation, current Record) bool {
	if !current.exists() {
		return op.ExpectedVersion == 0
	}
	return op.ExpectedVersion == current.Version
}

// hasCapacity reports whether this member can store another key, with the operation's value.
func (n *Node) hasCapacity(op Operation) bool {
	return n.keys < n.cfg.MaxKeys && n.bytes+len(op.Key)+len(op.Value) <= n.cfg.MaxBytes
}

// nextRecord returns the record that a write replaces the current one with.
func nextRecord(op Operation, current Record) Record {
	next := Record{
		Key:         op.Key,
		Version:     current.Version + 1,
		Value:       op.Value,
		OperationID: op.ID,
		CreatedAt:   op.CreatedAt,
		Deleted:     op.Delete,
	}
	if current.OperationID != "" {
		older := current.PastOperationIDs[:min(len(current.PastOperationIDs), maxPastOperationIDs-1)]
		next.PastOperationIDs = append(next.PastOperationIDs, current.OperationID)
		next.PastOperationIDs = append(next.PastOperationIDs, older...)
	}
	return next
}

// replicate assigns a write its sequence number and sends it to all replicas that have adopted the ballot.
func (n *Node) replicate(s *shard, w *inFlightWrite) {
	p := s.primary
	p.sequence++
	w.sequence = p.sequence
	w.digest = s.digest
	p.inFlight = append(p.inFlight, w)
	p.recentWrites = append(p.recentWrites, w)
	if len(p.recentWrites) > maxRecentWrites {
		p.recentWrites = p.recentWrites[1:]
	}
	for _, id := range s.followers() {
		if p.replicas[id].ballotAdopted {
			n.sendWrite(s, id, w)
		}
	}
	n.commitAcknowledged(s)
}

// sendWrite sends a write to a replica and starts waiting for its acknowledgement.
func (n *Node) sendWrite(s *shard, id string, w *inFlightWrite) {
	if replica := s.primary.replicas[id]; replica.waitingSince < 0 {
		replica.waitingSince = n.now
	}
	m := Message{Kind: MessageWrite, To: id, Shard: s.number, Ballot: s.ballot, Sequence: w.sequence}
	if w.changesKey() {
		m.Records = []Record{w.record}
	}
	n.send(m)
}

// handleReplicaMessage handles a replica's answer to this member's ballot.
func (n *Node) handleReplicaMessage(s *shard, m Message) {
	replica := s.primary.replicas[m.From]
	if replica == nil {
		return
	}
	replica.incarnation = m.Incarnation
	switch m.Kind {
	case MessageSnapshotRequest:
		n.sendSnapshot(s, m.From)
	case MessageBallotAck:
		if !replica.ballotAdopted && !n.startReplica(s, m) {
			return
		}
		n.handleAcknowledgement(s, m)
	case MessageWriteAck:
		n.handleAcknowledgement(s, m)
	}
	n.commitAcknowledged(s)
}

// sendSnapshot sends a replica all records of the shard. The replica has to adopt the ballot again with them.
func (n *Node) sendSnapshot(s *shard, id string) {
	replica := s.primary.replicas[id]
	replica.ballotAdopted = false
	replica.lastSent = n.now
	n.send(Message{
		Kind:              MessageSnapshot,
		To:                id,
		TargetIncarnation: replica.incarnation,
		Shard:             s.number,
		Ballot:            s.ballot,
		Sequence:          s.primary.sequence,
		Digest:            s.digest,
		Records:           s.sortedRecords(),
	})
}

// startReplica marks a replica as having adopted the ballot and sends it the writes since the state that it has. If the replica's records
// match no recent state of this ballot, it announces the ballot again and returns false.
func (n *Node) startReplica(s *shard, m Message) bool {
	if w := s.primary.writeAt(m.Sequence); w == nil || w.digest != m.Digest {
		n.announceBallot(s, m.From)
		return false
	}
	replica := s.primary.replicas[m.From]
	replica.ballotAdopted = true
	replica.acknowledgedSequence = max(replica.acknowledgedSequence, m.Sequence)
	n.sendMissingWrites(s, m.From)
	return true
}

// handleAcknowledgement records which writes a replica has, and reports a joining replica that has all of them.
func (n *Node) handleAcknowledgement(s *shard, m Message) {
	replica := s.primary.replicas[m.From]
	replica.acknowledgedSequence = max(replica.acknowledgedSequence, m.Sequence)
	replica.waitingSince = notWaiting
	if replica.acknowledgedSequence < s.primary.sequence {
		replica.waitingSince = n.now
	}
	if replica.joining && replica.ballotAdopted && !replica.caughtUp && replica.acknowledgedSequence == s.primary.sequence {
		replica.caughtUp = true
		n.reportCaughtUp(s, m.From)
	}
}

// writeAt returns the write of this ballot with a sequence number, nil if it is not among the recent writes.
func (p *primaryState) writeAt(sequence uint64) *inFlightWrite {
	i := int(sequence) - int(p.recentWrites[0].sequence)
	if i < 0 || i >= len(p.recentWrites) {
		return nil
	}
	return p.recentWrites[i]
}

// sendMissingWrites sends a replica the writes that it lacks. If they are no longer among the recent writes, the replica has to adopt the
// ballot again.
func (n *Node) sendMissingWrites(s *shard, id string) {
	replica := s.primary.replicas[id]
	replica.lastSent = n.now
	if s.primary.writeAt(replica.acknowledgedSequence) == nil {
		replica.ballotAdopted = false
		n.announceBallot(s, id)
		return
	}
	for sequence := replica.acknowledgedSequence + 1; sequence <= s.primary.sequence; sequence++ {
		n.sendWrite(s, id, s.primary.writeAt(sequence))
	}
}

// commitAcknowledged commits, in order, the writes that all required replicas have acknowledged: it replies to their clients and serves the
// operations queued behind them.
func (n *Node) commitAcknowledged(s *shard) {
	for s.isPrimary() && len(s.primary.inFlight) > 0 {
		w := s.primary.inFlight[0]
		if !s.primary.isAcknowledged(w) {
			return
		}
		s.primary.inFlight = s.primary.inFlight[1:]
		if !w.isExpiry {
			n.replyToClient(s, w.client, w.result)
		}
		if w.changesKey() && !s.primary.hasInFlight(w.record.Key) {
			n.serveQueued(s, w.record.Key)
		}
	}
}

// isAcknowledged reports whether all required replicas have acknowledged a write.
func (p *primaryState) isAcknowledged(w *inFlightWrite) bool {
	for _, replica := range p.replicas {
		if replica.isRequired() && replica.acknowledgedSequence < w.sequence {
			return false
		}
	}
	return true
}

// serveQueued serves the operations that were queued for a key.
func (n *Node) serveQueued(s *shard, key string) {
	waiting := s.primary.queuedByKey[key]
	delete(s.primary.queuedByKey, key)
	s.primary.queuedCount -= len(waiting)
	for _, q := range waiting {
		n.serveOperation(s, q.operation, q.client)
	}
}
