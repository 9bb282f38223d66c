package node

import (
	"slices"
	"time"

	"sabletally/internal/fleet/consensus"
	"sabletally/internal/fleet/placement"
	"sabletally/internal/fleet/replication"
	"sabletally/internal/fleet/shardmap"
)

// selfStateAge is the state age that the planner is given for this member itself. It exceeds every age that the planner requires.
const selfStateAge = time.Hour

// leaderState is what this member needs while it leads the log. It is reset when the leadership ends, except for the times of voter changes.
type leaderState struct {
	planner           *placement.Planner   // nil while this member does not lead
	term              uint64               // term in which the planner was created
	proposals         map[string]*proposal // puts that were proposed to the log, by operation ID
	nextVoterChangeAt time.Duration        // earliest time of the next voter change or leadership transfer
	votersChangedAt   time.Duration        // time at which the latest voter change was proposed
}

// runLeader does the work of the log's leader: it places shards, chooses the voters, and transfers its leadership before it leaves.
func (n *Node) runLeader() {
	l := &n.leadership
	if !n.log.IsLeader() {
		l.planner = nil
		clear(l.proposals)
		return
	}
	n.leaderID = n.cfg.Self.ID
	if l.planner == nil || l.term != n.log.Term() {
		l.term = n.log.Term()
		l.planner = placement.New(placement.Config{
			ReplicationFactor: n.cfg.ReplicationFactor,
			MinReplicas:       n.minReplicas(),
			EvictAfter:        n.cfg.EvictAfter,
			MaxJoiningShards:  n.cfg.MaxJoiningShards,
		}, n.now)
	}
	if n.isLeaving && n.now >= l.nextVoterChangeAt {
		l.nextVoterChangeAt = n.now + voterChangeInterval
		n.transferLeadership()
	}
	self := placement.MemberStatus{Member: n.cfg.Self, Alive: true, Draining: n.isLeaving, StateAge: selfStateAge}
	members := append(slices.Clone(n.peers), self)
	hasAllVoters := len(n.log.Voters()) >= n.cfg.VoterCount
	if entry, hasChanges := l.planner.Propose(n.now, n.log.State(), members, hasAllVoters); hasChanges {
		_ = n.log.Propose(entry) // the planner proposes the change again if this proposal is lost
	}
	if n.now >= l.nextVoterChangeAt {
		l.nextVoterChangeAt = n.now + voterChangeInterval
		n.changeVoters(members)
	}
}

// transferLeadership transfers the leadership to another voter that is alive and not leaving.
func (n *Node) transferLeadership() {
	for _, peer := range n.peers {
		id := consensus.NodeID(peer.ID)
		if peer.Alive && !peer.Draining && slices.Contains(n.log.Voters(), id) {
			n.log.TransferLeadership(id)
			return
		}
	}
}

// handleReplicaReport passes a replica's report to the planner. A member that does not lead ignores it; replicas repeat their reports.
func (n *Node) handleReplicaReport(report replication.ReplicaReport) {
	isValid := report.Shard >= 0 && report.Shard < shardmap.ShardCount
	if n.leadership.planner != nil && n.log.IsLeader() && isValid {
		n.leadership.planner.AddReport(n.now, n.log.State(), report)
	}
}
