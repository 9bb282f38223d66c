package replication

// becomeReplica begins a ballot in which another member leads.
func (n *Node) becomeReplica(s *shard, ballot Ballot, inSync, joining []string) {
	s.resign()
	samePrimary := len(s.inSync) > 0 && len(inSync) > 0 && s.inSync[0] == inSync[0]
	if !samePrimary { // the silence of one that leads on counts from its last message
		s.ballotSince = n.now
	}
	s.ballot = ballot
	s.inSync = inSync
	s.joining = joining
	s.ballotAdopted = false
	s.appliedSequence = 0
}

// handlePrimaryMessage takes a message of a shard's primary. One of an older ballot is rejected: its writes must not take hold.
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

func (n *Node) answerPrimary(s *shard, primary string, kind MessageKind) {
	n.send(Message{Kind: kind, To: primary, Shard: s.number, Ballot: s.ballot, Sequence: s.appliedSequence, Digest: s.digest})
}

func (n *Node) handleBallot(s *shard, m Message) {
	if len(m.InSync) == 0 || m.InSync[0] != m.From {
		return
	}
	if s.ballot.Less(m.Ballot) || s.inSync == nil {
		n.becomeReplica(s, m.Ballot, m.InSync, m.Joining)
		n.persist(s, nil, false)
	}
	switch {
	case s.ballotAdopted: // sent twice: the records here may be newer by now
		n.answerPrimary(s, m.From, MessageBallotAck)
	case m.Digest == s.digest:
		s.ballotAdopted = true
		s.appliedSequence = m.Sequence
		n.answerPrimary(s, m.From, MessageBallotAck)
	default:
		n.answerPrimary(s, m.From, MessageSnapshotRequest)
	}
}

func (n *Node) handleSnapshot(s *shard, m Message) {
	if m.Ballot != s.ballot || m.TargetIncarnation != n.cfg.Incarnation {
		return // one for an earlier incarnation lacks what was acknowledged since
	}
	if s.ballotAdopted && m.Sequence <= s.appliedSequence { // late: it would undo what was acknowledged since
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

func (n *Node) handleWrite(s *shard, m Message) {
	if m.Ballot != s.ballot {
		return // its MessageBallot is on its way, or is sent again
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
	n.answerPrimary(s, m.From, MessageWriteAck) // where a write was lost, of those before it
}

// dropShard removes the records of a shard of which this member is no replica any more.
func (n *Node) dropShard(s *shard) {
	if len(s.records) == 0 {
		return
	}
	n.clearRecords(s)
	n.persist(s, nil, true)
}
