package replication

// becomeReplica starts a ballot of which another member is the primary.
func (n *Node) becomeReplica(s *shard, ballot Ballot, inSync, joining []string) {
	s.resign()
	samePrimary := len(s.inSync) > 0 && len(inSync) > 0 && s.inSync[0] == inSync[0]
	if !samePrimary { // the silence of a primary that stays the same still counts from its last message
		s.ballotSince = n.now
	}
	s.ballot = ballot
	s.inSync = inSync
	s.joining = joining
	s.ballotAdopted = false
	s.appliedSequence = 0
}

// handlePrimaryMessage handles a message from a shard's primary. A message of an older ballot is rejected, as its writes must not be
// applied.
func (n *Node) handlePrimaryMessage(s *shard, m Message) {
	if m.Ballot.Less(s.ballot) {
		n.answerPrimary(s, m.From, MessageStaleBallot)
		return
	}
	switch m.Kind {
	case MessageBallot:
		n.handleBallot(s, m)
	case MessageSnapshot:
		n.handleSnapshot(s, m)
	case MessageWrite:
		n.handleWrite(s, m)
	}
}

// answerPrimary sends a primary an answer with this replica's ballot, sequence number and digest.
func (n *Node) answerPrimary(s *shard, primary string, kind MessageKind) {
	n.send(Message{Kind: kind, To: primary, Shard: s.number, Ballot: s.ballot, Sequence: s.appliedSequence, Digest: s.digest})
}

// handleBallot adopts the primary's ballot if the records here equal the primary's, and requests a snapshot otherwise.
func (n *Node) handleBallot(s *shard, m Message) {
	if len(m.InSync) == 0 || m.InSync[0] != m.From {
		return
	}
	if s.ballot.Less(m.Ballot) || s.inSync == nil {
		n.becomeReplica(s, m.Ballot, m.InSync, m.Joining)
		n.persist(s, nil, false)
	}
	switch {
	case s.ballotAdopted: // a repeated message: the records here may be newer by now
		n.answerPrimary(s, m.From, MessageBallotAck)
	case m.Digest == s.digest:
		s.ballotAdopted = true
		s.appliedSequence = m.Sequence
		n.answerPrimary(s, m.From, MessageBallotAck)
	default:
		n.answerPrimary(s, m.From, MessageSnapshotRequest)
	}
}

// handleSnapshot replaces the shard's records by the primary's.
func (n *Node) handleSnapshot(s *shard, m Message) {
	if m.Ballot != s.ballot || m.TargetIncarnation != n.cfg.Incarnation {
		return // a snapshot for an earlier incarnation lacks writes acknowledged since
	}
	if s.ballotAdopted && m.Sequence <= s.appliedSequence { // a late snapshot would undo writes acknowledged since
		n.answerPrimary(s, m.From, MessageBallotAck)
		return
	}
	n.clearRecords(s)
	for _, r := range m.Records {
		n.setRecord(s, r)
	}
	n.persist(s, m.Records, true)
	s.ballotAdopted = true
	s.appliedSequence = m.Sequence
	n.answerPrimary(s, m.From, MessageBallotAck)
}

// handleWrite applies a write if it is the next one, and acknowledges all writes applied so far.
func (n *Node) handleWrite(s *shard, m Message) {
	if m.Ballot != s.ballot {
		return // the primary's MessageBallot has not arrived yet; a lost one is sent again
	}
	if !s.ballotAdopted {
		n.answerPrimary(s, m.From, MessageSnapshotRequest)
		return
	}
	if m.Sequence == s.appliedSequence+1 {
		s.appliedSequence++
		for _, r := range m.Records {
			n.setRecord(s, r)
		}
		if len(m.Records) > 0 {
			n.persist(s, m.Records, false)
		}
	}
	n.answerPrimary(s, m.From, MessageWriteAck) // acknowledges only the writes before the first one that was lost
}

// dropShard removes the records of a shard of which this member is no longer a replica.
func (n *Node) dropShard(s *shard) {
	if len(s.records) == 0 {
		return
	}
	n.clearRecords(s)
	n.persist(s, nil, true)
}
