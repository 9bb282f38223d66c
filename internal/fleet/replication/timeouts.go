package replication

import "slices"

// checkTimeouts resends unanswered messages of a shard and reports members that have been silent for too long.
func (n *Node) checkTimeouts(s *shard) {
	if !s.isPrimary() {
		n.checkPrimary(s)
		return
	}
	for _, id := range s.followers() {
		n.checkReplica(s, id)
	}
}

// checkPrimary reports the shard's primary if this member is an in-sync replica and has not heard from the primary for too long.
func (n *Node) checkPrimary(s *shard) {
	if !slices.Contains(s.inSync, n.cfg.ID) {
		return
	}
	primary := s.inSync[0]
	lastHeard := max(s.ballotSince, n.lastHeard[primary])
	if n.now-lastHeard > primaryTimeout {
		s.ballotSince = n.now
		n.reportSuspicion(s, primary)
	}
}

// checkReplica resends the ballot or the writes that a replica has not acknowledged. It repeats the report of a joining replica that has
// caught up, and reports a replica whose answer is overdue.
func (n *Node) checkReplica(s *shard, id string) {
	replica := s.primary.replicas[id]
	if n.now-replica.lastSent >= resendInterval {
		if !replica.ballotAdopted {
			n.announceBallot(s, id)
		} else if replica.acknowledgedSequence < s.primary.sequence {
			n.sendMissingWrites(s, id)
		}
	}
	if replica.joining && replica.caughtUp && n.now-replica.caughtUpReportedAt > replicaTimeout {
		n.reportCaughtUp(s, id)
	}
	if replica.waitingSince >= 0 && n.now-replica.waitingSince > replicaTimeout && replica.isRequired() {
		replica.waitingSince = n.now
		n.reportSuspicion(s, id)
	}
}

// reportCaughtUp reports that a joining replica has all writes. The report is repeated, as it may be lost.
func (n *Node) reportCaughtUp(s *shard, id string) {
	s.primary.replicas[id].caughtUpReportedAt = n.now
	n.queueReport(ReplicaReport{Shard: s.number, Configuration: s.ballot.Configuration, From: n.cfg.ID, Subject: id, CaughtUp: true})
}

// reportSuspicion reports that a replica may have failed.
func (n *Node) reportSuspicion(s *shard, id string) {
	n.queueReport(ReplicaReport{Shard: s.number, Configuration: s.ballot.Configuration, From: n.cfg.ID, Subject: id})
}

func (n *Node) queueReport(r ReplicaReport) { n.ready.Reports = append(n.ready.Reports, r) }

// forgetSilentMembers removes members not heard from for memberTTL from lastHeard, so that it does not grow without bound.
func (n *Node) forgetSilentMembers() {
	for id, at := range n.lastHeard {
		if n.now-at > memberTTL {
			delete(n.lastHeard, id)
		}
	}
}

// sendHeartbeats sends a heartbeat to every member that is another replica of a shard that this member leads.
func (n *Node) sendHeartbeats() {
	followers := map[string]bool{}
	for i := range n.shards {
		s := &n.shards[i]
		if !s.isPrimary() {
			continue
		}
		for _, id := range s.followers() {
			followers[id] = true
		}
	}
	ids := make([]string, 0, len(followers))
	for id := range followers {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	for _, id := range ids {
		n.send(Message{Kind: MessageHeartbeat, To: id})
	}
}
